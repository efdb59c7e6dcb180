#ifndef WISTERIAYOKE_TESTS_DECISIONS_PRIORITY_SIMULATION_H_
#define WISTERIAYOKE_TESTS_DECISIONS_PRIORITY_SIMULATION_H_

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "decisions/place_queue.h"
#include "decisions/ranked_queue.h"

namespace wisteriayoke {

/// What became of a group of requests, as shares of them.
struct GroupOutcome {
  double requests = 0;
  double served = 0;
  double in_time = 0;
  double refused_after_wait = 0;

  /// A late answer is worth a fifth of one in time.
  double value() const { return in_time + 0.2 * (served - in_time); }
};

/// Daemons with their queues before the places of one pool, which they share.
/// A refused caller returns once, to another daemon. `ranked` chooses between
/// RankedQueue and the queue of pools without ranks.
class PrioritySimulation {
 public:
  using Milliseconds = std::chrono::milliseconds;
  static constexpr int kMeanHold = 1200;  ///< Milliseconds for a place.

  PrioritySimulation(bool ranked, std::size_t daemons, int places)
      : ranked_(ranked), daemons_(daemons), places_(places) {}

  void Add(int at_ms, unsigned rank, const std::string& workspace) {
    const TimePoint at{Milliseconds(at_ms)};
    arrivals_.emplace(at, Request{at, at, RequestRank{rank}, workspace});
  }

  /// Adds arrivals of `rate` a second from `from_ms` to `to_ms`, whose rank
  /// and workspace `choose` returns.
  template <typename Choose>
  void AddLoad(double rate, int from_ms, int to_ms, Choose choose) {
    std::exponential_distribution<double> gap(rate / 1000);
    for (double at = from_ms; at < to_ms; at += gap(random_)) {
      const auto [rank, workspace] = choose(random_);
      Add(static_cast<int>(at), rank, workspace);
    }
  }

  /// Takes `places` away from `from_ms` to `to_ms`.
  void TakeAway(int places, int from_ms, int to_ms) {
    changes_[TimePoint(Milliseconds(from_ms))] -= places;
    changes_[TimePoint(Milliseconds(to_ms))] += places;
  }

  void Run() {
    while (!arrivals_.empty() || running_ > 0 || waits_) Step();
  }

  std::map<unsigned, GroupOutcome> by_rank;
  std::map<std::string, GroupOutcome> by_workspace;

