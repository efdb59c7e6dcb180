#include "supervisor/store_follower/store_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/fault.h"
#include "platform/relay_tables_codec.h"
#include "platform/store_tables.h"

namespace wisteriayoke {
namespace {

/// Wait for changes of the tables in thousandths of the revocation time. Each
/// wait that ends proves the tables fresh, and the proof has to reach daemons
/// that don't follow the store.
constexpr int kTablesWaitPerMille = 150;
/// Wait for changes of the entries, whose freshness needs no proof. With the
/// time for an answer it bounds how long a lost call hides changes, of which a
/// leaving upstream must be known five seconds after the store's return.
constexpr Duration kEntriesWait = std::chrono::milliseconds(3500);
/// Delay of the next call after one with changes of the entries, so that many
/// changes in quick succession need few calls. It is short against the two
/// seconds for which a leaving upstream may still get work.
constexpr Duration kEntriesPause = std::chrono::milliseconds(200);
/// How much too early the store may end a wait.
constexpr Duration kWaitTolerance = std::chrono::milliseconds(5);
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(400);
/// Time between two checks whether this daemon must follow the store.
constexpr Duration kRoleCheckInterval = std::chrono::milliseconds(100);
/// A fraction of the time for which an expired entry is kept.
constexpr Duration kExpiryInterval = std::chrono::milliseconds(200);
/// Timeout of a fetch from a peer, which is a few milliseconds away.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);
constexpr std::uint64_t kMaxPageBytes = 8 * 1024 * 1024;
constexpr int kStatusOk = 200;
constexpr auto kStoreSource = "store";
constexpr auto kUnknown = "unknown";
constexpr auto kNoKeysRequired = "none required";

Duration RetryDelay(unsigned failures) {
  Duration delay = kFirstRetryDelay;
  for (unsigned i = 1; i < failures && delay < kMaxRetryDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, kMaxRetryDelay);
}

/// Converts a page of the store in its era `era`. One of changes follows on
/// `head`. A row of a whole table that changed while its pages were read counts
/// as of their first one, so that the feed goes on from there and misses no
/// earlier change.
MirrorChanges ConvertPage(const RowPage& page, bool whole, std::uint32_t era,
                          StoreVersion head) {
  const StoreVersion position(era, page.version);
  MirrorChanges changes{
      .head = whole ? position : head, .position = position, .whole = whole};
  for (const auto& row : page.rows) {
    const StoreVersion version(
        era, whole ? std::min(row.version, page.version) : row.version);
    changes.head = std::max(changes.head, version);
    changes.rows.push_back({row.key, row.value, version, row.removed});
  }
  return changes;
}

}  // namespace

StoreFollower::StoreFollower(DaemonContext context, PeerFinder peers,
                             const FailureHandler& /*on_failure*/)
    : context_(context),
      peers_(std::move(peers)),
      store_(std::make_shared<RowStore>(
          context.loop,
          context.settings.EndpointOf(SettingKey::kPlatformAddress))),
      policy_(context.settings.Milliseconds(SettingKey::kRevocationTime)),
      tables_{
          .table = MirroredTable::kTables,
          .store_table = kDocumentTable,
          .wait = context.settings.Milliseconds(SettingKey::kRevocationTime) *
                  kTablesWaitPerMille / 1000},
      entries_{.table = MirroredTable::kEntries,
               .store_table = kEntriesTable,
               .wait = kEntriesWait,
               .pause = kEntriesPause},
      fleet_updater_(context) {}

bool StoreFollower::Start(LastReason& /*reason*/) {
  peer_views_ = context_.state.relay.peer_views.Subscribe(
      [this](const StoreView& view, const Endpoint& source) {
        HandlePeerView(view, source);
      });
  CheckRole(tables_);
  CheckRole(entries_);
  ExpireEntries();
  return true;
}

void StoreFollower::Stop(const std::function<void()>& done) {
  stopped_ = true;
  peer_views_.reset();
  for (ChangeFeed* feed : {&tables_, &entries_}) {
    feed->timer.reset();
    // The call refers to this object, which holds it.
    if (const auto call = std::exchange(feed->call, nullptr)) call->Cancel();
  }
  expiry_timer_.reset();
  done();
}

/// Decides whether this daemon follows the store, and records a change.
bool StoreFollower::MustFollow() {
  RelayState& relay = context_.state.relay;
  const auto age = relay.freshness.AgeAt(context_.loop.BootNow());
  const bool follows = policy_.MustFollow({.rank = relay.follow_rank,
                                           .group_size = relay.group_size,
                                           .proof_age = age});
  if (follows == std::exchange(relay.follows_store, follows)) return follows;
  context_.state.timeline.Record(
      LogLevel::kInfo,
      follows ? EventKind::kStoreFollowed : EventKind::kStoreUnfollowed,
      ResultCode::kOk,
      {{"rank", std::to_string(relay.follow_rank)},
       {"group", std::to_string(relay.group_size)},
       {"tables_age_us", age ? std::to_string(age->count()) : kUnknown},
       {"proof_source", relay.proof_source}});
  return follows;
}

void StoreFollower::CheckRole(ChangeFeed& feed) {
  if (stopped_) return;
  if (MustFollow()) return CallStore(feed);
  feed.failures = 0;
  Schedule(kRoleCheckInterval, feed);
}

Duration StoreFollower::ChooseWait(const ChangeFeed& feed) const {
  // A call that waits would tell late that the store is back.
  if (feed.failures > 0) return Duration::zero();
  // Only the tables need proofs.
  if (feed.table != MirroredTable::kTables) return feed.wait;
  const auto age =
      context_.state.relay.freshness.AgeAt(context_.loop.BootNow());
  return StoreFollowPolicy::ChooseWait(feed.wait, age, feed.last_waited);
}

void StoreFollower::CallStore(ChangeFeed& feed) {
  const RowMirror& mirror = MirrorOf(feed);
  const bool whole = feed.read_whole || !mirror.complete();
  const Duration wait = ChooseWait(feed);
  feed.last_waited = wait > Duration::zero();
  feed.sent = context_.loop.BootNow();
  auto done = [self = shared_from_this(), &feed, whole,
               wait](const RowReply& reply) {
    const bool handled = RunGuarded(FaultBoundary::kStoreFeed, [&] {
      self->HandleReply(feed, whole, wait, reply);
    });
    // The next page may be sound.
    if (!handled && !self->stopped_) self->Schedule(kMaxRetryDelay, feed);
  };
  feed.position = mirror.view().position;
  if (whole) {
    store_->ReadTable(feed.store_table, std::move(done));
  } else {
    feed.call = store_->Follow(feed.store_table, feed.position.number(), wait,
                               std::move(done));
  }
}

void StoreFollower::HandleReply(ChangeFeed& feed, bool whole, Duration wait,
                                const RowReply& reply) {
  if (stopped_) return;
  feed.call.reset();
  const auto kind = whole ? StoreCallKind::kRead : StoreCallKind::kFollow;
  RelayState& relay = context_.state.relay;
  relay.metrics.CountStoreCall(kind, reply.code);
  if (reply.code == ResultCode::kObjectMissing) {
    RecordLostHistory(feed, reply);
    feed.read_whole = true;
    return CallStore(feed);
  }
  if (reply.code != ResultCode::kOk) {
    return HandleFailure(feed, reply.code, reply.message);
  }
  const std::uint32_t known_era = MirrorOf(feed).view().head.era();
  const std::uint32_t era = reply.page.era.value_or(known_era);
  const StoreVersion answered(era, reply.page.version);
  if (answered < feed.position) {
    return HandleFailure(feed, ResultCode::kStoreUnreachable,
                         "the answer is as of version " + answered.ToString() +
                             ", before the known " + feed.position.ToString());
  }
  // Changes after a position of another era aren't those after this mirror's.
  const bool usable =
      whole ? era >= known_era : era == known_era && era == feed.position.era();
  if (!usable) {
    feed.read_whole = whole || era > known_era;
    return CallStore(feed);
  }
  RecordReturn(feed);
  if (!whole) feed.lost_histories = 0;
  fleet_updater_.RecordStoreAnswer();
  feed.answered = context_.loop.BootNow();
  feed.read_whole = false;
  Apply(feed, ConvertPage(reply.page, whole, era, MirrorOf(feed).view().head),
        kStoreSource);
  ConfirmEntries(feed);
  // An empty answer to a wait proves that nothing changed until its end; any
  // other answer may be as old as the call.
  const BootTime wait_end =
      feed.sent + std::max(wait - kWaitTolerance, Duration());
  const bool idle =
      !whole && reply.page.rows.empty() && context_.loop.BootNow() >= wait_end;
  if (feed.table == MirroredTable::kTables && relay.document_valid &&
      relay.freshness.RecordProof(idle ? wait_end : feed.sent)) {
    relay.proof_source = kStoreSource;
  }
  if (reply.page.rows.empty() && !reply.page.has_skipped) {
    return CheckRole(feed);
  }
  Schedule(feed.pause, feed);
}

void StoreFollower::Schedule(Duration delay, ChangeFeed& feed) {
  feed.timer =
      context_.loop.Schedule(delay, [this, &feed] { CheckRole(feed); });
}

void StoreFollower::HandleFailure(ChangeFeed& feed, ResultCode code,
                                  const std::string& message) {
  if (++feed.failures == 1) {
    context_.state.timeline.Record(
        LogLevel::kWarning, EventKind::kStoreLost, code,
        {{"table", feed.store_table},
         {"reason", message},
         {"call_us", DescribeCallTime(feed)},
         {"answer_age_us", DescribeAnswerAge(feed)}});
  }
  Schedule(RetryDelay(feed.failures), feed);
}

/// Records that the store no longer has the changes after this daemon's
/// position, the first time in a row.
void StoreFollower::RecordLostHistory(ChangeFeed& feed, const RowReply& reply) {
  if (++feed.lost_histories > 1) return;
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kStoreHistoryLost, reply.code,
      {{"table", feed.store_table},
       {"position", MirrorOf(feed).view().position.ToString()},
       {"store_era",
        reply.page.era ? std::to_string(*reply.page.era) : kUnknown}});
}

