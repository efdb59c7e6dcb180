#include "supervisor/layer_placement/layer_placement.h"

#include <random>
#include <utility>

#include "base/overloaded.h"
#include "platform/fleet_codec.h"
#include "platform/relay_fields.h"
#include "supervisor/context/fleet_leaving.h"
#include "wire/order_codec.h"

namespace wisteriayoke {
namespace {

constexpr auto kLeaseTable = "wisteriayoke";
constexpr auto kLeaseKey = "placement-lease";
/// A third of the lease, so that one failed renewal doesn't end it.
constexpr Duration kLeaseInterval = std::chrono::milliseconds(700);
/// An upstream that is this many times slower than the slowest accelerator kind
/// is left out of the plan, so that others get its layers as well.
constexpr double kTooSlow = 2;
constexpr Duration kOrdersInterval = std::chrono::milliseconds(200);
/// Timeout of an order or a report request; an upstream answers both at once,
/// without a slot.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

constexpr std::uint64_t kMaxAnswerBytes = 256 * 1024;

/// A late order is safe (see `LayerOrders`), so a successor waits for none.
constexpr LeaseLimits kLeaseLimits{
    .length = std::chrono::seconds(2),
    .margin = std::chrono::milliseconds(300),
    .max_order_delay = Duration::zero(),
};

std::string MakeToken() {
  std::random_device random;
  return std::to_string(random()) + "-" + std::to_string(random());
}

HttpCallLimits MakeCallLimits() {
  return {.message = {.body_bytes = kMaxAnswerBytes},
          .connect_timeout = kAnswerTimeout,
          .idle_timeout = kAnswerTimeout,
          .total_timeout = kAnswerTimeout};
}

}  // namespace

LayerPlacement::LayerPlacement(DaemonContext context,
                               const FailureHandler& /*on_failure*/)
    : context_(context),
      store_(std::make_shared<RowStore>(
          context.loop,
          context.settings.EndpointOf(SettingKey::kPlatformAddress))),
      lease_(DaemonName(context.settings.Text(SettingKey::kDaemonName)),
             MakeToken(), kLeaseLimits) {}

bool LayerPlacement::Start(LastReason& /*reason*/) {
  TickLease();
  TickOrders();
  return true;
}

void LayerPlacement::Stop(const std::function<void()>& done) {
  stopped_ = true;
  lease_timer_.reset();
  orders_timer_.reset();
  done();
}

/// Returns the time for the lease, by a clock that also runs while the instance
/// is suspended.
TimePoint LayerPlacement::LeaseNow() const {
  return TimePoint(context_.loop.BootNow().time_since_epoch());
}

bool LayerPlacement::HoldsLease() const {
  return lease_.FencingNumberAt(LeaseNow()).has_value();
}

void LayerPlacement::TickLease() {
  // A daemon that drains or can send no orders doesn't renew the lease, so that
  // another takes over.
  const bool yields =
      context_.state.draining || context_.state.relay.reach.lost();
  if (!yields) FeedLease(LeaseTick{context_.state.rank});
  lease_timer_ =
      context_.loop.Schedule(kLeaseInterval, [this] { TickLease(); });
}

void LayerPlacement::FeedLease(const LeaseEvent& event) {
  if (stopped_) return;
  for (const auto& action : lease_.Handle(event, LeaseNow())) {
    std::visit([this](const auto& step) { Execute(step); }, action);
  }
  const bool held = HoldsLease();
  if (held == std::exchange(recorded_held_, held)) return;
  context_.state.timeline.Record(
      LogLevel::kInfo, held ? EventKind::kLeaseTaken : EventKind::kLeaseEnded,
      ResultCode::kOk, {{"lease", kLeaseKey}});
}

void LayerPlacement::CountCall(StoreCallKind kind, ResultCode code) {
  context_.state.relay.metrics.CountStoreCall(kind, code);
}

/// Parses the record in `row`. An invalid one is recorded and treated as
/// absent, so that it is overwritten.
std::optional<LeaseRecord> LayerPlacement::ReadRecord(const StoreRow& row) {
  LastReason reason;
  auto record = ParseLeaseRecord(row.value, reason);
  if (!record) {
    context_.state.timeline.Record(
        LogLevel::kWarning, EventKind::kEntryRefused, reason.code(),
        {{"lease", row.key}, {"reason", reason.message()}});
  }
  return record;
}

void LayerPlacement::Execute(const ReadLease& action) {
  store_->ReadTable(kLeaseTable,
                    [self = shared_from_this(),
                     operation = action.operation](const RowReply& reply) {
                      self->CountCall(StoreCallKind::kRead, reply.code);
                      if (reply.code != ResultCode::kOk) {
                        return self->FeedLease(LeaseCallFailed{operation});
                      }
                      LeaseRead read{.operation = operation};
                      for (const auto& row : reply.page.rows) {
                        if (row.key != kLeaseKey) continue;
                        read.record = self->ReadRecord(row);
                        read.version = row.version;
                      }
                      self->FeedLease(read);
                    });
}

void LayerPlacement::Execute(const WriteLease& action) {
  store_->Write(
      {kLeaseTable, kLeaseKey, EncodeLeaseRecord(action.record),
       action.expected},
      [self = shared_from_this(),
       operation = action.operation](const RowReply& reply) {
        self->CountCall(StoreCallKind::kWrite, reply.code);
        if (reply.code == ResultCode::kOk) {
          return self->FeedLease(LeaseWritten{operation, reply.page.version});
        }
        if (reply.code != ResultCode::kStoreConflict) {
          return self->FeedLease(LeaseCallFailed{operation});
        }
        LeaseConflicted conflict{.operation = operation};
        for (const auto& row : reply.page.rows) {
          conflict.record = self->ReadRecord(row);
          conflict.version = row.version;
        }
        self->FeedLease(conflict);
      });
}

void LayerPlacement::TickOrders() {
  orders_timer_ =
      context_.loop.Schedule(kOrdersInterval, [this] { TickOrders(); });
  const RelayState& relay = context_.state.relay;
  if (!relay.tables || !relay.fleet_known || !HoldsLease()) return;
  const RelayTablesPtr tables = relay.tables;
  for (const auto& pool : tables->spec().pools) {
    if (!pool.model) continue;
    orders_.try_emplace(pool.name, *pool.model);
    FeedOrders(pool.name, DescribePool(pool.name, *pool.model));
  }
}

OrdersTick LayerPlacement::DescribePool(const PoolName& pool,
                                        const LayeredModel& model) {
  OrdersTick tick;
  const TimePoint now = context_.loop.Now();
  for (const auto* entry : context_.state.relay.fleet.ListAvailable(pool)) {
    const UpstreamSpec& upstream = entry->upstream;
    const auto kind = model.accelerators.find(upstream.accelerator);
    if (kind == model.accelerators.end()) continue;
    const auto& tracker = context_.state.upstreams;
    // An upstream that asked for no work keeps its layers but gets no orders.
    const bool held_off =
        tracker.HoldOffLeft(upstream.name, now) > Duration::zero();
    const bool suspected =
        tracker.StateOf(upstream.name).ejected_until || !held_off;
    const auto health = tracker.HealthOf(upstream.name, now);
    if (health == UpstreamHealth::kEjected && suspected) continue;
    // A slow upstream is left out, so that others get its layers as well.
    const double slowdown = tracker.SlowdownOf(upstream.name, now);
    if (RelativeSlowdown(model, kind->second, slowdown) >= kTooSlow) continue;
    tick.upstreams.push_back({{.name = upstream.name,
                               .data_centre = upstream.data_centre,
                               .memory_mb = kind->second.memory_mb,
                               .held = upstream.layers,
                               .loading = held_off,
                               .in_flight = tracker.CountInFlight(
                                   upstream.name, context_.state.peer_loads)},
                              entry->started_ms});
  }
  return tick;
}

void LayerPlacement::FeedOrders(const PoolName& pool,
                                const LayerOrderEvent& event) {
  if (stopped_) return;
  const auto found = orders_.find(pool);
  if (found == orders_.end()) return;
  for (const auto& action : found->second.Handle(event, context_.loop.Now())) {
    std::visit([this, &pool](const auto& step) { Execute(pool, step); },
               action);
  }
}

void LayerPlacement::Execute(const PoolName& pool,
                             const SendLayerOrder& action) {
  const FleetEntry* entry = context_.state.relay.fleet.Find(action.upstream);
  if (entry == nullptr || !HoldsLease()) {
    return FeedOrders(
        pool, LayerOrderEnded{action.upstream, LayerOrderResult::kMismatched});
  }
  context_.state.timeline.Record(
      LogLevel::kInfo, EventKind::kOrderSent, ResultCode::kOk,
      {{"upstream", action.upstream.text()},
       {"layers", std::to_string(action.layers.first) + "-" +
                      std::to_string(action.layers.end)},
       {"expected", std::to_string(action.expected)}});
  FetchResponse(
      context_.loop, entry->upstream.endpoint, BuildLayerOrder(action),
      MakeCallLimits(),
      [self = shared_from_this(), pool, action](const FetchResult& result) {
        self->RecordIfLeaving(action.upstream, result);
        const bool answered = result.code == ResultCode::kOk;
        const int status = result.response.head.status;
        const auto outcome =
            answered ? ClassifyOrderStatus(status) : LayerOrderResult::kLost;
        self->RecordOrder(action, outcome,
                          answered ? std::to_string(status) : result.message);
        self->FeedOrders(pool, LayerOrderEnded{action.upstream, outcome});
      });
}

void LayerPlacement::RecordIfLeaving(const UpstreamName& upstream,
                                     const FetchResult& result) {
  const FleetEntry* entry = context_.state.relay.fleet.Find(upstream);
  if (entry == nullptr || !ReadAnswerFields(result.response.head).leaving) {
    return;
  }
  RecordLeaving(context_, upstream, entry->started_ms);
}

void LayerPlacement::RecordOrder(const SendLayerOrder& action,
                                 LayerOrderResult result,
                                 const std::string& reason) {
  context_.state.timeline.Record(
      LogLevel::kInfo, EventKind::kOrderEnded, ResultCode::kOk,
      {{"upstream", action.upstream.text()},
       {"result", std::string(kLayerOrderResultNames.NameOf(result))},
       {"answer", reason}});
}

SequenceReported LayerPlacement::ReadReport(const UpstreamName& upstream,
                                            const FetchResult& result) {
  LastReason reason;
  const auto report = ParseReport(result.response.body, reason);
  if (report) return {upstream, report->accepted_orders, report->loading};
  const bool answered = result.code == ResultCode::kOk;
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kEntryRefused,
      answered ? reason.code() : result.code,
      {{"upstream", upstream.text()},
       {"reason", answered ? reason.message() : result.message}});
  return {.upstream = upstream};
}

void LayerPlacement::Execute(const PoolName& pool,
                             const QuerySequence& action) {
  const FleetEntry* entry = context_.state.relay.fleet.Find(action.upstream);
  if (entry == nullptr) {
    return FeedOrders(pool, SequenceReported{action.upstream, {}});
  }
  FetchResponse(context_.loop, entry->upstream.endpoint, BuildReportRequest(),
                MakeCallLimits(),
                [self = shared_from_this(), pool,
                 upstream = action.upstream](const FetchResult& result) {
                  self->RecordIfLeaving(upstream, result);
                  self->FeedOrders(pool, self->ReadReport(upstream, result));
                });
}

}  // namespace wisteriayoke
