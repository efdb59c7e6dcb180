#include "decisions/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

/// Factor on the round-robin wait behind the requests that wait now, an
/// allowance for the work that other workspaces will still add.
constexpr double kRoundRobinMargin = 3.0;

/// Bounds on the cost of one request, so that a wrong estimate can't distort
/// the shares or stall the queue.
constexpr double kMinCost = 0.1;
constexpr double kMaxCost = 16.0;
constexpr double kSampleWeight = 0.05;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);
/// Part of the allowed wait that a predicted wait may take up.
constexpr double kPredictionShare = 0.9;

Duration Microseconds(double us) {
  return Duration(static_cast<Duration::rep>(us));
}

/// Time in which the recent work of a workspace decays to a third.
constexpr Duration kRecentWorkDecay = std::chrono::milliseconds(300);
/// Part of its recent rate of work that a workspace is expected to keep.
constexpr double kRecentShare = 0.7;
/// Recent work below this cost is dropped.
constexpr double kNegligibleCost = 0.01;

double Decay(double cost, Duration passed) {
  return cost * std::exp(-std::chrono::duration<double>(passed) /
                         std::chrono::duration<double>(kRecentWorkDecay));
}

std::size_t ShareOf(std::uint32_t slots, double share) {
  return static_cast<std::size_t>(std::ceil(slots * share));
}

}  // namespace

std::vector<AdmissionAction> Admission::Handle(const AdmissionEvent& event,
                                               TimePoint now) {
  Actions actions;
  std::visit(Overloaded{
                 [&](const RequestOffered& e) { Offer(e, now, actions); },
                 [&](const AnswerBegun& e) {
                   const auto count =
                       static_cast<std::uint32_t>(running_.size());
                   if (running_.contains(e.ticket)) {
                     limit_.RecordLatency(e.latency, count, now);
                   }
                 },
                 [&](const RequestEnded& e) { End(e, now); },
                 [&](const RequestSuspended& e) { Suspend(e, now); },
                 [&](const SlotsChanged& e) {
                   limit_.SetCeiling(e.slots);
                   own_slots_ = e.own_slots;
                 },
                 [&](const TimePassed&) { Expire(now, actions); },
             },
             event);
  Dispatch(now, actions);
  return actions;
}

std::size_t Admission::SlotsKeptForLong() const {
  return std::max<std::size_t>(1, ShareOf(slots(), limits_.long_share));
}

std::size_t Admission::SlotsKeptFree() const {
  return slots() < 2 ? 0 : ShareOf(slots(), limits_.free_share);
}

double Admission::ClassRateOf(WorkSize size) {
  const std::size_t kept = std::min(SlotsKeptForLong(), long_.running);
  const double class_slots =
      size == WorkSize::kLong
          ? static_cast<double>(std::max(SlotsKeptForLong(), long_.running))
          : std::max(1.0,
                     static_cast<double>(slots()) - static_cast<double>(kept));
  return class_slots / ClassOf(size).us_per_cost;
}

double Admission::WorkRateOf(const QueuedRequest& request, WorkSize size,
                             TimePoint now) {
  const SizeClass& size_class = ClassOf(size);
  const double weight = std::max(1U, request.weight);
  const double share =
      weight / (weight + size_class.queue.SumOtherWeights(request.workspace));
  const double guaranteed = ClassRateOf(size) * share;
  const auto found = size_class.recent.find(request.workspace);
  if (found == size_class.recent.end()) return guaranteed;
  const double recent = Decay(found->second.cost, now - found->second.updated) /
                        static_cast<double>(kRecentWorkDecay.count());
  return std::max(guaranteed, kRecentShare * recent);
}

std::optional<Duration> Admission::PredictShortBacklog() {
  if (short_.us_per_cost <= 0.0) return std::nullopt;
  return Microseconds(short_.queue.SumCost() / ClassRateOf(WorkSize::kShort));
}

bool Admission::KeepsArrivalOrder() {
  const auto backlog = PredictShortBacklog();
  return backlog && *backlog <= limits_.ordered_wait;
}

Duration Admission::PredictWait(const QueuedRequest& request, WorkSize size,
                                TimePoint now) {
  const SizeClass& size_class = ClassOf(size);
  if (size_class.us_per_cost <= 0.0) return Duration::zero();
  if (size == WorkSize::kShort && KeepsArrivalOrder()) {
    return *PredictShortBacklog();
  }
  const double ahead =
      size_class.queue.SumCostAhead(request.workspace, request.priority);
  const double weight = std::max(1U, request.weight);
  const double others =
      size_class.queue.SumOtherCost(request.workspace, ahead / weight);
  const double round_robin_us = (ahead + others) / ClassRateOf(size);
  return Microseconds(std::min(kRoundRobinMargin * round_robin_us,
                               ahead / WorkRateOf(request, size, now)));
}

RefuseRequest Admission::Refuse(const QueuedRequest& request, WorkSize size,
                                ResultCode code, Duration wait, TimePoint now) {
  const double us_per_cost = ClassOf(size).us_per_cost;
  const Duration spacing =
      us_per_cost > 0.0 && slots() > 0
          ? Microseconds(request.cost / WorkRateOf(request, size, now))
          : Duration::zero();
  TimePoint& next = next_retry_[request.workspace];
  const TimePoint latest = now + kMaxRetryAfter;
  next = std::max({next + spacing, now + wait, now + kMinRetryAfter});
  next = std::min(next, latest);
  return {request.ticket, code, next - now};
}

