#include "standins/platform_faults.h"

#include <doctest/doctest.h>

#include "standins/lagging_record.h"

namespace wisteriayoke {

TEST_CASE("faults are parsed by name and an unknown outage is rejected") {
  LastReason reason;
  const auto faults = ParsePlatformFaults(
      R"({"outage":"hang","stale_ms":300,"lose_answers":2})", reason);
  REQUIRE(faults.has_value());
  CHECK(faults->outage == OutageKind::kHang);
  CHECK(faults->stale == std::chrono::milliseconds(300));
  CHECK(faults->lose_answers == 2);
  CHECK_FALSE(ParsePlatformFaults(R"({"outage":"some"})", reason).has_value());
  CHECK(reason.code() == ResultCode::kFieldInvalid);
}

TEST_CASE("a lagging read returns the value that was the latest at its time") {
  LaggingRecord record;
  const TimePoint start;
  record.Write("one", start + std::chrono::seconds(1));
  record.Write("two", start + std::chrono::seconds(2));
  CHECK(record.Latest().version == 2);
  CHECK(record.ValueAt(start).version == 0);
  CHECK(record.ValueAt(start + std::chrono::milliseconds(1500)).value == "one");
  CHECK(record.ValueAt(start + std::chrono::seconds(2)).value == "two");
}

}  // namespace wisteriayoke
