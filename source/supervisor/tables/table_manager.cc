#include "supervisor/tables/table_manager.h"

#include <utility>

#include "base/overloaded.h"
#include "decisions/poll_interval.h"
#include "supervisor/context/log.h"
#include "wire/digest.h"
#include "wire/store_codec.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

constexpr auto kHeadKey = "tables/head";
constexpr int kStatusOk = 200;
constexpr Duration kPeerTimeout = std::chrono::milliseconds(300);
/// How long a daemon that starts without tables collects heads from its peers.
constexpr Duration kListenTime = std::chrono::milliseconds(300);
/// Maximum time of a cold start, for heads from peers and for their content.
constexpr Duration kColdStartTime = std::chrono::milliseconds(1000);

TableSetPtr BuildTables(const std::string& content, LastReason& reason) {
  auto spec = ParseTableSpec(content, reason);
  if (!spec) return nullptr;
  auto tables = TableSet::Create(std::move(*spec), reason);
  if (!tables) return nullptr;
  return std::make_shared<const TableSet>(std::move(*tables));
}

}  // namespace

TableManager::TableManager(DaemonContext context,
                           TableServiceFinder table_service, PeerFinder peers,
                           ChangeHandler on_change, FailureHandler on_failure)
    : context_(context),
      table_service_(std::move(table_service)),
      peers_(std::move(peers)),
      on_change_(std::move(on_change)),
      on_failure_(std::move(on_failure)),
      follower_(context.state.version) {}

bool TableManager::Start(LastReason& /*reason*/) {
  head_updates_ =
      context_.state.gossip.Subscribe([this](const GossipUpdate& update) {
        if (const auto* head = std::get_if<TableHeadUpdate>(&update)) {
          Feed(HeadSeen{head->version, TableSource::kPeer});
        }
      });
  ScheduleColdStart();
  PollHead();
  return true;
}

void TableManager::Stop(const std::function<void()>& done) {
  stopped_ = true;
  head_updates_.reset();
  poll_timer_.reset();
  listen_timer_.reset();
  cold_start_timer_.reset();
  retry_timers_.clear();
  done();
}

void TableManager::ScheduleColdStart() {
  listen_timer_ = context_.loop.Schedule(kListenTime,
                                         [this] { Feed(ListenPeriodEnded{}); });
  cold_start_timer_ = context_.loop.Schedule(
      kColdStartTime, [this] { Feed(ColdStartTimedOut{}); });
}

void TableManager::PollHead() {
  ScheduleNextPoll();
  const auto table_service = table_service_();
  if (!table_service) return;
  table_service->ReadRecord(
      kHeadKey, [self = shared_from_this()](const StoreReply& reply) {
        if (!self->stopped_) self->HandleHead(reply);
      });
}

void TableManager::ScheduleNextPoll() {
  const auto peers = peers_();
  const Duration interval = SharedPollInterval(
      context_.settings.Milliseconds(SettingKey::kHeadPollInterval),
      peers ? peers->group_size() : 1, context_.state.random);
  poll_timer_ = context_.loop.Schedule(interval, [this] { PollHead(); });
}

void TableManager::HandleHead(const StoreReply& reply) {
  if (reply.code != ResultCode::kOk) return;
  LastReason reason;
  const auto version = ParseTableHead(reply.value, reason);
  if (version) return Feed(HeadSeen{*version, TableSource::kStore});
  RecordRefusal(reason);
}

void TableManager::Fetch(const FetchContent& fetch) {
  if (fetch.source == TableSource::kStore) return FetchFromStore(fetch.hash);
  FetchFromPeer(fetch.hash);
}

void TableManager::FetchFromStore(const std::string& hash) {
  const auto table_service = table_service_();
  if (!table_service) return FailFetch(hash);
  table_service->ReadObject(
      hash, [self = shared_from_this(), hash](const StoreReply& reply) {
        if (self->stopped_) return;
        if (reply.code != ResultCode::kOk) return self->FailFetch(hash);
        self->HandleContent(hash, reply.value);
      });
}

void TableManager::FetchFromPeer(const std::string& hash) {
  const auto peers = peers_();
  const auto holder = peers ? peers->ChooseContentPeer(hash) : std::nullopt;
  if (!holder) return FailFetch(hash);
  FetchResponse(context_.loop, *holder,
                {.method = "GET", .target = TableContentTarget(hash)},
                {.connect_timeout = kPeerTimeout, .idle_timeout = kPeerTimeout},
                [self = shared_from_this(), hash](const FetchResult& result) {
                  if (self->stopped_) return;
                  const bool good = result.code == ResultCode::kOk &&
                                    result.response.head.status == kStatusOk;
                  if (!good) return self->FailFetch(hash);
                  self->HandleContent(hash, result.response.body);
                });
}

void TableManager::FailFetch(const std::string& hash) {
  // Posted, since `Feed` may still be executing the action that fetches.
  context_.loop.Post([self = shared_from_this(), hash] {
    if (!self->stopped_) self->Feed(FetchFailed{hash});
  });
}

void TableManager::ScheduleRetry(const RetryFetch& retry) {
  retry_timers_[retry.hash] = context_.loop.Schedule(
      retry.delay, [this, hash = retry.hash] { Feed(RetryDue{hash}); });
}

void TableManager::HandleContent(const std::string& hash,
                                 const std::string& content) {
  LastReason reason;
  if (ComputeDigest(content) != hash) {
    reason.Set(ResultCode::kTableHashMismatch,
               "digest of the fetched content differs from " + hash);
    RecordRefusal(reason);
    return Feed(FetchFailed{hash});
  }
  if (const auto tables = BuildTables(content, reason)) {
    contents_[hash] = content;
    return Feed(ContentArrived{hash, tables});
  }
  RecordRefusal(reason);
  Feed(ContentInvalid{hash});
}

bool TableManager::Announce(std::uint64_t number, const std::string& content,
                            LastReason& reason) {
  const auto tables = BuildTables(content, reason);
  if (!tables) return false;
  const std::string hash = ComputeDigest(content);
  contents_[hash] = content;
  Feed(HeadSeen{{number, hash}, TableSource::kPeer});
  Feed(ContentArrived{hash, tables});
  return true;
}

void TableManager::RecordRefusal(const LastReason& reason) {
  context_.state.timeline.Record(LogLevel::kError, EventKind::kTablesRefused,
                                 reason.code(), {{"reason", reason.message()}});
}

void TableManager::Feed(const TableEvent& event) {
  for (const auto& action : follower_.Handle(event)) {
    std::visit(
        Overloaded{
            [this](const FetchContent& fetch) { Fetch(fetch); },
            [this](const RetryFetch& retry) { ScheduleRetry(retry); },
            [this](const AnnounceHead& announce) {
              context_.state.gossip.Post(TableHeadUpdate{announce.version});
            },
            [this](const PutInForce& put) { PutTablesInForce(put); },
        },
        action);
  }
}

void TableManager::PutTablesInForce(const PutInForce& action) {
  DaemonState& state = context_.state;
  state.version = action.version;
  state.tables = action.tables;
  state.table_content = std::move(contents_[action.version.hash]);
  contents_.clear();
  retry_timers_.erase(action.version.hash);
  state.upstreams.Retain(*action.tables);
  state.timeline.Record(LogLevel::kInfo, EventKind::kTablesInForce,
                        ResultCode::kOk,
                        {{"version", std::to_string(action.version.number)},
                         {"hash", action.version.hash}});
  if (const auto peers = peers_()) peers->SetHeadInForce(action.version);
  on_change_();
}

}  // namespace wisteriayoke
