#include "decisions/place_queue.h"

#include <doctest/doctest.h>

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kObjective = milliseconds(500);
constexpr Duration kWaitLimit = milliseconds(300);
constexpr Duration kLongestReturn = seconds(6);

/// How a daemon treats requests that find no place.
struct Treatment {
  bool may_wait = true;
  bool spreads_returns = true;
};

/// Outcome of a load, as shares of all requests.
struct Outcome {
  double served = 0;
  double in_time = 0;  ///< Served within the objective.
};

/// A pool with a number of places behind one daemon, and callers that return
/// once when they are refused.
class PlaceSimulation {
 public:
  PlaceSimulation(std::size_t places, Treatment treatment)
      : free_(places), treatment_(treatment) {}

  void AddRequest(TimePoint time) {
    ++requests_;
    At(time, [this, time] { Arrive({time, time, false, false}); });
  }

  Outcome Run() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.call();
    }
    const auto all = static_cast<double>(requests_);
    return {served_ / all, in_time_ / all};
  }

 private:
  struct Request {
    TimePoint first;    ///< First arrival of the caller.
    TimePoint arrived;  ///< This arrival.
    bool returned = false;
    bool waiting = false;
  };
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> call;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return std::tie(a.time, a.order) > std::tie(b.time, b.order);
    }
  };

  void At(TimePoint time, std::function<void()> call) {
    events_.push({time, order_++, std::move(call)});
  }

  void Arrive(Request request) {
    if (queue_.MaySearch(request.waiting, now_)) {
      if (free_ > 0) return Start(request);
      queue_.RecordBusy(now_);
    }
    const bool may_wait = treatment_.may_wait &&
                          now_ - request.arrived < kWaitLimit &&
                          (request.waiting || queue_.TryJoin(kWaitLimit, now_));
    if (may_wait) {
      request.waiting = true;
      return At(now_ + milliseconds(10), [this, request] { Arrive(request); });
    }
    if (request.waiting) queue_.Leave();
    if (request.returned) return;
    const Duration delay =
        treatment_.spreads_returns
            ? queue_.ScheduleReturn(milliseconds(250), kLongestReturn, now_)
            : Duration(milliseconds(250));
    const TimePoint back = now_ + delay;
    At(back, [this, request, back] {
      Arrive({request.first, back, true, false});
    });
  }

  void Start(const Request& request) {
    if (request.waiting) queue_.Leave();
    queue_.RecordStart(now_);
    --free_;
    ++served_;
    if (now_ - request.first < kObjective) ++in_time_;
    std::uniform_int_distribution<int> length(800, 1600);
    At(now_ + milliseconds(length(random_)), [this] { ++free_; });
  }

  std::size_t free_;
  Treatment treatment_;
  PlaceQueue queue_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::mt19937_64 random_{3};
  std::uint64_t order_ = 0;
  TimePoint now_{};
  std::size_t requests_ = 0;
  double served_ = 0;
  double in_time_ = 0;
};

/// A steady load of 60 requests a second for ten seconds, and `crowd` more at
/// once in its third second.
Outcome PlayCrowd(Treatment treatment, int crowd) {
  PlaceSimulation simulation(100, treatment);
  for (int i = 0; i < 600; ++i) {
    simulation.AddRequest(TimePoint(milliseconds(i * 1000 / 60)));
  }
  for (int i = 0; i < crowd; ++i) {
    simulation.AddRequest(TimePoint(milliseconds(3000 + i / 10)));
  }
  return simulation.Run();
}

/// A load of 60 requests a second that rises by half for 400 ms, twice a
/// second.
Outcome PlayRipples(Treatment treatment) {
  PlaceSimulation simulation(86, treatment);
  double time = 0;
  while (time < 10'000) {
    simulation.AddRequest(TimePoint(milliseconds(static_cast<int>(time))));
    const bool high = static_cast<int>(time) % 500 < 250;
    time += high ? 1000.0 / 90 : 1000.0 / 45;
  }
  return simulation.Run();
}

}  // namespace

TEST_CASE("a crowd after an outage returns spread over the free places") {
  const Outcome at_once =
      PlayCrowd({.may_wait = false, .spreads_returns = false}, 150);
  const Outcome spread = PlayCrowd({}, 150);
  MESSAGE("served at once ", at_once.served, ", spread ", spread.served);
  CHECK(spread.served >= 0.97);
  CHECK(spread.served > at_once.served);
}

TEST_CASE("short peaks over the limit wait for a place instead of a refusal") {
  const Outcome refused =
      PlayRipples({.may_wait = false, .spreads_returns = false});
  const Outcome waited = PlayRipples({});
  MESSAGE("in time, refused ", refused.in_time, ", waited ", waited.in_time);
  CHECK(waited.in_time >= 0.99);
  CHECK(waited.in_time > refused.in_time);
}

TEST_CASE("what can't get a place in time is refused at once") {
  PlaceQueue queue;
  const TimePoint now(seconds(100));
  for (std::size_t i = 0; i < PlaceQueue::kMinWaiting; ++i) {
    CHECK(queue.TryJoin(kWaitLimit, now));
  }
  CHECK_FALSE(queue.TryJoin(kWaitLimit, now));
  // At ten starts a second three more are expected to get a place.
  for (int i = 0; i < 100; ++i) {
    queue.RecordStart(now + milliseconds(100 * i));
  }
  const TimePoint later = now + milliseconds(9900);
  CHECK(queue.RateAt(later) == doctest::Approx(10).epsilon(0.1));
  CHECK(queue.TryJoin(kWaitLimit, later));
  CHECK(queue.TryJoin(kWaitLimit, later));
  CHECK(queue.TryJoin(kWaitLimit, later));
  CHECK_FALSE(queue.TryJoin(kWaitLimit, later));
  queue.Leave();
  CHECK(queue.TryJoin(kWaitLimit, later));
}

TEST_CASE("those that wait come before a new request") {
  PlaceQueue queue;
  const TimePoint now(seconds(100));
  CHECK(queue.MaySearch(false, now));
  queue.RecordBusy(now);
  REQUIRE(queue.TryJoin(kWaitLimit, now));
  CHECK_FALSE(queue.MaySearch(false, now + milliseconds(20)));
  CHECK_FALSE(queue.MaySearch(true, now + milliseconds(2)));
  CHECK(queue.MaySearch(true, now + milliseconds(20)));
  queue.Leave();
  CHECK(queue.MaySearch(false, now));
}

TEST_CASE("return times stay within what the caller waits") {
  PlaceQueue queue;
  const TimePoint now(seconds(100));
  Duration earliest = seconds(60);
  for (int i = 0; i < 200; ++i) {
    const Duration delay =
        queue.ScheduleReturn(milliseconds(250), seconds(3), now);
    CHECK(delay >= milliseconds(250));
    CHECK(delay <= seconds(3));
    earliest = std::min(earliest, delay);
  }
  CHECK(earliest == milliseconds(250));
  // A caller that waits for less than the least time is told just that.
  CHECK(queue.ScheduleReturn(milliseconds(250), milliseconds(100), now) ==
        milliseconds(100));
}

}  // namespace wisteriayoke
