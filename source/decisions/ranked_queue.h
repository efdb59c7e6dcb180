#ifndef WISTERIAYOKE_DECISIONS_RANKED_QUEUE_H_
#define WISTERIAYOKE_DECISIONS_RANKED_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time_types.h"
#include "decisions/decaying_rate.h"
#include "decisions/recent_ranks.h"
#include "decisions/request_rank.h"

namespace wisteriayoke {

/// Rule by which a ranked request was refused a place.
enum class PlaceRule {
  kQueueFull,    ///< As many wait as get a place in time, none less urgent.
  kDisplaced,    ///< It made way for a more urgent request.
  kWaitTooLong,  ///< Its caller is expected to leave before it gets a place.
  kReserved,     ///< Only room for more urgent requests was left.
};

inline constexpr auto kPlaceRuleNames = MakeNamesTable<PlaceRule>({
    {PlaceRule::kQueueFull, "queue-full"},
    {PlaceRule::kDisplaced, "displaced"},
    {PlaceRule::kWaitTooLong, "wait-too-long"},
    {PlaceRule::kReserved, "reserved"},
});

/// Identifies a request in one queue; later ones have higher numbers.
using PlaceTicket = std::uint64_t;

/// A request that is to wait for a place.
struct PlaceRequest {
  RequestRank rank;
  WorkspaceName workspace;
  TimePoint in_time_until;  ///< Until when a place makes a timely answer.
  TimePoint leaves_at;      ///< From when a place is of no use to its caller.
};

/// Orders the requests of one ranked pool that wait in this daemon for a place.
///
/// More urgent ranks go first; within a rank, those that can still be answered
/// in time, then the workspaces in turn, then the earlier arrival. While less
/// urgent requests wait, one place in kTurnOfOthers goes to them. A request
/// joins only if it is expected to get a place before its caller leaves.
class RankedQueue {
 public:
  /// Requests that may wait whatever the rate, which is unknown at first.
  static constexpr std::size_t kMinWaiting = 2;
  /// Places of which one goes to the ranks below the top one.
  static constexpr std::uint32_t kTurnOfOthers = 20;
  /// Part of an upstream's room that is open to all ranks.
  static constexpr double kOpenShare = 0.9;

  RankedQueue() = default;
  // Entries point into `lines_`.
  RankedQueue(const RankedQueue&) = delete;
  RankedQueue& operator=(const RankedQueue&) = delete;
  RankedQueue(RankedQueue&&) = default;
  RankedQueue& operator=(RankedQueue&&) = default;
  ~RankedQueue() = default;

  /// Records that a request of `rank` arrived at this daemon.
  void RecordArrival(RequestRank rank, TimePoint now);

  /// Returns whether a new request of `rank` may search for a place: whether
  /// no request that waits goes before it.
  bool MayPass(RequestRank rank, TimePoint now) const;

  /// Adds `request`, for which places become free at `rate` a second. Returns
  /// its ticket, or the rule by which it is refused. May displace another.
  std::variant<PlaceTicket, PlaceRule> Join(const PlaceRequest& request,
                                            double rate, TimePoint now);

  /// Removes a request that gets no place, unless it was displaced.
  void Leave(PlaceTicket ticket);

  /// Removes a request that got a place at `now`. Returns whether a more
  /// urgent one waits.
  bool Take(PlaceTicket ticket, TimePoint now);

  /// Removes a request whose caller gave up before it got a place.
  void Expire(PlaceTicket ticket, TimePoint now);

  /// Whether `ticket` still waits.
  bool Contains(PlaceTicket ticket) const { return waiting_.contains(ticket); }

  /// Returns the request that gets the next place, without those in `passed`.
  std::optional<PlaceTicket> Next(
      TimePoint now, const std::set<PlaceTicket>& passed = {}) const;

  /// Records that a request of `rank` got a place without waiting. Returns
  /// whether a more urgent one waits.
  bool RecordStart(RequestRank rank, TimePoint now);

  /// Returns the part of an upstream's room that a request of `rank` may fill.
  double RoomShare(RequestRank rank, TimePoint now) const;

  /// Returns whether `rank` is the most urgent that arrived lately.
  bool IsMostUrgent(RequestRank rank, TimePoint now) const {
    return !recent_.HasMoreUrgent(rank, now);
  }

  /// Sets whether a started stream waits for a path; while one does, no new
  /// request searches before it.
  void set_resuming(bool resuming) { resuming_ = resuming; }

  std::size_t waiting() const { return waiting_.size(); }

 private:
  using Line = std::pair<RequestRank, WorkspaceName>;
  /// Requests of one rank and workspace that wait.
  struct LineState {
    std::size_t waiting = 0;
    std::uint64_t last_turn = 0;
  };
  struct Entry {
    PlaceRequest request;
    LineState* line = nullptr;

    bool IsTimely(TimePoint now) const { return now < request.in_time_until; }
  };
  /// Bound on the late requests of a rank that wait. It shrinks when one waited
  /// in vain and grows when one got a place: the rate that more urgent requests
  /// leave to them shows only in what becomes of them.
  struct LateBound {
    std::size_t most = 0;
    TimePoint shrunk_at;
  };
  /// Requests that wait, as seen by a new one.
  struct Ahead {
    std::size_t timely = 0;  ///< Those that get a place before a timely one.
    std::size_t late = 0;    ///< Those of the same rank that are late.
  };

  static bool IsMoreUrgent(const Entry& a, const Entry& b, TimePoint now);
  static bool GoesBefore(const Entry& a, const Entry& b, TimePoint now);
  static bool IsLessWorthy(const Entry& a, const Entry& b, TimePoint now);
  bool OwesTurnToOthers() const { return passed_over_ + 1 >= kTurnOfOthers; }
  double RateFor(RequestRank rank, double rate, TimePoint now) const;
  std::size_t CountInLine(const PlaceRequest& request) const;
  std::size_t CountLate(RequestRank rank, TimePoint now) const;
  Ahead CountAhead(const PlaceRequest& request, TimePoint now) const;
  bool MayJoinLate(RequestRank rank, std::size_t late, TimePoint now) const;
  bool TryDisplace(const PlaceRequest& request, TimePoint now);
  bool TryDisplaceFromLongerLine(const PlaceRequest& request);
  PlaceTicket Insert(const PlaceRequest& request);

  std::map<PlaceTicket, Entry> waiting_;
  std::map<Line, LineState> lines_;
  std::map<RequestRank, DecayingRate> starts_;
  std::map<RequestRank, LateBound> late_bounds_;
  RecentRanks recent_;  ///< Ranks of the requests that arrived.
  RecentRanks scarce_;  ///< Ranks of those that found no place at once.
  PlaceTicket last_ticket_ = 0;
  std::uint64_t last_turn_ = 0;
  /// Places in a row that went to the top rank while others waited.
  std::uint32_t passed_over_ = 0;
  bool resuming_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_RANKED_QUEUE_H_