void StoreFollower::RecordReturn(ChangeFeed& feed) {
  if (feed.failures == 0) return;
  context_.state.timeline.Record(LogLevel::kInfo, EventKind::kStoreReturned,
                                 ResultCode::kOk,
                                 {{"table", feed.store_table},
                                  {"failures", std::to_string(feed.failures)},
                                  {"call_us", DescribeCallTime(feed)},
                                  {"answer_age_us", DescribeAnswerAge(feed)}});
  feed.failures = 0;
  ReplaceOlderCall(&feed == &tables_ ? entries_ : tables_, feed.sent);
}

/// Sends the open call of `feed` again if it is older than one that was sent at
/// `sent`, the first that the store answered after an outage: it may have been
/// lost in the outage.
void StoreFollower::ReplaceOlderCall(ChangeFeed& feed, BootTime sent) {
  if (!feed.call || feed.sent >= sent) return;
  feed.call->Cancel();
  context_.state.relay.metrics.CountStoreCall(StoreCallKind::kFollow,
                                              ResultCode::kStoreUnreachable);
  CallStore(feed);
}

/// Returns how long the last call has taken, in microseconds.
std::string StoreFollower::DescribeCallTime(const ChangeFeed& feed) const {
  return std::to_string((context_.loop.BootNow() - feed.sent).count());
}

