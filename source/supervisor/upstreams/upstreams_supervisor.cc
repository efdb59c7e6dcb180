#include "supervisor/upstreams/upstreams_supervisor.h"

#include <utility>

#include "supervisor/context/child_path.h"
#include "supervisor/context/child_record.h"

namespace wisteriayoke {

UpstreamsSupervisor::UpstreamsSupervisor(DaemonContext context,
                                         FailureHandler on_failure)
    : context_(context),
      children_(context.loop, MakeChildObserver(context.state.timeline),
                std::move(on_failure)) {}

bool UpstreamsSupervisor::Start(LastReason& reason) {
  return ApplyTables(reason);
}

void UpstreamsSupervisor::Stop(std::function<void()> done) {
  children_.Stop(std::move(done));
}

bool UpstreamsSupervisor::ApplyTables(LastReason& reason) {
  for (const auto& name : children_.ListNames()) children_.Remove(name);
  if (!context_.state.tables) return true;
  for (const auto& pool : context_.state.tables->spec().pools) {
    const bool added = children_.Add(
        {.name = pool.name.text(),
         .create =
             [context = context_, pool](FailureHandler on_failure) {
               return Child(std::make_shared<PoolSupervisor>(
                   context, pool, std::move(on_failure)));
             }},
        reason);
    if (!added) return false;
  }
  return true;
}

bool UpstreamsSupervisor::FailChild(const std::string& path,
                                    const LastReason& reason) {
  const auto [pool, upstream] = SplitChildPath(path);
  if (upstream.empty()) return children_.FailChild(pool, reason);
  const auto found = children_.FindNamed<PoolSupervisor>(pool);
  return found && found->FailChild(upstream, reason);
}

void UpstreamsSupervisor::DescribeChildren(
    const std::string& prefix, std::vector<ChildStatus>& rows) const {
  for (const auto& child : children_.Describe()) {
    const std::string path = prefix + child.name;
    rows.push_back({path, child.running, child.restarts});
    if (const auto pool = children_.FindNamed<PoolSupervisor>(child.name)) {
      pool->DescribeChildren(path + "/", rows);
    }
  }
}

}  // namespace wisteriayoke
