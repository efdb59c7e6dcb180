#include "decisions/ranked_queue.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Time after which a bound on late requests is lifted: about the length of a
/// period of overload.
constexpr Duration kBoundLifetime = std::chrono::seconds(10);

/// Returns whether `requests` get places at `rate` within `time`.
bool Suffices(double rate, Duration time, std::size_t requests) {
  return static_cast<double>(requests) <=
         rate * std::chrono::duration<double>(time).count();
}

}  // namespace

bool RankedQueue::IsMoreUrgent(const Entry& a, const Entry& b, TimePoint now) {
  if (a.request.rank != b.request.rank) return a.request.rank < b.request.rank;
  return a.IsTimely(now) && !b.IsTimely(now);
}

bool RankedQueue::GoesBefore(const Entry& a, const Entry& b, TimePoint now) {
  if (IsMoreUrgent(a, b, now)) return true;
  if (IsMoreUrgent(b, a, now)) return false;
  return a.line->last_turn < b.line->last_turn;
}

/// Returns whether `a` makes way before `b`, which arrived earlier.
bool RankedQueue::IsLessWorthy(const Entry& a, const Entry& b, TimePoint now) {
  if (IsMoreUrgent(b, a, now)) return true;
  if (IsMoreUrgent(a, b, now)) return false;
  return a.line->waiting >= b.line->waiting;
}

void RankedQueue::RecordArrival(RequestRank rank, TimePoint now) {
  recent_.Record(rank, now);
}

bool RankedQueue::MayPass(RequestRank rank, TimePoint now) const {
  if (resuming_) return false;
  for (const auto& [ticket, entry] : waiting_) {
    const RequestRank other = entry.request.rank;
    const bool first = other < rank || (other == rank && entry.IsTimely(now)) ||
                       (rank < other && OwesTurnToOthers());
    if (first) return false;
  }
  return true;
}

/// Returns the places a second that the requests more urgent than `rank` leave
/// to it, or those that it gets in any case.
double RankedQueue::RateFor(RequestRank rank, double rate,
                            TimePoint now) const {
  double left = rate;
  for (const auto& [other, starts] : starts_) {
    if (other < rank) left -= starts.RateAt(now);
  }
  return std::max(left, rate / kTurnOfOthers);
}

std::size_t RankedQueue::CountInLine(const PlaceRequest& request) const {
  const auto line = lines_.find({request.rank, request.workspace});
  return line == lines_.end() ? 0 : line->second.waiting;
}

std::size_t RankedQueue::CountLate(RequestRank rank, TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(waiting_.begin(), waiting_.end(), [&](const auto& waiting) {
        const Entry& entry = waiting.second;
        return entry.request.rank == rank && !entry.IsTimely(now);
      }));
}

RankedQueue::Ahead RankedQueue::CountAhead(const PlaceRequest& request,
                                           TimePoint now) const {
  // Workspaces take turns, so no other one gets more places than the line of
  // this request before it.
  const std::size_t most = CountInLine(request) + 1;
  Ahead ahead;
  std::map<const LineState*, std::size_t> in_line;
  for (const auto& [ticket, entry] : waiting_) {
    if (request.rank < entry.request.rank) continue;
    const bool same_rank = entry.request.rank == request.rank;
    if (same_rank && !entry.IsTimely(now)) {
      ++ahead.late;
    } else if (!same_rank || ++in_line[entry.line] <= most) {
      ++ahead.timely;
    }
  }
  return ahead;
}

bool RankedQueue::MayJoinLate(RequestRank rank, std::size_t late,
                              TimePoint now) const {
  const auto bound = late_bounds_.find(rank);
  return bound == late_bounds_.end() ||
         now - bound->second.shrunk_at >= kBoundLifetime ||
         late < bound->second.most;
}

std::variant<PlaceTicket, PlaceRule> RankedQueue::Join(
    const PlaceRequest& request, double rate, TimePoint now) {
  scarce_.Record(request.rank, now);
  if (now >= request.leaves_at) return PlaceRule::kWaitTooLong;
  const Ahead ahead = CountAhead(request, now);
  const std::size_t before = ahead.timely + ahead.late;
  const double left = RateFor(request.rank, rate, now);
  const Duration patience = request.leaves_at - now;
  const bool timely =
      Suffices(left, request.in_time_until - now, ahead.timely + 1);
  const bool late = Suffices(left, patience, before + 1) &&
                    MayJoinLate(request.rank, ahead.late, now);
  if (!timely && !late && before >= kMinWaiting) {
    // A workspace with a shorter line isn't refused for those of a longer one.
    if (!TryDisplaceFromLongerLine(request)) return PlaceRule::kWaitTooLong;
    return Insert(request);
  }
  // A request that has less time than others doesn't make the queue full.
  TimePoint latest = request.leaves_at;
  for (const auto& [ticket, entry] : waiting_) {
    latest = std::max(latest, entry.request.leaves_at);
  }
  const bool full = waiting_.size() >= kMinWaiting &&
                    !Suffices(rate, latest - now, waiting_.size() + 1);
  if (full && !TryDisplace(request, now)) return PlaceRule::kQueueFull;
  return Insert(request);
}

