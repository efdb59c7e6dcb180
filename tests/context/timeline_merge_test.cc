#include "supervisor/context/timeline_merge.h"

#include <doctest/doctest.h>

namespace wisteriayoke {
namespace {

TimelineEvent MakeEvent(std::uint64_t wall_us, std::uint32_t counter,
                        const std::string& request) {
  return {{wall_us, counter},
          EventKind::kAttemptBroke,
          ResultCode::kOk,
          {{"request", request}}};
}

}  // namespace

TEST_CASE("merged events are sorted by hybrid time") {
  const auto merged = MergeTimelines(
      {{DaemonName("b"), {MakeEvent(5, 1, "r"), MakeEvent(9, 0, "s")}},
       {DaemonName("a"), {MakeEvent(5, 0, "r"), MakeEvent(5, 1, "r")}}});
  REQUIRE(merged.size() == 4);
  CHECK(merged[0].event.time == HybridTime{5, 0});
  CHECK(merged[1].daemon == DaemonName("a"));
  CHECK(merged[2].daemon == DaemonName("b"));
  CHECK(merged[3].event.time == HybridTime{9, 0});
  CHECK(SelectRequest(merged, RequestId("r")).size() == 3);
  CHECK(SelectRequest(merged, RequestId("x")).empty());
}

TEST_CASE("a clock that has seen a later time moves past it") {
  Metrics metrics;
  Timeline timeline(metrics);
  const HybridTime far{~0ULL, 3};
  timeline.AdvancePast(far);
  CHECK(timeline.Tick() > far);
}

}  // namespace wisteriayoke
