#include "supervisor/upstreams/upstreams_supervisor.h"

#include <utility>

#include "supervisor/context/child_record.h"

namespace wisteriayoke {

UpstreamsSupervisor::UpstreamsSupervisor(DaemonContext context,
                                         FailureHandler on_failure)
    : context_(context),
      children_(context.loop, MakeChildObserver(context.state.timeline),
                std::move(on_failure)) {}

bool UpstreamsSupervisor::Start(LastReason& reason) {
  return FollowTables(reason);
}

void UpstreamsSupervisor::Stop(std::function<void()> done) {
  children_.Stop(std::move(done));
}

bool UpstreamsSupervisor::FollowTables(LastReason& reason) {
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

}  // namespace wisteriayoke