 private:
  static constexpr Milliseconds kTimely{150};
  static constexpr Milliseconds kObjective{300};  ///< Without the first event.
  static constexpr Milliseconds kPatience{1650};
  static constexpr Milliseconds kCallerTime{20'000};

  struct Request {
    TimePoint first;
    TimePoint at;
    RequestRank rank;
    std::string workspace;
    bool returned = false;
    bool waited = false;
  };
  struct Daemon {
    PlaceQueue places;
    RankedQueue ranked;
    std::map<PlaceTicket, Request> waiting;
    PlaceTicket tickets = 0;  ///< Of the queue without ranks.
  };

  void Step() {
    now_ += Milliseconds(1);
    for (auto& [at, places] : changes_) {
      if (at <= now_) places_ += std::exchange(places, 0);
    }
    for (; !ends_.empty() && ends_.begin()->first <= now_; --running_) {
      ends_.erase(ends_.begin());
    }
    while (!arrivals_.empty() && arrivals_.begin()->first <= now_) {
      Request request = arrivals_.begin()->second;
      arrivals_.erase(arrivals_.begin());
      Arrive(daemons_[random_() % daemons_.size()], request);
    }
    if (now_.time_since_epoch() % Milliseconds(10) != Duration::zero()) return;
    waits_ = false;
    std::shuffle(daemons_.begin(), daemons_.end(), random_);
    for (auto& daemon : daemons_) {
      Check(daemon);
      waits_ = waits_ || !daemon.waiting.empty();
    }
  }

  bool TryStart(Daemon& daemon, const Request& request) {
    const double share =
        ranked_ ? daemon.ranked.RoomShare(request.rank, now_) : 1.0;
    if (running_ >= share * places_) return false;
    ++running_;
    daemon.places.RecordStart(now_);
    std::uniform_int_distribution<int> hold(kMeanHold * 2 / 3,
                                            kMeanHold * 4 / 3);
    ends_.emplace(now_ + Milliseconds(hold(random_)), 0);
    Count(request, 1, now_ - request.first <= kObjective ? 1 : 0);
    return true;
  }

  void Count(const Request& request, double served, double in_time) {
    for (auto* group :
         {&by_rank[request.rank.index], &by_workspace[request.workspace]}) {
      group->requests += 1;
      group->served += served;
      group->in_time += in_time;
      group->refused_after_wait += served == 0 && request.waited ? 1 : 0;
    }
  }

  void Arrive(Daemon& daemon, Request& request) {
    request.at = now_;
    if (ranked_) daemon.ranked.RecordArrival(request.rank, now_);
    const bool may_search = ranked_ ? daemon.ranked.MayPass(request.rank, now_)
                                    : daemon.places.MaySearch(false, now_);
    if (may_search && TryStart(daemon, request)) {
      if (ranked_) daemon.ranked.RecordStart(request.rank, now_);
      return;
    }
    if (!ranked_) {
      daemon.places.RecordBusy(now_);
      if (!daemon.places.TryJoin(kTimely, now_)) return Refuse(daemon, request);
      daemon.waiting.emplace(++daemon.tickets, request);
      return;
    }
    const auto result =
        daemon.ranked.Join({request.rank, WorkspaceName(request.workspace),
                            now_ + kTimely, now_ + kPatience},
                           daemon.places.RateAt(now_), now_);
    if (std::holds_alternative<PlaceRule>(result)) {
      return Refuse(daemon, request);
    }
    daemon.waiting.emplace(std::get<PlaceTicket>(result), request);
  }

  void Refuse(Daemon& daemon, Request request) {
    if (request.returned) return Count(request, 0, 0);
    const Duration left = kCallerTime - (now_ - request.first);
    const Duration delay = daemon.places.ScheduleReturn(
        Milliseconds(250),
        std::min<Duration>(Milliseconds(6000), left * 330 / 1000), now_,
        ranked_ ? request.rank : RequestRank{});
    request.returned = true;
    arrivals_.emplace(now_ + delay, request);
  }

  void Check(Daemon& daemon) {
    const Duration limit = ranked_ ? kPatience : kTimely;
    for (auto it = daemon.waiting.begin(); it != daemon.waiting.end();) {
      auto& [ticket, request] = *it;
      const bool displaced = ranked_ && !daemon.ranked.Contains(ticket);
      if (!displaced && now_ - request.at < limit) {
        ++it;
        continue;
      }
      if (ranked_) daemon.ranked.Expire(ticket, now_);
      if (!ranked_) daemon.places.Leave();
      request.waited = !displaced;
      Refuse(daemon, request);
      it = daemon.waiting.erase(it);
    }
    while (!daemon.waiting.empty()) {
      const auto ticket =
          ranked_ ? daemon.ranked.Next(now_) : daemon.waiting.begin()->first;
      if (!TryStart(daemon, daemon.waiting.at(*ticket))) return;
      if (ranked_) daemon.ranked.Take(*ticket, now_);
      if (!ranked_) daemon.places.Leave();
      daemon.waiting.erase(*ticket);
    }
  }

  bool ranked_;
  std::vector<Daemon> daemons_;
  int places_;
  int running_ = 0;
  bool waits_ = false;
  TimePoint now_{};
  std::mt19937_64 random_{7};
  std::multimap<TimePoint, Request> arrivals_;
  std::multimap<TimePoint, int> ends_;
  std::map<TimePoint, int> changes_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_DECISIONS_PRIORITY_SIMULATION_H_
