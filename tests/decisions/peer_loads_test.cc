#include "decisions/peer_loads.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;

const UpstreamName kEngine("engine1");

InFlightCounts CountsOf(const UpstreamName& upstream, std::uint16_t count) {
  return {{DigestOf(upstream), count}};
}

}  // namespace

TEST_CASE("counts of a silent daemon are forgotten") {
  PeerLoads loads;
  const TimePoint start;
  loads.Record(DaemonName("a"), CountsOf(kEngine, 3), start);
  loads.Record(DaemonName("b"), CountsOf(kEngine, 4),
               start + milliseconds(500));
  loads.Expire(start + milliseconds(1100));
  CHECK(loads.InFlightOf(kEngine) == 7);
  loads.Expire(start + PeerLoads::kLifetime);
  CHECK(loads.InFlightOf(kEngine) == 4);
  CHECK(loads.CountPeers() == 1);
}

TEST_CASE("a renewed count replaces the former one") {
  PeerLoads loads;
  loads.Record(DaemonName("a"), CountsOf(kEngine, 3), TimePoint{});
  loads.Record(DaemonName("a"), CountsOf(kEngine, 1), TimePoint{});
  CHECK(loads.InFlightOf(kEngine) == 1);
  loads.Record(DaemonName("a"), {}, TimePoint{});
  CHECK(loads.InFlightOf(kEngine) == 0);
  CHECK(loads.CountPeers() == 1);
  loads.Drop(DaemonName("a"));
  CHECK(loads.CountPeers() == 0);
}

TEST_CASE(
    "daemons without a recent report are assumed to have average counts") {
  PeerLoads loads;
  loads.SetPeerCount(26);
  loads.Record(DaemonName("a"), CountsOf(kEngine, 3), TimePoint{});
  loads.Record(DaemonName("b"), CountsOf(kEngine, 1), TimePoint{});
  CHECK(loads.InFlightOf(kEngine) == 52);
  CHECK(loads.CountPeers() == 26);
}

TEST_CASE("sums are those of the last reported counts") {
  const bool held = rc::check([] {
    PeerLoads loads;
    std::map<int, std::uint32_t> last;
    const auto reports = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(-1, 50)));
    for (const auto& [daemon, count] : reports) {
      const DaemonName name(std::to_string(daemon));
      if (count < 0) {
        loads.Drop(name);
        last.erase(daemon);
      } else {
        const auto number = static_cast<std::uint16_t>(count);
        loads.Record(name, CountsOf(kEngine, number), TimePoint{});
        last[daemon] = number;
      }
      std::uint32_t sum = 0;
      for (const auto& [ignored, number] : last) sum += number;
      RC_ASSERT(loads.InFlightOf(kEngine) == sum);
      RC_ASSERT(loads.CountPeers() == last.size());
    }
  });
  CHECK(held);
}

}  // namespace wisteriayoke
