#include "supervisor/relay/ranked_wait.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace wisteriayoke {
namespace {

/// Part of the latency objective, in thousandths, after which a place makes no
/// timely answer; the rest is for the first event.
constexpr int kPlaceWaitPerMille = 300;
/// Silence after which callers give up a stream: the longest of this time and
/// multiples of the route's objective and of its longest pause.
constexpr Duration kMinPatience = std::chrono::seconds(2);
constexpr int kPatienceObjectives = 4;
constexpr int kPatienceGaps = 8;

Duration PatienceOf(const RelayedRequest& request) {
  const RelayRoute& route = request.route;
  return std::min(
      std::max({kMinPatience, kPatienceObjectives * route.latency_objective,
                kPatienceGaps * route.max_event_gap}),
      request.TimeLimit());
}

}  // namespace

Duration TimelyWaitOf(const RelayedRequest& request) {
  return request.route.latency_objective * kPlaceWaitPerMille / 1000;
}

bool RecordArrival(const DaemonContext& context,
                   const RelayedRequest& request) {
  if (!request.is_ranked()) return true;
  RankedQueue& queue = context.state.relay.ranked_queues[request.pool];
  const TimePoint now = context.loop.Now();
  queue.RecordArrival(request.OrderRank(), now);
  return queue.IsMostUrgent(request.OrderRank(), now);
}

RankedQueue& RankedWait::Queue() const {
  return context_.state.relay.ranked_queues[request_.pool];
}

bool RankedWait::TakeTurn() {
  if (ticket_) return std::exchange(has_turn_, false);
  return Queue().MayPass(request_.OrderRank(), context_.loop.Now());
}

double RankedWait::RoomShare() const {
  return Queue().RoomShare(request_.OrderRank(), context_.loop.Now());
}

void RankedWait::RecordStart() {
  const TimePoint now = context_.loop.Now();
  const auto ticket = std::exchange(ticket_, std::nullopt);
  const bool inverted = ticket && Queue().Contains(*ticket)
                            ? Queue().Take(*ticket, now)
                            : Queue().RecordStart(request_.OrderRank(), now);
  if (inverted) Count(RankEvent::kInverted);
}

/// The time for the first event is part of the caller's patience as well.
TimePoint RankedWait::LeavesAt() const {
  const Duration timely = TimelyWaitOf(request_);
  const Duration rest = request_.route.latency_objective - timely;
  const Duration least = std::min(timely, request_.TimeLimit());
  return arrived_ + std::max(least, PatienceOf(request_) - rest);
}

bool RankedWait::MayWait(bool searched) {
  if (!ticket_) return Join(searched);
  const TimePoint now = context_.loop.Now();
  if (!Queue().Contains(*ticket_)) {
    ticket_.reset();
    rule_ = PlaceRule::kDisplaced;
    Count(RankEvent::kDisplaced);
    return false;
  }
  if (now < LeavesAt()) return true;
  Queue().Expire(*std::exchange(ticket_, std::nullopt), now);
  return Refuse(PlaceRule::kWaitTooLong, searched);
}

bool RankedWait::Join(bool searched) {
  const TimePoint now = context_.loop.Now();
  if (!request_.is_stream()) return Refuse(PlaceRule::kWaitTooLong, searched);
  const auto result =
      Queue().Join({request_.OrderRank(), request_.workspace,
                    arrived_ + TimelyWaitOf(request_), LeavesAt()},
                   context_.state.relay.places[request_.pool].RateAt(now), now);
  if (const auto* rule = std::get_if<PlaceRule>(&result)) {
    return Refuse(*rule, searched);
  }
  ticket_ = std::get<PlaceTicket>(result);
  Count(RankEvent::kWaiting);
  return true;
}

/// Returns false.
bool RankedWait::Refuse(PlaceRule rule, bool searched) {
  const bool reserved = searched && RoomShare() < 1.0;
  rule_ = reserved ? PlaceRule::kReserved : rule;
  Count(RankEvent::kRefused);
  return false;
}

void RankedWait::Count(RankEvent event) const {
  context_.state.relay.metrics.CountRank(request_.route.name,
                                         request_.OrderRank(), event);
}

bool RankedWait::IsOver() const {
  return !ticket_ || !Queue().Contains(*ticket_) ||
         context_.loop.Now() >= LeavesAt();
}

void RankedWait::Stop() {
  if (ticket_) Queue().Leave(*std::exchange(ticket_, std::nullopt));
}

}  // namespace wisteriayoke
