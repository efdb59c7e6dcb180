#include "decisions/upstream_book.h"

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
    UpstreamBook book;
    const auto failures =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, size));
    int now = 0;
    for (const int index : failures) {
      now += *rc::gen::inRange(0, 200);
      const auto& name = pool.upstreams[static_cast<std::size_t>(index)].name;
      book.RecordStart(name);
      book.RecordFailure(name, At(now));
      const double usable =
          static_cast<double>(book.ListUsable(pool, {}, At(now)).size());
      RC_ASSERT(size - usable <= UpstreamBook::kMaxEjectedShare * size);
    }
  }));
}

TEST_CASE("an ejected upstream is probed by one request, then starts slowly") {
  Pool pool = MakePool(4);
  const UpstreamSpec& upstream = pool.upstreams[0];
  UpstreamBook book;
  book.RecordStart(upstream.name);
  book.RecordFailure(upstream.name, At(0));
  CHECK(book.HealthOf(upstream.name, At(499)) == UpstreamHealth::kEjected);
  CHECK(book.ListUsable(pool, {}, At(499)).size() == 3);
  CHECK(book.HealthOf(upstream.name, At(500)) == UpstreamHealth::kProbing);
  CHECK(book.CountSlots(upstream, At(500)) == 1);
  book.RecordStart(upstream.name);
  CHECK(book.ListUsable(pool, {}, At(500)).size() == 3);
  book.RecordSuccess(upstream.name, std::chrono::milliseconds(5), At(600));
  CHECK(book.CountSlots(upstream, At(600)) == 2);
  CHECK(book.CountSlots(upstream, At(1600)) == 5);
  CHECK(book.CountSlots(upstream, At(2600)) == 8);
}

TEST_CASE("each ejection in a row is longer, up to a limit") {
  const UpstreamName name("u0");
  UpstreamBook book;
  int now = 0;
  int previous = 0;
  for (int i = 0; i < 8; ++i) {
    book.RecordFailure(name, At(now));
    const int time =
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                             *book.StateOf(name).ejected_until - At(now))
                             .count());
    CHECK(time == std::min(8000, std::max(500, previous * 2)));
    previous = time;
    now += time;
  }
}

TEST_CASE("a lagging report is corrected by what this daemon did since") {
  const UpstreamName name("u0");
  UpstreamBook book;
  PeerLoads peers;
  book.RecordStart(name);
  book.RecordLoadReport(name, 3);
  book.RecordStart(name);
  CHECK(book.CountInFlight(name, peers) == 4);
  peers.Record(DaemonName("d2"), {{DigestOf(name), 5}}, At(0));
  CHECK(book.CountInFlight(name, peers) == 7);
  peers.Drop(DaemonName("d2"));
  book.RecordEnd(name);
  peers.Expire(At(1000));
  CHECK(book.CountInFlight(name, peers) == 3);
}

TEST_CASE("an upstream that declines work gets none for a while, then longer") {
  UpstreamBook book;
  const UpstreamName name("a");
  TimePoint now(std::chrono::seconds(100));
  book.RecordDecline(name, now);
  CHECK(book.HealthOf(name, now) == UpstreamHealth::kEjected);
  // That it answers a question says nothing about work.
  book.Restore(name);
  CHECK(book.HealthOf(name, now) == UpstreamHealth::kEjected);
  now += std::chrono::milliseconds(400);
  CHECK(book.HealthOf(name, now) == UpstreamHealth::kHealthy);
  book.RecordDecline(name, now);
  now += std::chrono::milliseconds(400);
  CHECK(book.HealthOf(name, now) == UpstreamHealth::kEjected);
  book.RecordSuccess(name);
  now += std::chrono::seconds(1);
  book.RecordDecline(name, now);
  now += std::chrono::milliseconds(400);
  CHECK(book.HealthOf(name, now) == UpstreamHealth::kHealthy);
}

TEST_CASE("an upstream's word on its pace holds for a while") {
  UpstreamBook book;
  const UpstreamName name("a");
  const TimePoint now(std::chrono::seconds(100));
  CHECK(book.SlowdownOf(name, now) == 1);
  book.RecordSlowdown(name, 5, now);
  CHECK(book.SlowdownOf(name, now + std::chrono::seconds(2)) == 5);
  CHECK(book.SlowdownOf(name, now + std::chrono::seconds(4)) == 1);
}

}  // namespace wisteriayoke
