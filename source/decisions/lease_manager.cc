#include "decisions/lease_manager.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr Duration::rep kMille = 1000;

std::optional<LeaseOperation> OperationOf(const LeaseEvent& event) {
  return std::visit(
      [](const auto& reply) -> std::optional<LeaseOperation> {
        if constexpr (requires { reply.operation; }) return reply.operation;
        return std::nullopt;
      },
      event);
}

/// Returns in how many ticks a daemon of rank `rank` looks at the lease once.
/// The reads of all daemons together don't grow with the group.
std::size_t ReadPeriod(std::size_t rank) {
  constexpr std::size_t kLinearRanks = 8;
  const std::size_t place = rank + 1;
  return place <= kLinearRanks ? place : place * place / kLinearRanks;
}

}  // namespace

Duration TakeoverWait(const LeaseLimits& limits) {
  const Duration::rep drift = limits.drift_per_mille;
  const Duration slowest_holder =
      limits.length * kMille / (kMille - drift) + Duration(1);
  return (slowest_holder + limits.max_order_delay) * (kMille + drift) / kMille +
         Duration(1);
}

std::vector<LeaseAction> LeaseManager::Handle(const LeaseEvent& event,
                                              TimePoint now) {
  if (const auto operation = OperationOf(event)) {
    if (!pending_ || *operation != operation_) return {};
    pending_ = false;
  }
  return std::visit(
      Overloaded{
          [&](const LeaseTick& tick) { return HandleTick(tick, now); },
          [&](const LeaseRead& read) { return HandleRead(read, now); },
          [&](const LeaseWritten& written) { return HandleWritten(written); },
          [&](const LeaseConflicted& conflict) {
            return HandleConflict(conflict, now);
          },
          [](const LeaseCallFailed&) { return Actions{}; },
      },
      event);
}

std::optional<FencingNumber> LeaseManager::FencingNumberAt(
    TimePoint now) const {
  if (!owned_ || !valid_until_) return std::nullopt;
  if (now + limits_.margin >= *valid_until_) return std::nullopt;
  return record_->fencing;
}

LeaseManager::Actions LeaseManager::HandleTick(const LeaseTick& tick,
                                               TimePoint now) {
  if (pending_) return {};
  if (owned_) return Write(record_->fencing, now);
  if (idle_ticks_++ % ReadPeriod(tick.rank) != 0) return {};
  pending_ = true;
  return {ReadLease{++operation_}};
}

LeaseManager::Actions LeaseManager::HandleRead(const LeaseRead& event,
                                               TimePoint now) {
  Observe(event.record, event.version, now);
  if (!record_) return Write(1, now);
  if (owned_) return Write(record_->fencing, now);
  if (now - observed_at_ < TakeoverWait(limits_)) return {};
  return Write(record_->fencing + 1, now);
}

LeaseManager::Actions LeaseManager::HandleWritten(const LeaseWritten& event) {
  record_ = LeaseRecord{holder_, token_, pending_fencing_};
  version_ = event.version;
  owned_ = true;
  valid_until_ = write_sent_at_ + limits_.length;
  return {};
}

LeaseManager::Actions LeaseManager::HandleConflict(const LeaseConflicted& event,
                                                   TimePoint now) {
  Observe(event.record, event.version, now);
  // An earlier write of this manager took effect although its answer was lost.
  if (owned_) return Write(record_->fencing, now);
  return {};
}

LeaseManager::Actions LeaseManager::Write(FencingNumber fencing,
                                          TimePoint now) {
  pending_ = true;
  write_sent_at_ = now;
  pending_fencing_ = fencing;
  return {WriteLease{++operation_, {holder_, token_, fencing}, version_}};
}

void LeaseManager::Observe(const std::optional<LeaseRecord>& record,
                           std::uint64_t version, TimePoint now) {
  if (version != version_ || !record_) observed_at_ = now;
  record_ = record;
  version_ = version;
  owned_ = record && record->token == token_;
  if (!owned_) valid_until_.reset();
}

}  // namespace wisteriayoke
