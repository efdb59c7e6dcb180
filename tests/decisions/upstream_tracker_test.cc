#include "decisions/upstream_tracker.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace wisteriayoke {
namespace {

Pool MakePool(int upstreams) {
  Pool pool;
  for (int i = 0; i < upstreams; ++i) {
    UpstreamSpec upstream;
    upstream.name = UpstreamName("u" + std::to_string(i));
    pool.upstreams.push_back(upstream);
  }
  return pool;
}

TimePoint At(int ms) { return TimePoint(std::chrono::milliseconds(ms)); }

}  // namespace

TEST_CASE("at most the stated share of a pool is ejected") {
  CHECK(rc::check("share", [] {
    const int size = *rc::gen::inRange(1, 12);
    const Pool pool = MakePool(size);
    UpstreamTracker tracker;
    const auto failures =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, size));
    int now = 0;
    for (const int index : failures) {
      now += *rc::gen::inRange(0, 200);
      const auto& name = pool.upstreams[static_cast<std::size_t>(index)].name;
      tracker.RecordStart(name);
      tracker.RecordFailure(name, At(now));
      const double usable =
          static_cast<double>(tracker.ListUsable(pool, {}, At(now)).size());
      RC_ASSERT(size - usable <= UpstreamTracker::kMaxEjectedShare * size);
    }
  }));
}

TEST_CASE("an ejected upstream is probed by one request, then starts slowly") {
  Pool pool = MakePool(4);
  const UpstreamSpec& upstream = pool.upstreams[0];
  UpstreamTracker tracker;
  tracker.RecordStart(upstream.name);
  tracker.RecordFailure(upstream.name, At(0));
  CHECK(tracker.HealthOf(upstream.name, At(499)) == UpstreamHealth::kEjected);
  CHECK(tracker.ListUsable(pool, {}, At(499)).size() == 3);
  CHECK(tracker.HealthOf(upstream.name, At(500)) == UpstreamHealth::kProbing);
  CHECK(tracker.CountSlots(upstream, At(500)) == 1);
  tracker.RecordStart(upstream.name);
  CHECK(tracker.ListUsable(pool, {}, At(500)).size() == 3);
  tracker.RecordSuccess(upstream.name, std::chrono::milliseconds(5), At(600));
  CHECK(tracker.CountSlots(upstream, At(600)) == 2);
  CHECK(tracker.CountSlots(upstream, At(1600)) == 5);
  CHECK(tracker.CountSlots(upstream, At(2600)) == 8);
}

TEST_CASE("each ejection in a row is longer, up to a limit") {
  const UpstreamName name("u0");
  UpstreamTracker tracker;
  int now = 0;
  int previous = 0;
  for (int i = 0; i < 8; ++i) {
    tracker.RecordFailure(name, At(now));
    const int time =
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                             *tracker.StateOf(name).ejected_until - At(now))
                             .count());
    CHECK(time == std::min(8000, std::max(500, previous * 2)));
    previous = time;
    now += time;
  }
}

TEST_CASE("a lagging report is corrected by this daemon's later requests") {
  const UpstreamName name("u0");
  UpstreamTracker tracker;
  PeerLoads peers;
  tracker.RecordStart(name);
  tracker.RecordLoadReport(name, 3);
  tracker.RecordStart(name);
  CHECK(tracker.CountInFlight(name, peers) == 4);
  peers.Record(DaemonName("d2"), {{DigestOf(name), 5}}, At(0));
  CHECK(tracker.CountInFlight(name, peers) == 7);
  peers.Drop(DaemonName("d2"));
  tracker.RecordEnd(name);
  peers.Expire(At(1000));
  CHECK(tracker.CountInFlight(name, peers) == 3);
}

TEST_CASE("an upstream that declines work gets none for a while, then longer") {
  UpstreamTracker tracker;
  const UpstreamName name("a");
  TimePoint now(std::chrono::seconds(100));
  tracker.RecordDecline(name, now);
  CHECK(tracker.HealthOf(name, now) == UpstreamHealth::kEjected);
  // An answer to a poll doesn't show that it accepts work.
  tracker.Restore(name);
  CHECK(tracker.HealthOf(name, now) == UpstreamHealth::kEjected);
  now += std::chrono::milliseconds(400);
  CHECK(tracker.HealthOf(name, now) == UpstreamHealth::kHealthy);
  tracker.RecordDecline(name, now);
  now += std::chrono::milliseconds(400);
  CHECK(tracker.HealthOf(name, now) == UpstreamHealth::kEjected);
  tracker.RecordSuccess(name);
  now += std::chrono::seconds(1);
  tracker.RecordDecline(name, now);
  now += std::chrono::milliseconds(400);
  CHECK(tracker.HealthOf(name, now) == UpstreamHealth::kHealthy);
}

TEST_CASE("a reported slowdown is used for a limited time") {
  UpstreamTracker tracker;
  const UpstreamName name("a");
  const TimePoint now(std::chrono::seconds(100));
  CHECK(tracker.SlowdownOf(name, now) == 1);
  tracker.RecordSlowdown(name, 5, now);
  CHECK(tracker.SlowdownOf(name, now + std::chrono::seconds(2)) == 5);
  CHECK(tracker.SlowdownOf(name, now + std::chrono::seconds(4)) == 1);
}

}  // namespace wisteriayoke
