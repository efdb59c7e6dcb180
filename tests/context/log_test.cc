#include "supervisor/context/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "supervisor/context/log_limiter.h"

namespace wisteriayoke {

TEST_CASE("log lines are limited by level, and warnings have their own rate") {
  LogLimiter limiter;
  const TimePoint now(std::chrono::seconds(100));
  std::uint32_t info_lines = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (limiter.Admit(LogLevel::kInfo, now)) ++info_lines;
  }
  CHECK(info_lines == LogLimiter::kInfoBurst);
  CHECK(limiter.Admit(LogLevel::kWarning, now));
  CHECK(limiter.dropped() == 10'000 - info_lines);
  CHECK(limiter.TakeUnreportedDrops() == 10'000 - info_lines);
  CHECK(limiter.TakeUnreportedDrops() == 0);
  std::uint32_t later = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (limiter.Admit(LogLevel::kInfo, now + std::chrono::seconds(2))) ++later;
  }
  CHECK(later == 2 * LogLimiter::kInfoLinesPerSecond);
}

TEST_CASE("logging never blocks on an output that isn't read") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  const std::uint64_t before = CountDroppedLogLines();
  // Far more than a pipe holds; a call that blocked would never return.
  const std::string filler(2000, 'x');
  for (int i = 0; i < 200; ++i) {
    LogEvent(LogLevel::kWarning, "test", ResultCode::kOk, {{"text", filler}});
  }
  const std::uint64_t dropped = CountDroppedLogLines() - before;
  dup2(saved, STDOUT_FILENO);
  close(saved);
  close(ends[0]);
  close(ends[1]);
  CHECK(dropped > 100);
  CHECK(dropped < 200);
}

}  // namespace wisteriayoke
