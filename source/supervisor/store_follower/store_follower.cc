#include "supervisor/store_follower/store_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform/fleet_codec.h"
#include "platform/relay_tables_codec.h"
#include "platform/store_tables.h"

namespace wisteriayoke {
namespace {

/// Wait for changes of the tables in thousandths of the revocation time. Each
/// wait that ends proves the tables fresh, so a daemon that loses the store
/// still accepts keys for most of the revocation time.
constexpr int kTablesWaitPerMille = 300;
/// Wait for changes of the entries, whose freshness needs no proof.
constexpr Duration kEntriesWait = std::chrono::seconds(5);
/// Delay of the next call after one with changes of the entries, so that many
/// changes in quick succession need few calls. It is short against the two
/// seconds for which a leaving upstream may still get work.
constexpr Duration kEntriesPause = std::chrono::milliseconds(200);
/// How much too early the store may end a wait.
constexpr Duration kWaitTolerance = std::chrono::milliseconds(5);
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(400);
/// A fraction of the time for which an expired entry is kept.
constexpr Duration kExpiryInterval = std::chrono::milliseconds(200);

Duration RetryDelay(unsigned failures) {
  Duration delay = kFirstRetryDelay;
  for (unsigned i = 1; i < failures && delay < kMaxRetryDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, kMaxRetryDelay);
}

}  // namespace

StoreFollower::StoreFollower(DaemonContext context,
                             const FailureHandler& /*on_failure*/)
    : context_(context),
      store_(std::make_shared<RowStore>(
          context.loop,
          context.settings.EndpointOf(SettingKey::kPlatformAddress))),
      tables_{
          .table = kDocumentTable,
          .wait = context.settings.Milliseconds(SettingKey::kRevocationTime) *
                  kTablesWaitPerMille / 1000},
      entries_{.table = kEntriesTable,
               .wait = kEntriesWait,
               .pause = kEntriesPause} {}

bool StoreFollower::Start(LastReason& /*reason*/) {
  CallStore(tables_, &StoreFollower::ApplyTables);
  CallStore(entries_, &StoreFollower::ApplyEntries);
  ExpireEntries();
  return true;
}

void StoreFollower::Stop(const std::function<void()>& done) {
  stopped_ = true;
  tables_.timer.reset();
  entries_.timer.reset();
  expiry_timer_.reset();
  done();
}

void StoreFollower::CallStore(ChangeFeed& feed, Handler handler) {
  if (stopped_) return;
  auto done = [self = shared_from_this(), &feed, handler,
               sent = context_.loop.BootNow()](const RowReply& reply) {
    self->HandleReply(feed, handler, sent, reply);
  };
  if (feed.synced) {
    store_->Follow(feed.table, feed.version, feed.wait, std::move(done));
  } else {
    store_->ReadTable(feed.table, std::move(done));
  }
}

void StoreFollower::HandleReply(ChangeFeed& feed, Handler handler,
                                BootTime sent, const RowReply& reply) {
  if (stopped_) return;
  const auto kind = feed.synced ? StoreCallKind::kFollow : StoreCallKind::kRead;
  context_.state.relay.metrics.CountStoreCall(kind, reply.code);
  if (reply.code == ResultCode::kObjectMissing) {
    feed.synced = false;
    return CallStore(feed, handler);
  }
  if (reply.code != ResultCode::kOk) return HandleFailure(feed, handler, reply);
  RecordReturn(feed);
  const bool whole = !feed.synced;
  feed.synced = true;
  feed.version = reply.page.version;
  (this->*handler)(reply.page, whole);
  // An empty answer to a wait proves that nothing changed until its end; any
  // other answer may be as old as the call.
  const BootTime wait_end = sent + feed.wait - kWaitTolerance;
  const bool idle =
      !whole && reply.page.rows.empty() && context_.loop.BootNow() >= wait_end;
  if (&feed == &tables_ && document_valid_) {
    context_.state.relay.freshness.RecordProof(idle ? wait_end : sent);
  }
  if (reply.page.rows.empty()) return CallStore(feed, handler);
  ScheduleCall(feed.pause, feed, handler);
}

void StoreFollower::ScheduleCall(Duration delay, ChangeFeed& feed,
                                 Handler handler) {
  feed.timer = context_.loop.Schedule(
      delay, [this, &feed, handler] { CallStore(feed, handler); });
}

void StoreFollower::HandleFailure(ChangeFeed& feed, Handler handler,
                                  const RowReply& reply) {
  if (++feed.failures == 1) {
    context_.state.timeline.Record(
        LogLevel::kWarning, EventKind::kStoreLost, reply.code,
        {{"table", feed.table}, {"reason", reply.message}});
  }
  ScheduleCall(RetryDelay(feed.failures), feed, handler);
}

void StoreFollower::RecordReturn(ChangeFeed& feed) {
  if (feed.failures == 0) return;
  context_.state.timeline.Record(
      LogLevel::kInfo, EventKind::kStoreReturned, ResultCode::kOk,
      {{"table", feed.table}, {"failures", std::to_string(feed.failures)}});
  feed.failures = 0;
  if (&feed == &entries_) {
    context_.state.relay.fleet.RecordStoreRecovery(context_.loop.Now());
  }
}

void StoreFollower::ApplyTables(const RowPage& page, bool /*whole*/) {
  RelayState& relay = context_.state.relay;
  for (const auto& row : page.rows) {
    if (row.key != kDocumentKey || row.removed) continue;
    LastReason reason;
    auto spec = ParseRelaySpec(row.value, reason);
    document_valid_ = spec.has_value();
    if (!spec) {
      context_.state.timeline.Record(LogLevel::kError,
                                     EventKind::kTablesRefused, reason.code(),
                                     {{"reason", reason.message()}});
      continue;
    }
    if (relay.tables && spec->version <= relay.tables->spec().version) continue;
    relay.tables = std::make_shared<const RelayTables>(std::move(*spec));
    const RelaySpec& applied = relay.tables->spec();
    context_.state.version.number = applied.version;
    context_.state.timeline.Record(
        LogLevel::kInfo, EventKind::kTablesInForce, ResultCode::kOk,
        {{"version", std::to_string(applied.version)},
         {"routes", std::to_string(applied.routes.size())},
         {"workspaces", std::to_string(applied.workspaces.size())}});
  }
}

void StoreFollower::ApplyEntries(const RowPage& page, bool whole) {
  for (const auto& row : page.rows) {
    if (row.removed) {
      RemoveEntry(UpstreamName(row.key));
    } else {
      ApplyEntry(row);
    }
  }
  if (whole) RemoveMissing(page);
  context_.state.relay.fleet_known = true;
}

void StoreFollower::ApplyEntry(const StoreRow& row) {
  LastReason reason;
  const auto entry = ParseFleetEntry(row.key, row.value, reason);
  if (!entry) {
    context_.state.timeline.Record(LogLevel::kWarning, EventKind::kEntryRefused,
                                   reason.code(),
                                   {{"reason", reason.message()}});
    return RemoveEntry(UpstreamName(row.key));
  }
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
       {"version", std::to_string(row.version)}});
}