void Admission::Offer(const RequestOffered& event, TimePoint now,
                      Actions& actions) {
  QueuedRequest request = event.request;
  request.cost = std::clamp(request.cost, kMinCost, kMaxCost);
  request.queued_at = now;
  const auto refuse = [&](ResultCode code, Duration wait) {
    actions.emplace_back(Refuse(request, event.size, code, wait, now));
  };
  if (slots() == 0) return refuse(ResultCode::kNoUpstream, {});
  const Duration wait = PredictWait(request, event.size, now);
  const Duration allowed = request.latest_start - now;
  if (waiting() >= limits_.max_waiting) {
    return refuse(ResultCode::kOverloaded, wait);
  }
  if (allowed < Duration::zero() ||
      wait > Microseconds(static_cast<double>(allowed.count()) *
                          kPredictionShare)) {
    return refuse(ResultCode::kDeadlineTooShort, wait - allowed);
  }
  if (event.size == WorkSize::kShort && wait > limits_.max_wait) {
    const bool alone = short_.queue.SumOtherWeights(request.workspace) <= 0.0;
    return refuse(alone ? ResultCode::kOverloaded : ResultCode::kWorkspaceLimit,
                  wait - limits_.max_wait);
  }
  ClassOf(event.size).queue.Push(std::move(request));
}

void Admission::End(const RequestEnded& event, TimePoint now) {
  const auto found = running_.find(event.ticket);
  if (found == running_.end()) {
    suspended_.erase(event.ticket);
    if (!short_.queue.Remove(event.ticket)) long_.queue.Remove(event.ticket);
    return;
  }
  const RunningRequest& ended = found->second;
  SizeClass& size_class = ClassOf(ended.size);
  const Duration held = ended.earlier_slot_time + (now - ended.slot_since);
  const double sample = static_cast<double>(held.count()) / ended.request.cost;
  size_class.us_per_cost +=
      size_class.us_per_cost <= 0.0
          ? sample
          : (sample - size_class.us_per_cost) * kSampleWeight;
  --size_class.running;
  if (ended.suspending) --suspending_;
  running_.erase(found);
}

void Admission::Suspend(const RequestSuspended& event, TimePoint now) {
  const auto found = running_.find(event.ticket);
  if (found == running_.end() || !found->second.suspending) return;
  RunningRequest& running = found->second;
  SuspendedRequest suspended{
      running.request, running.earlier_slot_time + (now - running.slot_since)};
  QueuedRequest waiting = running.request;
  waiting.cost = 0.0;  // The workspace was charged when the request started.
  waiting.latest_start = TimePoint::max();
  long_.queue.PushFront(std::move(waiting));
  suspended_.emplace(event.ticket, std::move(suspended));
  --suspending_;
  --long_.running;
  running_.erase(found);
}

void Admission::Expire(TimePoint now, Actions& actions) {
  for (const WorkSize size : {WorkSize::kShort, WorkSize::kLong}) {
    SizeClass& size_class = ClassOf(size);
    std::erase_if(size_class.recent, [now](const auto& entry) {
      return Decay(entry.second.cost, now - entry.second.updated) <
             kNegligibleCost;
    });
    for (const auto& request : size_class.queue.TakeExpired(now)) {
      actions.emplace_back(Refuse(request, size, ResultCode::kDeadlineTooShort,
                                  PredictWait(request, size, now), now));
    }
  }
  std::erase_if(next_retry_,
                [now](const auto& entry) { return entry.second < now; });
}

std::optional<WorkSize> Admission::ChooseSize() const {
  if (running_.size() >= slots()) return std::nullopt;
  const bool long_waits = !long_.queue.empty();
  if (long_waits && long_.running < SlotsKeptForLong()) return WorkSize::kLong;
  if (!short_.queue.empty()) return WorkSize::kShort;
  if (long_waits &&
      running_.size() + SlotsKeptFree() < std::min(slots(), own_slots_)) {
    return WorkSize::kLong;
  }
  return std::nullopt;
}

void Admission::Dispatch(TimePoint now, Actions& actions) {
  while (const auto size = ChooseSize()) Start(*size, now, actions);
  RequestSuspensions(actions);
}

void Admission::Start(WorkSize size, TimePoint now, Actions& actions) {
  SizeClass& size_class = ClassOf(size);
  const bool ordered = size == WorkSize::kShort && KeepsArrivalOrder();
  QueuedRequest request =
      *(ordered ? size_class.queue.PopOldest() : size_class.queue.Pop());
  const TicketNumber ticket = request.ticket;
  RunningRequest running{
      .request = std::move(request), .size = size, .slot_since = now};
  const auto suspended = suspended_.find(ticket);
  if (suspended != suspended_.end()) {
    running.request = std::move(suspended->second.request);
    running.earlier_slot_time = suspended->second.earlier_slot_time;
    suspended_.erase(suspended);
    actions.emplace_back(ResumeRequest{ticket});
  } else {
    actions.emplace_back(AdmitRequest{ticket});
  }
  RecentWork& recent = size_class.recent[running.request.workspace];
  recent = {Decay(recent.cost, now - recent.updated) + running.request.cost,
            now};
  ++size_class.running;
  running_.emplace(ticket, std::move(running));
}

Admission::RunningRequest* Admission::FindLongestRunning() {
  RunningRequest* longest = nullptr;
  for (auto& [ticket, running] : running_) {
    if (running.size != WorkSize::kLong || running.suspending) continue;
    if (longest == nullptr || running.slot_since < longest->slot_since ||
        (running.slot_since == longest->slot_since &&
         ticket < longest->request.ticket)) {
      longest = &running;
    }
  }
  return longest;
}

void Admission::RequestSuspensions(Actions& actions) {
  while (suspending_ < short_.queue.size() &&
         long_.running > SlotsKeptForLong() + suspending_) {
    RunningRequest* running = FindLongestRunning();
    if (running == nullptr) return;
    running->suspending = true;
    ++suspending_;
    actions.emplace_back(SuspendRequest{running->request.ticket});
  }
}

}  // namespace wisteriayoke