/// Returns how long ago the store last answered a call, in microseconds.
std::string StoreFollower::DescribeAnswerAge(const ChangeFeed& feed) const {
  if (!feed.answered) return kUnknown;
  return std::to_string((context_.loop.BootNow() - *feed.answered).count());
}

/// Records that the copy of `feed` is up to date, if it holds the entries.
void StoreFollower::ConfirmEntries(const ChangeFeed& feed) {
  if (feed.table != MirroredTable::kEntries) return;
  context_.state.relay.entries_confirmed = context_.loop.Now();
}

EntriesSource StoreFollower::DescribeSource(std::string name) const {
  const auto& confirmed = context_.state.relay.entries_confirmed;
  return {std::move(name),
          confirmed ? std::to_string((context_.loop.Now() - *confirmed).count())
                    : kUnknown};
}

/// Fetches the changes that a peer knows and this daemon doesn't.
void StoreFollower::HandlePeerView(const StoreView& view,
                                   const Endpoint& source) {
  for (ChangeFeed* feed : {&tables_, &entries_}) {
    RowMirror& mirror = MirrorOf(*feed);
    const MirrorView& theirs = view.Of(feed->table);
    const StoreVersion position = mirror.view().position;
    mirror.RecordPosition(theirs);
    if (mirror.view().position > position) ConfirmEntries(*feed);
    if (theirs.head <= mirror.view().head) continue;
    if (!feed->fetching) {
      Fetch(*feed, source);
    } else if (theirs.head > feed->next_head) {
      feed->next_head = theirs.head;
      feed->next_peer = source;
    }
  }
}

