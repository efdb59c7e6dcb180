#include "supervisor/context/daemon_status.h"

#include "base/invariant.h"
#include "base/version.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {
namespace {

std::vector<UpstreamStatus> ListUpstreams(const DaemonContext& context) {
  std::vector<UpstreamStatus> rows;
  const DaemonState& state = context.state;
  if (!state.tables) return rows;
  const TimePoint now = context.loop.Now();
  for (const auto& pool : state.tables->spec().pools) {
    for (const auto& upstream : pool.upstreams) {
      rows.push_back({upstream.name, pool.name,
                      state.upstreams.HealthOf(upstream.name, now),
                      state.upstreams.StateOf(upstream.name).in_flight});
    }
  }
  return rows;
}

FollowStatus DescribeFollowing(const DaemonContext& context) {
  const RelayState& relay = context.state.relay;
  const auto age = relay.freshness.AgeAt(context.loop.BootNow());
  const StoreView view = relay.mirrors.View();
  return {.follows_store = relay.follows_store,
          .proof_age_us = age ? age->count() : -1,
          .proof_source = relay.proof_source,
          .tables_head = view.tables.head.number(),
          .entries_head = view.entries.head.number()};
}

}  // namespace

DaemonStatus BuildDaemonStatus(const DaemonContext& context) {
  const DaemonState& state = context.state;
  DaemonStatus status;
  status.name = DaemonName(context.settings.Text(SettingKey::kDaemonName));
  status.data_centre =
      DataCentreName(context.settings.Text(SettingKey::kDataCentre));
  status.release = std::string(kVersion);
  status.version = state.version;
  status.ready = state.ready();
  status.draining = state.draining;
  status.requests_started = state.requests_started;
  status.invariants_broken = CountBrokenInvariants();
  status.upstreams = ListUpstreams(context);
  if (context.settings.Interface() == FrontInterface::kRelay) {
    status.follow = DescribeFollowing(context);
  }
  return status;
}

}  // namespace wisteriayoke
