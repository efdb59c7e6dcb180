#include "ctl/saved_log.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisteriayoke {
namespace {

LogLine Parse(const std::string& text) {
  const auto line = ParseLogLine(text);
  REQUIRE(line.has_value());
  return *line;
}

/// Returns a line of process `d1` at second 10 plus `ms`.
std::string MakeLine(int ms, const std::string& rest) {
  const std::string fraction = std::to_string(1000 + ms % 1000).substr(1);
  return "time=2026-12-04T13:00:" + std::to_string(10 + ms / 1000) + "." +
         fraction + " level=INFO process=d1 " + rest;
}

std::vector<LogLine> MakeLog() {
  std::vector<LogLine> lines;
  for (const auto& text :
       {MakeLine(0, "event=upstream-changed code=0 upstream=i-old"),
        MakeLine(9000, "event=upstream-suspected code=303 upstream=i-2"),
        MakeLine(9000, "event=upstream-suspected code=303 upstream=i-9"),
        MakeLine(9100, "event=store-lost code=501 table=op"),
        MakeLine(9200, "event=request-failed code=201 request=r2 path=i-2"),
        MakeLine(9300,
                 "event=request-failed code=303 request=r1 "
                 "age_us=2000000 path=i-1:0-40,i-2:40-80"),
        MakeLine(9400, "event=upstream-gone code=0 upstream=i-2")}) {
    lines.push_back(Parse(text));
  }
  return lines;
}

}  // namespace

TEST_CASE("a line is parsed with quoted values and after any prefix") {
  const auto line = Parse(
      "  12.5 edge-1 time=2026-12-04T13:00:10.250 "
      "level=WARNING process=edge-1 event=store-lost "
      "code=501 reason=\"reset \\\"by\\\" peer\" table=op");
  CHECK(line.FieldOf("process") == "edge-1");
  CHECK(line.FieldOf("reason") == "reset \"by\" peer");
  CHECK(line.FieldOf("table") == "op");
  CHECK(line.FieldOf("none").empty());
  const auto odd = Parse(MakeLine(0, R"(event=entry-refused code=107 )"
                                     R"(upstream="a\r\n\u0000 b=\"" x=1)"));
  CHECK(odd.FieldOf("upstream") == std::string("a\r\n\0 b=\"", 8));
  CHECK(odd.FieldOf("x") == "1");
  const auto cut = Parse(MakeLine(0, "event=ended code=0 reason=\"cut \\"));
  CHECK(cut.FieldOf("reason") == "cut \\");
  CHECK(line.time_ms % 100000 == 10250);
  CHECK_FALSE(ParseLogLine("no line of a daemon"));
  CHECK_FALSE(ParseLogLine("time=yesterday event=started"));
}

TEST_CASE("events of its upstreams and its process explain a request") {
  const auto selected = SelectExplanation(MakeLog(), "r1");
  std::vector<std::string> events;
  events.reserve(selected.size());
  for (const auto& line : selected) events.push_back(line.FieldOf("event"));
  CHECK(events == std::vector<std::string>{"upstream-suspected", "store-lost",
                                           "request-failed"});
  CHECK(selected.front().FieldOf("upstream") == "i-2");
  CHECK(SelectExplanation(MakeLog(), "unknown").empty());
}

TEST_CASE("no text ends the reader of log lines") {
  CHECK(rc::check("any text", [](const std::string& text) {
    ParseLogLine(text);
    ParseLogLine("time=2026-12-04T13:00:10.250 " + text);
  }));
}

}  // namespace wisteriayoke
