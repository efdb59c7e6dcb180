#include "supervisor/context/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include "supervisor/context/log_limiter.h"
#include "supervisor/context/quoted_text.h"

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

// Guards against a text of others that adds a line or a field to the log.
TEST_CASE("a value with control characters stays in its line") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  LogEvent(LogLevel::kError, "test", ResultCode::kOk,
           {{"upstream", "a\r\x0b\x1b[2J\x7f\xc2\x85\nlevel=ERROR"}});
  dup2(saved, STDOUT_FILENO);
  close(saved);
  close(ends[1]);
  std::array<char, 4096> buffer{};
  const auto size = read(ends[0], buffer.data(), buffer.size());
  close(ends[0]);
  REQUIRE(size > 1);
  const std::string_view line(buffer.data(), static_cast<std::size_t>(size));
  CHECK(line.ends_with('\n'));
  CHECK(std::all_of(line.begin(), line.end() - 1,
                    [](unsigned char c) { return c >= ' ' && c < 0x7f; }));
}

TEST_CASE("any value is one word of a line and can be read again") {
  using std::string_literals::operator""s;
  CHECK(QuoteIfNeeded("i-7f/\\&+#%") == "i-7f/\\&+#%");
  CHECK(QuoteIfNeeded("") == "\"\"");
  CHECK(QuoteIfNeeded("a b=\"c\"") == R"("a b=\"c\"")");
  CHECK(QuoteIfNeeded("a\r\n\0\x1b\x7f"s) == R"("a\r\n\u0000\u001b\u007f")");
  CHECK(QuoteIfNeeded("\xe2\x80\xa8") == R"("\u2028")");
  CHECK(QuoteIfNeeded("\xff") == R"("\ufffd")");
  for (const auto& value :
       {""s, "a"s, "a\r\nlevel=ERROR"s, "\\"s, "\"\\\""s, "\0"s, "\xc3\xbc"s}) {
    CHECK(UnquoteIfQuoted(QuoteIfNeeded(value)) == value);
  }
}

}  // namespace wisteriayoke
