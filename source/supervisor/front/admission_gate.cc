#include "supervisor/front/admission_gate.h"

#include <utility>

#include "decisions/pool_share.h"

namespace wisteriayoke {
namespace {

/// Age at which a pool's slots are counted again.
constexpr Duration kSlotsLifetime = std::chrono::milliseconds(20);
/// Time between two checks of the queues while requests wait.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);

/// Minimum time between two events about refusals of a pool.
constexpr Duration kRefusalsInterval = std::chrono::seconds(1);

}  // namespace

AdmissionGate::PoolState& AdmissionGate::StateOf(const PoolName& pool) {
  const auto found = pools_.find(pool);
  if (found != pools_.end()) return found->second;
  AdmissionLimits limits;
  limits.max_wait = context_.settings.Milliseconds(SettingKey::kMaxQueueWait);
  limits.max_waiting = context_.settings.Count(SettingKey::kMaxQueued);
  return pools_.emplace(pool, PoolState(limits)).first->second;
}

TicketNumber AdmissionGate::Offer(PendingRequest pending) {
  const PoolName pool = pending.pool;
  PoolState& state = StateOf(pool);
  if (state.admission.slots() == 0 ||
      context_.loop.Now() - state.slots_counted > kSlotsLifetime) {
    CountSlots(pool);
  }
  const TicketNumber ticket = ++last_ticket_;
  RequestOffered offer{pending.request, WorkSize::kShort};
  offer.request.ticket = ticket;
  if (pending.max_tokens > 0) {
    const ExpectedWork work = state.work.Estimate(pending.max_tokens);
    offer.request.cost = work.cost;
    offer.size = work.size;
  }
  state.retries.RecordRequest();
  state.waiting.emplace(ticket, std::move(pending));
  Feed(pool, offer);
  return ticket;
}

bool AdmissionGate::IsWaiting(const PoolName& pool, TicketNumber ticket) const {
  const auto found = pools_.find(pool);
  return found != pools_.end() && found->second.waiting.contains(ticket);
}

void AdmissionGate::Withdraw(const PoolName& pool, TicketNumber ticket) {
  if (StateOf(pool).waiting.erase(ticket) > 0) {
    Feed(pool, RequestEnded{ticket});
  }
}

void AdmissionGate::RecordFirstToken(const PoolName& pool, TicketNumber ticket,
                                     TimePoint start) {
  Feed(pool, AnswerBegun{ticket, context_.loop.Now() - start});
}

void AdmissionGate::Release(const PoolName& pool, TicketNumber ticket) {
  context_.loop.Post([self = shared_from_this(), pool, ticket] {
    self->StateOf(pool).running.erase(ticket);
    self->Feed(pool, RequestEnded{ticket});
  });
}

void AdmissionGate::ConfirmSuspended(const PoolName& pool,
                                     TicketNumber ticket) {
  context_.loop.Post([self = shared_from_this(), pool, ticket] {
    self->Feed(pool, RequestSuspended{ticket});
  });
}

RetryDecision AdmissionGate::TakeRetry(const PoolName& pool,
                                       const RetryRequest& request) {
  return StateOf(pool).retries.TakeRetry(request);
}

std::size_t AdmissionGate::CountWaiting() const {
  std::size_t waiting = 0;
  for (const auto& [name, state] : pools_) {
    waiting += state.admission.waiting();
  }
  return waiting;
}

void AdmissionGate::Feed(const PoolName& pool, const AdmissionEvent& event) {
  const TimePoint now = context_.loop.Now();
  for (const auto& action : StateOf(pool).admission.Handle(event, now)) {
    std::visit([this, &pool](const auto& known) { Execute(pool, known); },
               action);
  }
  ScheduleTick();
}

void AdmissionGate::Execute(const PoolName& pool, const AdmitRequest& action) {
  PoolState& state = StateOf(pool);
  const auto node = state.waiting.extract(action.ticket);
  const TimePoint now = context_.loop.Now();
  const auto ticket = std::make_shared<AdmissionTicket>(
      shared_from_this(), pool, action.ticket,
      node.empty() ? now : node.mapped().arrival, now);
  if (node.empty()) return;  // Destroying the ticket frees the slot.
  state.running[action.ticket] = ticket;
  node.mapped().start(ticket);
}

void AdmissionGate::Execute(const PoolName& pool, const RefuseRequest& action) {
  const auto node = StateOf(pool).waiting.extract(action.ticket);
  RecordRefusal(pool, action);
  if (!node.empty()) node.mapped().refuse(action);
}

/// Records the refusals of a pool together, so that an overload doesn't flood
/// the timeline.
void AdmissionGate::RecordRefusal(const PoolName& pool,
                                  const RefuseRequest& refusal) {
  PoolState& state = StateOf(pool);
  const TimePoint now = context_.loop.Now();
  ++state.refusals;
  if (now - state.refusals_recorded < kRefusalsInterval) return;
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kOverloaded, refusal.code,
      {{"pool", pool.text()},
       {"refusals", std::to_string(state.refusals)},
       {"waiting", std::to_string(state.admission.waiting())},
       {"slots", std::to_string(state.admission.slots())}});
  state.refusals = 0;
  state.refusals_recorded = now;
}

void AdmissionGate::Execute(const PoolName& pool,
                            const SuspendRequest& action) {
  if (const auto ticket = StateOf(pool).running[action.ticket].lock()) {
    ticket->Suspend();
  }
}

void AdmissionGate::Execute(const PoolName& pool, const ResumeRequest& action) {
  if (const auto ticket = StateOf(pool).running[action.ticket].lock()) {
    ticket->Resume();
  }
}

void AdmissionGate::CountSlots(const PoolName& pool) {
  const TimePoint now = context_.loop.Now();
  const Pool* known =
      context_.state.tables ? context_.state.tables->FindPool(pool) : nullptr;
  StateOf(pool).slots_counted = now;
  if (known == nullptr) return Feed(pool, SlotsChanged{});
  const PoolShare share = ComputePoolShare(*known, context_.state.upstreams,
                                           context_.state.peer_loads, now);
  Feed(pool, SlotsChanged{share.slots, share.even_slots});
}

void AdmissionGate::ScheduleTick() {
  if (tick_timer_ || CountWaiting() == 0) return;
  tick_timer_ =
      context_.loop.Schedule(kTickInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->Tick();
      });
}

void AdmissionGate::Tick() {
  const LoopTimerPtr running = std::move(tick_timer_);
  for (auto& [name, state] : pools_) {
    if (state.admission.waiting() == 0) continue;
    CountSlots(name);
    Feed(name, TimePassed{});
  }
  ScheduleTick();
}

}  // namespace wisteriayoke