/// Removes the request that makes way for `request` in a full queue. Returns
/// false if there is none.
bool RankedQueue::TryDisplace(const PlaceRequest& request, TimePoint now) {
  auto last = waiting_.begin();
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (IsLessWorthy(it->second, last->second, now)) last = it;
  }
  const bool found = last != waiting_.end() &&
                     IsMoreUrgent(Entry{request, nullptr}, last->second, now);
  if (!found) return TryDisplaceFromLongerLine(request);
  Leave(last->first);
  return true;
}

/// Removes the last request of the longest line of the same rank, if that is
/// longer than the line of `request` with it. Returns false otherwise.
bool RankedQueue::TryDisplaceFromLongerLine(const PlaceRequest& request) {
  auto last = waiting_.end();
  std::size_t longest = CountInLine(request) + 1;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    const Entry& entry = it->second;
    if (entry.request.rank != request.rank) continue;
    const bool same = last != waiting_.end() && entry.line == last->second.line;
    if (!same && entry.line->waiting <= longest) continue;
    longest = entry.line->waiting;
    last = it;
  }
  if (last == waiting_.end()) return false;
  Leave(last->first);
  return true;
}

PlaceTicket RankedQueue::Insert(const PlaceRequest& request) {
  // A workspace that had none waiting comes after those that wait already.
  LineState& line = lines_
                        .try_emplace({request.rank, request.workspace},
                                     LineState{0, last_turn_})
                        .first->second;
  ++line.waiting;
  waiting_.emplace(++last_ticket_, Entry{request, &line});
  return last_ticket_;
}

void RankedQueue::Leave(PlaceTicket ticket) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) return;
  const PlaceRequest& request = found->second.request;
  if (--found->second.line->waiting == 0) {
    lines_.erase({request.rank, request.workspace});
  }
  waiting_.erase(found);
}

bool RankedQueue::Take(PlaceTicket ticket, TimePoint now) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) return false;
  Entry& entry = found->second;
  const RequestRank rank = entry.request.rank;
  entry.line->last_turn = ++last_turn_;
  const auto bound = late_bounds_.find(rank);
  if (!entry.IsTimely(now) && bound != late_bounds_.end()) ++bound->second.most;
  Leave(ticket);
  return RecordStart(rank, now);
}

void RankedQueue::Expire(PlaceTicket ticket, TimePoint now) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) return;
  const RequestRank rank = found->second.request.rank;
  const std::size_t late = CountLate(rank, now);
  LateBound& bound =
      late_bounds_.try_emplace(rank, LateBound{late, now}).first->second;
  const bool lifted = now - bound.shrunk_at >= kBoundLifetime;
  bound.most = (lifted ? late : std::min(bound.most, late)) / 2;
  bound.shrunk_at = now;
  Leave(ticket);
}

std::optional<PlaceTicket> RankedQueue::Next(
    TimePoint now, const std::set<PlaceTicket>& passed) const {
  if (waiting_.empty()) return std::nullopt;
  const auto top = std::min_element(
      waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
        return a.second.request.rank < b.second.request.rank;
      });
  auto first = waiting_.end();
  auto others = waiting_.end();
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (passed.contains(it->first)) continue;
    auto& best =
        top->second.request.rank < it->second.request.rank ? others : first;
    const bool better =
        best == waiting_.end() || GoesBefore(it->second, best->second, now);
    if (better) best = it;
  }
  const bool turn = others != waiting_.end() &&
                    (OwesTurnToOthers() || first == waiting_.end());
  const auto& next = turn ? others : first;
  if (next == waiting_.end()) return std::nullopt;
  return next->first;
}

bool RankedQueue::RecordStart(RequestRank rank, TimePoint now) {
  starts_[rank].Record(now);
  bool more_urgent = false;
  bool less_urgent = false;
  for (const auto& [ticket, entry] : waiting_) {
    more_urgent = more_urgent || entry.request.rank < rank;
    less_urgent = less_urgent || rank < entry.request.rank;
  }
  if (more_urgent) {
    passed_over_ = 0;
  } else {
    passed_over_ = less_urgent ? passed_over_ + 1 : 0;
  }
  return more_urgent;
}

double RankedQueue::RoomShare(RequestRank rank, TimePoint now) const {
  // Room that no more urgent request lacked lately isn't kept for them. The
  // turn of the others isn't lost to the reserve.
  const bool open = !scarce_.HasMoreUrgent(rank, now) || OwesTurnToOthers();
  return open ? 1.0 : kOpenShare;
}

}  // namespace wisteriayoke
