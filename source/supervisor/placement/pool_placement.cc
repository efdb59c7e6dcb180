#include "supervisor/placement/pool_placement.h"

#include <utility>

#include "base/overloaded.h"
#include "wire/digest.h"
#include "wire/order_codec.h"

namespace wisteriayoke {
namespace {

constexpr int kTicksPerLease = 4;
constexpr int kMarginDivisor = 10;
constexpr int kStatusOk = 200;
constexpr int kStatusFenced = 409;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
/// Longer than an order's timeouts in sum. After a timeout the connection is
/// reset, which discards data that hasn't arrived.
constexpr Duration kMaxOrderDelay = std::chrono::seconds(3);
constexpr HttpCallLimits kOrderLimits{.connect_timeout = kConnectTimeout,
                                      .idle_timeout = kAnswerTimeout,
                                      .reset_on_close = true};

LeaseLimits LimitsOf(const Settings& settings, const Pool& pool) {
  const Duration length = settings.Milliseconds(SettingKey::kLeaseLength);
  return {.length = length,
          .margin = length / kMarginDivisor,
          .max_order_delay = pool.checks_fencing ? Duration(0) : kMaxOrderDelay,
          .drift_per_mille = static_cast<std::uint32_t>(
              settings.Count(SettingKey::kClockDrift))};
}

LeaseEvent DescribeReply(const StoreReply& reply, LeaseOperation operation,
                         bool write, LastReason& reason) {
  if (reply.code == ResultCode::kOk && write) {
    return LeaseWritten{operation, reply.version};
  }
  if (reply.code == ResultCode::kObjectMissing && !write) {
    return LeaseRead{operation};
  }
  const bool has_record =
      reply.code == ResultCode::kOk || reply.code == ResultCode::kStoreConflict;
  if (!has_record) return LeaseCallFailed{operation};
  auto record = ParseLeaseRecord(reply.value, reason);
  if (record && reply.code == ResultCode::kOk) {
    return LeaseRead{operation, std::move(record), reply.version};
  }
  if (record && reply.code == ResultCode::kStoreConflict) {
    return LeaseConflicted{operation, std::move(record), reply.version};
  }
  return LeaseCallFailed{operation};
}

}  // namespace

PoolPlacement::PoolPlacement(DaemonContext context,
                             TableServiceFinder table_service, Pool pool,
                             std::string token)
    : context_(context),
      table_service_(std::move(table_service)),
      pool_(std::move(pool)),
      record_name_("leases/" + ComputeDigest(pool_.name.text())),
      tick_(context.settings.Milliseconds(SettingKey::kLeaseLength) /
            kTicksPerLease),
      lease_(DaemonName(context.settings.Text(SettingKey::kDaemonName)),
             std::move(token), LimitsOf(context.settings, pool_)),
      plan_(pool_) {}

bool PoolPlacement::Start(LastReason& /*reason*/) {
  Tick();
  return true;
}

void PoolPlacement::Stop(const std::function<void()>& done) {
  stopped_ = true;
  timer_.reset();
  done();
}

void PoolPlacement::Tick() {
  timer_ = context_.loop.Schedule(tick_, [this] { Tick(); });
  FeedLease(LeaseTick{context_.state.rank});
  FeedPlan(PlacementTick{});
  RecordHolding();
}

void PoolPlacement::FeedLease(const LeaseEvent& event) {
  if (stopped_) return;
  for (const auto& action : lease_.Handle(event, context_.loop.Now())) {
    std::visit(Overloaded{
                   [this](const ReadLease& read) { Read(read); },
                   [this](const WriteLease& write) { Write(write); },
               },
               action);
  }
  RecordHolding();
}

void PoolPlacement::Read(const ReadLease& action) {
  const auto table_service = table_service_();
  if (!table_service) return FeedLease(LeaseCallFailed{action.operation});
  table_service->ReadRecord(
      record_name_, [self = shared_from_this(),
                     operation = action.operation](const StoreReply& reply) {
        self->HandleReply(reply, operation, false);
      });
}

void PoolPlacement::Write(const WriteLease& action) {
  const auto table_service = table_service_();
  if (!table_service) return FeedLease(LeaseCallFailed{action.operation});
  table_service->WriteRecord(
      record_name_, EncodeLeaseRecord(action.record), action.expected,
      [self = shared_from_this(),
       operation = action.operation](const StoreReply& reply) {
        self->HandleReply(reply, operation, true);
      });
}

void PoolPlacement::HandleReply(const StoreReply& reply,
                                LeaseOperation operation, bool write) {
  LastReason reason;
  const LeaseEvent event = DescribeReply(reply, operation, write, reason);
  if (reason.code() != ResultCode::kOk) {
    RecordRefused(record_name_, reason);
  }
  FeedLease(event);
}

void PoolPlacement::RecordRefused(const std::string& entry,
                                  const LastReason& reason) {
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kEntryRefused, reason.code(),
      {{"entry", entry}, {"reason", reason.message()}});
}

