#include "supervisor/upstreams/pool_supervisor.h"

#include <utility>

#include "supervisor/context/child_record.h"

namespace wisteriayoke {

PoolSupervisor::PoolSupervisor(DaemonContext context, Pool pool,
                               FailureHandler on_failure)
    : context_(context),
      pool_(std::move(pool)),
      children_(context.loop, MakeChildObserver(context.state.timeline),
                std::move(on_failure)) {}

bool PoolSupervisor::Start(LastReason& reason) {
  for (const auto& upstream : pool_.upstreams) {
    const bool added = children_.Add(
        {.name = upstream.name.text(),
         .create =
             [context = context_, upstream](FailureHandler on_failure) {
               return Child(std::make_shared<UpstreamMonitor>(
                   context, upstream, std::move(on_failure)));
             }},
        reason);
    if (!added) return false;
  }
  return true;
}

void PoolSupervisor::Stop(std::function<void()> done) {
  children_.Stop(std::move(done));
}

bool PoolSupervisor::FailChild(const std::string& name,
                               const LastReason& reason) {
  return children_.FailChild(name, reason);
}

void PoolSupervisor::DescribeChildren(const std::string& prefix,
                                      std::vector<ChildStatus>& rows) const {
  for (const auto& child : children_.Describe()) {
    rows.push_back({prefix + child.name, child.running, child.restarts});
  }
}

}  // namespace wisteriayoke