void StoreFollower::RemoveMissing(const RowPage& page) {
  std::vector<UpstreamName> present;
  for (const auto& row : page.rows) present.emplace_back(row.key);
  for (const auto& name : context_.state.relay.fleet.ListMissing(present)) {
    RemoveEntry(name);
  }
}

void StoreFollower::RemoveEntry(const UpstreamName& name) {
  if (context_.state.relay.fleet.Remove(name, context_.loop.Now())) {
    ForgetUpstream(name);
  }
}

void StoreFollower::ForgetUpstream(const UpstreamName& name) {
  context_.state.upstreams.Reset(name);
  context_.state.timeline.Record(LogLevel::kInfo, EventKind::kUpstreamGone,
                                 ResultCode::kOk, {{"upstream", name.text()}});
}

void StoreFollower::ExpireEntries() {
  const TimePoint now = context_.loop.Now();
  for (const auto& name : context_.state.relay.fleet.Expire(now)) {
    ForgetUpstream(name);
  }
  RecordFreshness();
  expiry_timer_ =
      context_.loop.Schedule(kExpiryInterval, [this] { ExpireEntries(); });
}

/// Records when keys stop being accepted and when they are accepted again.
void StoreFollower::RecordFreshness() {
  const RelayState& relay = context_.state.relay;
  const BootTime now = context_.loop.BootNow();
  const bool fresh = relay.freshness.AllowsKeys(now);
  if (fresh == std::exchange(keys_fresh_, fresh)) return;
  const auto age = relay.freshness.AgeAt(now);
  context_.state.timeline.Record(
      fresh ? LogLevel::kInfo : LogLevel::kWarning,
      fresh ? EventKind::kKeysFresh : EventKind::kKeysStale,
      fresh ? ResultCode::kOk : ResultCode::kNotReady,
      {{"tables", std::to_string(context_.state.version.number)},
       {"tables_age_us", age ? std::to_string(age->count()) : "unknown"}});
}

}  // namespace wisteriayoke
