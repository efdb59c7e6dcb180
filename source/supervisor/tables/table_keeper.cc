#include "supervisor/tables/table_keeper.h"

#include <utility>

#include "base/overloaded.h"
#include "supervisor/context/log.h"
#include "wire/digest.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

constexpr auto kHeadKey = "tables/head";

TableSetPtr BuildTables(const std::string& content, LastReason& reason) {
  auto spec = ParseTableSpec(content, reason);
  if (!spec) return nullptr;
  auto tables = TableSet::Create(std::move(*spec), reason);
  if (!tables) return nullptr;
  return std::make_shared<const TableSet>(std::move(*tables));
}

}  // namespace

TableKeeper::TableKeeper(DaemonContext context, PlatformFinder platform,
                         ChangeHandler on_change, FailureHandler on_failure)
    : context_(context),
      platform_(std::move(platform)),
      on_change_(std::move(on_change)),
      on_failure_(std::move(on_failure)),
      follower_(context.state.version),
      jitter_(std::random_device{}()) {}

bool TableKeeper::Start(LastReason& /*reason*/) {
  PollHead();
  return true;
}

void TableKeeper::Stop(const std::function<void()>& done) {
  stopped_ = true;
  poll_timer_.reset();
  done();
}

void TableKeeper::PollHead() {
  ScheduleNextPoll();
  const auto platform = platform_();
  if (!platform) return;
  platform->ReadRecord(kHeadKey,
                       [self = shared_from_this()](const StoreReply& reply) {
                         if (!self->stopped_) self->HandleHead(reply);
                       });
}

void TableKeeper::ScheduleNextPoll() {
  const Duration interval =
      context_.settings.Milliseconds(SettingKey::kHeadPollInterval);
  std::uniform_int_distribution<Duration::rep> spread(interval.count() / 2,
                                                      interval.count());
  poll_timer_ =
      context_.loop.Schedule(Duration(spread(jitter_)), [this] { PollHead(); });
}

void TableKeeper::HandleHead(const StoreReply& reply) {
  if (reply.code != ResultCode::kOk) return;
  LastReason reason;
  const auto version = ParseTableHead(reply.value, reason);
  if (version) return Feed(HeadSeen{*version});
  context_.state.timeline.Record(LogLevel::kError, EventKind::kTablesRefused,
                                 reason.code(), {{"reason", reason.message()}});
}

void TableKeeper::Fetch(const std::string& hash) {
  const auto platform = platform_();
  if (!platform) return;
  platform->ReadObject(
      hash, [self = shared_from_this(), hash](const StoreReply& reply) {
        if (!self->stopped_) self->HandleContent(hash, reply);
      });
}

void TableKeeper::HandleContent(const std::string& hash,
                                const StoreReply& reply) {
  if (reply.code != ResultCode::kOk) return;
  LastReason reason;
  if (ComputeDigest(reply.value) != hash) {
    reason.Set(ResultCode::kTableHashMismatch, "content of " + hash);
  } else if (const auto tables = BuildTables(reply.value, reason)) {
    return Feed(ContentArrived{hash, tables});
  }
  context_.state.timeline.Record(LogLevel::kError, EventKind::kTablesRefused,
                                 reason.code(), {{"reason", reason.message()}});
}

void TableKeeper::Feed(const TableEvent& event) {
  for (const auto& action : follower_.Handle(event)) {
    std::visit(Overloaded{
                   [this](const FetchContent& fetch) { Fetch(fetch.hash); },
                   [this](const PutInForce& put) { PutTablesInForce(put); },
               },
               action);
  }
}

void TableKeeper::PutTablesInForce(const PutInForce& action) {
  DaemonState& state = context_.state;
  state.version = action.version;
  state.tables = action.tables;
  state.upstreams.Retain(*action.tables);
  state.timeline.Record(LogLevel::kInfo, EventKind::kTablesInForce,
                        ResultCode::kOk,
                        {{"version", std::to_string(action.version.number)},
                         {"hash", action.version.hash}});
  on_change_();
}

}  // namespace wisteriayoke
