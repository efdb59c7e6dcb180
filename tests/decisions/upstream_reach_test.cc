#include "decisions/upstream_reach.h"

#include <doctest/doctest.h>

#include <string>

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

std::vector<UpstreamName> MakeFleet(std::size_t count) {
  std::vector<UpstreamName> fleet;
  for (std::size_t i = 0; i < count; ++i) {
    fleet.emplace_back("i-" + std::to_string(i));
  }
  return fleet;
}

}  // namespace

// Guards against a daemon that goes on taking callers without a link to any
// upstream.
TEST_CASE("links count as lost once probes of other upstreams fail too") {
  const auto fleet = MakeFleet(20);
  UpstreamReach reach;
  reach.RecordFailure(fleet[0], At(0));
  CHECK(reach.Update(fleet, At(300)).empty());
  reach.RecordFailure(fleet[1], At(20));
  const auto probed = reach.Update(fleet, At(320));
  CHECK(probed.size() == UpstreamReach::kProbes);
  CHECK(reach.Update(fleet, At(330)).empty());
  for (const auto& name : probed) reach.RecordFailure(name, At(320));
  CHECK_FALSE(reach.lost());
  reach.Update(fleet, At(620));
  CHECK(reach.lost());
  // A connection from before lives on and proves nothing.
  reach.RecordAnswer(At(-50));
  CHECK(reach.lost());
  CHECK(reach.Update(fleet, At(920)).size() == UpstreamReach::kProbesWhenLost);
  reach.RecordAnswer(At(920));
  CHECK_FALSE(reach.lost());
}

TEST_CASE("some failed upstreams aren't the loss of the links") {
  const auto fleet = MakeFleet(20);
  UpstreamReach reach;
  for (int i = 0; i < 7; ++i) reach.RecordFailure(fleet[i], At(i));
  const auto probed = reach.Update(fleet, At(300));
  for (const auto& name : probed) {
    const bool failed = std::stoi(name.text().substr(2)) < 7;
    CHECK_FALSE(failed);
  }
  reach.RecordAnswer(At(300));
  // A late failure from before that answer is no new sign.
  for (int i = 7; i < 20; ++i) reach.RecordFailure(fleet[i], At(290));
  reach.Update(fleet, At(600));
  CHECK_FALSE(reach.lost());
}

TEST_CASE("in a small fleet all upstreams have to fail") {
  UpstreamReach reach;
  auto fleet = MakeFleet(3);
  reach.RecordFailure(fleet[0], At(0));
  reach.RecordFailure(fleet[1], At(0));
  reach.Update(fleet, At(300));
  CHECK_FALSE(reach.lost());
  reach.RecordFailure(fleet[2], At(10));
  reach.Update(fleet, At(310));
  CHECK(reach.lost());
  // The only upstream that is left has to be tried by a request.
  fleet.resize(1);
  reach.Update(fleet, At(600));
  CHECK_FALSE(reach.lost());
}

}  // namespace wisteriayoke