void StoreFollower::Fetch(ChangeFeed& feed, const Endpoint& source) {
  feed.fetching = true;
  const HttpCallLimits limits{.message = {.body_bytes = kMaxPageBytes},
                              .connect_timeout = kFetchTimeout,
                              .idle_timeout = kFetchTimeout,
                              .total_timeout = kFetchTimeout};
  const MirrorTarget wanted{feed.table, MirrorOf(feed).view().head};
  FetchResponse(
      context_.loop, source, {.target = FormatMirrorTarget(wanted)}, limits,
      [self = shared_from_this(), &feed, source](const FetchResult& result) {
        if (!self->stopped_) self->HandlePage(feed, source, result);
      });
}

void StoreFollower::HandlePage(ChangeFeed& feed, const Endpoint& source,
                               const FetchResult& result) {
  feed.fetching = false;
  LastReason reason;
  const bool answered = result.code == ResultCode::kOk &&
                        result.response.head.status == kStatusOk;
  const auto page =
      answered ? ParseMirrorPage(result.response.body, reason) : std::nullopt;
  if (page) {
    Apply(feed, *page, source.ToString());
    ConfirmEntries(feed);
  } else {
    // Another peer's next message starts another fetch.
    context_.state.timeline.Record(
        LogLevel::kInfo, EventKind::kPeerFetchFailed,
        answered ? reason.code() : ResultCode::kConnectionBroken,
        {{"table", std::string(kMirroredTableNames.NameOf(feed.table))},
         {"peer", source.ToString()},
         {"reason", answered ? reason.message() : result.message}});
  }
  const StoreVersion next = std::exchange(feed.next_head, {});
  if (next > MirrorOf(feed).view().head) Fetch(feed, feed.next_peer);
}

/// Puts changes in force and, if there are any, announces them to peers.
void StoreFollower::Apply(const ChangeFeed& feed, const MirrorChanges& changes,
                          const std::string& source) {
  RowMirror& mirror = MirrorOf(feed);
  const StoreVersion before = mirror.view().head;
  const std::vector<MirrorRow> rows = mirror.Apply(changes);
  if (mirror.view().head.era() > before.era()) {
    HandleNewEra(feed, before, source);
  }
  if (feed.table == MirroredTable::kTables) {
    ApplyTables(rows);
  } else {
    fleet_updater_.Apply(rows, DescribeSource(source));
  }
  if (mirror.view().head == before) return;
  if (const auto link = peers_()) link->AnnounceStoreView();
}

/// Handles that the store returned to an older copy of itself, and logs up to
/// which version this daemon knew it and where the copy is now.
void StoreFollower::HandleNewEra(const ChangeFeed& feed, StoreVersion before,
                                 const std::string& source) {
  if (before == StoreVersion()) return;
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kStoreReset, ResultCode::kOk,
      {{"table", feed.store_table},
       {"known", before.ToString()},
       {"head", MirrorOf(feed).view().head.ToString()},
       {"tables", std::to_string(context_.state.version.number)},
       {"source", source}});
  if (feed.table == MirroredTable::kEntries) fleet_updater_.RecordStoreReset();
}

void StoreFollower::ApplyTables(const std::vector<MirrorRow>& rows) {
  RelayState& relay = context_.state.relay;
  for (const auto& row : rows) {
    if (row.key != kDocumentKey || row.removed) continue;
    LastReason reason;
    auto spec = ParseRelaySpec(row.value, reason);
    relay.document_valid = spec.has_value();
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
         {"store_version", row.version.ToString()},
         {"routes", std::to_string(applied.routes.size())},
         {"workspaces", applied.workspaces
                            ? std::to_string(applied.workspaces->size())
                            : kNoKeysRequired}});
  }
}

void StoreFollower::ExpireEntries() {
  fleet_updater_.Expire();
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
       {"tables_age_us", age ? std::to_string(age->count()) : kUnknown}});
}

}  // namespace wisteriayoke
