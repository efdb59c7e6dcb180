#include "supervisor/store_follower/fleet_updater.h"

#include <algorithm>

#include "platform/fleet_codec.h"

namespace wisteriayoke {
namespace {

/// Source of a removal that was held back until the entry had time to return.
constexpr auto kExpirySource = "expiry";

}  // namespace

void FleetUpdater::RecordStoreAnswer() {
  RecordStoreAge();
  store_answered_ = context_.loop.Now();
  RecordStoreAge();
}

void FleetUpdater::RecordStoreReset() {
  context_.state.relay.fleet.RecordStoreReset(context_.loop.Now());
}

void FleetUpdater::Apply(const std::vector<MirrorRow>& rows,
                         const EntriesSource& source) {
  RecordStoreAge();
  for (const auto& row : rows) {
    if (row.removed) {
      refused_.erase(row.key);
      RemoveEntry(UpstreamName(row.key), source);
    } else {
      ApplyEntry(row, source);
    }
  }
  context_.state.relay.fleet_known =
      context_.state.relay.mirrors.entries.complete();
}

void FleetUpdater::ApplyEntry(const MirrorRow& row,
                              const EntriesSource& source) {
  LastReason reason;
  const auto entry = ParseFleetEntry(row.key, row.value, reason);
  if (!entry) {
    RecordRefusal(row, reason, source);
    return RemoveEntry(UpstreamName(row.key), source);
  }
  refused_.erase(row.key);
  DaemonState& state = context_.state;
  const FleetChange change = state.relay.fleet.Apply(*entry);
  if (change == FleetChange::kNone) return;
  const UpstreamName& name = entry->upstream.name;
  if (change == FleetChange::kRestarted) state.upstreams.Reset(name);
  state.upstreams.SetLeaving(name, entry->draining);
  state.timeline.Record(
      LogLevel::kInfo, EventKind::kUpstreamChanged, ResultCode::kOk,
      {{"upstream", name.text()},
       {"change", std::string(kFleetChangeNames.NameOf(change))},
       {"address", entry->upstream.endpoint.ToString()},
       {"data_centre", entry->upstream.data_centre.text()},
       {"accelerator", entry->upstream.accelerator},
       {"layers", std::to_string(entry->upstream.layers.first) + "-" +
                      std::to_string(entry->upstream.layers.end)},
       {"version", row.version.ToString()},
       {"source", source.name},
       {"entries_age_us", source.age_us}});
}

/// Records an entry that can't be used, once until it changes into one that can
/// or is removed.
void FleetUpdater::RecordRefusal(const MirrorRow& row, const LastReason& reason,
                                 const EntriesSource& source) {
  if (!refused_.insert(row.key).second) return;
  context_.state.timeline.Record(LogLevel::kWarning, EventKind::kEntryRefused,
                                 reason.code(),
                                 {{"upstream", row.key},
                                  {"reason", reason.message()},
                                  {"version", row.version.ToString()},
                                  {"source", source.name}});
}

void FleetUpdater::RemoveEntry(const UpstreamName& name,
                               const EntriesSource& source) {
  Fleet& fleet = context_.state.relay.fleet;
  if (fleet.Remove(name, context_.loop.Now())) {
    return ForgetUpstream(name, source);
  }
  if (fleet.Find(name) == nullptr) return;
  context_.state.timeline.Record(LogLevel::kInfo, EventKind::kUpstreamMissing,
                                 ResultCode::kOk,
                                 {{"upstream", name.text()},
                                  {"source", source.name},
                                  {"entries_age_us", source.age_us}});
}

void FleetUpdater::ForgetUpstream(const UpstreamName& name,
                                  const EntriesSource& source) {
  context_.state.upstreams.Reset(name);
  context_.state.timeline.Record(LogLevel::kInfo, EventKind::kUpstreamGone,
                                 ResultCode::kOk,
                                 {{"upstream", name.text()},
                                  {"source", source.name},
                                  {"entries_age_us", source.age_us}});
}

void FleetUpdater::Expire() {
  RecordStoreAge();
  const TimePoint now = context_.loop.Now();
  for (const auto& name : context_.state.relay.fleet.Expire(now)) {
    ForgetUpstream(name, {kExpirySource, "unknown"});
  }
}

/// Records how long ago the store last answered this daemon or, by the proof of
/// the tables, a peer.
void FleetUpdater::RecordStoreAge() {
  RelayState& relay = context_.state.relay;
  const TimePoint now = context_.loop.Now();
  auto age = relay.freshness.AgeAt(context_.loop.BootNow());
  if (store_answered_) {
    age = std::min(age.value_or(Duration::max()), now - *store_answered_);
  }
  relay.fleet.RecordStoreAge(age, now);
}

}  // namespace wisteriayoke