void PoolPlacement::FeedPlan(const PlacementEvent& event) {
  if (stopped_) return;
  const TimePoint now = context_.loop.Now();
  for (const auto& action :
       plan_.Handle(event, lease_.FencingNumberAt(now), now)) {
    std::visit(Overloaded{
                   [this](const QueryEngine& query) { Query(query); },
                   [this](const SendOrder& send) { Send(send); },
               },
               action);
  }
}

const Endpoint& PoolPlacement::EndpointOf(const UpstreamName& upstream) const {
  for (const auto& spec : pool_.upstreams) {
    if (spec.name == upstream) return spec.endpoint;
  }
  return pool_.upstreams.front().endpoint;
}

void PoolPlacement::Query(const QueryEngine& action) {
  FetchResponse(
      context_.loop, EndpointOf(action.upstream),
      {.method = "GET", .target = "/orders"}, {.idle_timeout = kAnswerTimeout},
      [self = shared_from_this(), upstream = action.upstream](
          const FetchResult& result) { self->HandleReport(upstream, result); });
}

void PoolPlacement::HandleReport(const UpstreamName& upstream,
                                 const FetchResult& result) {
  if (result.code != ResultCode::kOk ||
      result.response.head.status != kStatusOk) {
    return FeedPlan(EngineQueryFailed{upstream});
  }
  LastReason reason;
  const auto report = ParseEngineReport(result.response.body, reason);
  if (!report) {
    RecordRefused(upstream.text(), reason);
    return FeedPlan(EngineQueryFailed{upstream});
  }
  FeedPlan(EngineReported{upstream, report->state, report->ready});
}

void PoolPlacement::Send(const SendOrder& action) {
  // Checks the lease once more, right before the order is sent.
  if (lease_.FencingNumberAt(context_.loop.Now()) != action.order.fencing) {
    return EndOrder(action, OrderResult::kFailed);
  }
  context_.state.timeline.Record(
      LogLevel::kInfo, EventKind::kOrderSent, ResultCode::kOk,
      {{"upstream", action.upstream.text()},
       {"fencing", std::to_string(action.order.fencing)},
       {"version", action.order.state.version}});
  FetchResponse(context_.loop, EndpointOf(action.upstream),
                {.method = "POST",
                 .target = "/orders",
                 .body = EncodeOrder(action.order)},
                kOrderLimits,
                [self = shared_from_this(), action](const FetchResult& result) {
                  self->HandleOrder(action, result);
                });
}

void PoolPlacement::HandleOrder(const SendOrder& action,
                                const FetchResult& result) {
  const int status = result.response.head.status;
  if (result.code != ResultCode::kOk) {
    return EndOrder(action, OrderResult::kFailed);
  }
  if (status == kStatusFenced) return EndOrder(action, OrderResult::kFenced);
  EndOrder(action,
           status == kStatusOk ? OrderResult::kAccepted : OrderResult::kFailed);
}

void PoolPlacement::EndOrder(const SendOrder& action, OrderResult result) {
  const bool fenced = result == OrderResult::kFenced;
  context_.state.timeline.Record(
      result == OrderResult::kAccepted ? LogLevel::kInfo : LogLevel::kWarning,
      EventKind::kOrderEnded,
      fenced ? ResultCode::kOrderFenced : ResultCode::kOk,
      {{"upstream", action.upstream.text()},
       {"fencing", std::to_string(action.order.fencing)},
       {"result", std::string(kOrderResultNames.NameOf(result))}});
  FeedPlan(OrderEnded{action.upstream, result, action.order.fencing});
}

void PoolPlacement::RecordHolding() {
  const auto held = lease_.FencingNumberAt(context_.loop.Now());
  if (held == recorded_) return;
  recorded_ = held;
  context_.state.timeline.Record(
      LogLevel::kInfo, held ? EventKind::kLeaseTaken : EventKind::kLeaseEnded,
      held ? ResultCode::kOk : ResultCode::kLeaseLost,
      {{"pool", pool_.name.text()},
       {"fencing", std::to_string(held.value_or(0))}});
}

}  // namespace wisteriayoke
