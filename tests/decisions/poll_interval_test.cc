#include "decisions/poll_interval.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisteriayoke {

TEST_CASE("polls of all upstreams stay within the daemon's rate") {
  CHECK(rc::check("rate", [] {
    const auto upstreams = *rc::gen::inRange<std::size_t>(1, 5000);
    const Duration wanted(*rc::gen::inRange(1, 2'000'000));
    const Duration interval = ComputePollInterval(upstreams, wanted);
    RC_ASSERT(interval >= wanted);
    const double rate = static_cast<double>(upstreams) * 1e6 /
                        static_cast<double>(interval.count());
    RC_ASSERT(rate <= static_cast<double>(kMaxPollsPerSecond));
  }));
}

TEST_CASE("a larger group reads the platform no more often") {
  std::mt19937_64 random(7);
  const Duration wanted = std::chrono::milliseconds(500);
  CHECK(SharedPollInterval(wanted, 4, random) <= wanted);
  for (const std::size_t group : {16, 64, 320}) {
    const Duration least = wanted * static_cast<int>(group) / 32;
    CHECK(SharedPollInterval(wanted, group, random) >= least);
  }
}

TEST_CASE("a few dozen upstreams are polled at the configured interval") {
  const Duration wanted = std::chrono::milliseconds(300);
  CHECK(ComputePollInterval(43, wanted) == wanted);
}

TEST_CASE("jittered intervals keep their mean") {
  constexpr int kDraws = 10'000;
  std::mt19937_64 random(7);
  const Duration interval = std::chrono::seconds(1);
  Duration sum = Duration::zero();
  for (int i = 0; i < kDraws; ++i) {
    const Duration drawn = JitterPollInterval(interval, random);
    CHECK(drawn >= interval * 3 / 4);
    CHECK(drawn <= interval * 5 / 4);
    sum += drawn;
  }
  CHECK(sum / kDraws >= interval * 99 / 100);
  CHECK(sum / kDraws <= interval * 101 / 100);
}

}  // namespace wisteriayoke
