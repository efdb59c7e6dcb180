#include "decisions/membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include "membership_simulation.h"

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 5;

/// Faults of one daemon of a group or of its network.
enum class FaultKind { kCrash, kRestart, kPause, kResume, kCut, kLoss };

struct Fault {
  FaultKind kind = FaultKind::kCrash;
  std::size_t daemon = 0;
  unsigned extra = 0;
  Duration after{};
};

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "{" << static_cast<int>(fault.kind) << " " << fault.daemon
             << " " << fault.extra << " " << fault.after.count() << "us}";
}

rc::Gen<Fault> GenFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::cast<FaultKind>(rc::gen::inRange(0, 6))),
      rc::gen::set(&Fault::daemon, rc::gen::inRange<std::size_t>(0, kDaemons)),
      rc::gen::set(&Fault::extra, rc::gen::inRange(0U, 3U)),
      rc::gen::set(&Fault::after,
                   rc::gen::map(rc::gen::inRange(0, 2000), [](int ms) {
                     return Duration(milliseconds(ms));
                   })));
}

void Apply(MembershipSimulation& group, const Fault& fault) {
  constexpr unsigned kLossStep = 20;
  switch (fault.kind) {
    case FaultKind::kCrash:
      return group.Crash(fault.daemon);
    case FaultKind::kRestart:
      group.Crash(fault.daemon);
      return group.Start(fault.daemon);
    case FaultKind::kPause:
      return group.SetPaused(fault.daemon, true);
    case FaultKind::kResume:
      return group.SetPaused(fault.daemon, false);
    case FaultKind::kCut:
      return group.SetPartition(fault.daemon, fault.extra % 2);
    case FaultKind::kLoss:
      return group.SetLoss(fault.extra * kLossStep);
  }
}

void EndFaults(MembershipSimulation& group) {
  group.SetLoss(0);
  for (std::size_t i = 0; i < group.size(); ++i) {
    group.SetPaused(i, false);
    group.SetPartition(i, 0);
  }
}

/// Feeds the platform's list, which arrives late and includes crashed daemons.
void FeedInstanceList(MembershipSimulation& group) {
  SeedsChanged list;
  for (std::size_t i = 0; i < group.size(); ++i) {
    list.seeds.push_back(MembershipSimulation::EndpointOf(i));
  }
  for (std::size_t i = 0; i < group.size(); ++i) group.Feed(i, list);
}

}  // namespace

TEST_CASE(
    "after faults end live daemons know each other and no crashed daemon") {
  const bool held = rc::check("membership heals", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faults = *rc::gen::container<std::vector<Fault>>(GenFault());
    MembershipSimulation group(kDaemons, seed);
    group.RunFor(seconds(3));
    for (const auto& fault : faults) {
      Apply(group, fault);
      group.RunFor(fault.after);
    }
    EndFaults(group);
    group.RunFor(seconds(2));
    FeedInstanceList(group);
    group.RunFor(seconds(18));
    for (std::size_t a = 0; a < kDaemons; ++a) {
      if (!group.running(a)) continue;
      for (std::size_t b = 0; b < kDaemons; ++b) {
        if (a != b) RC_ASSERT(group.Sees(a, b) == group.running(b));
      }
    }
  });
  CHECK(held);
}

TEST_CASE("a crashed daemon of four is known to be dead within a second") {
  constexpr int kSeeds = 1000;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    MembershipSimulation group(4, seed);
    // Crashes at any moment of a round of probes.
    group.RunFor(seconds(3) + milliseconds(seed));
    group.Crash(3);
    group.RunFor(milliseconds(1000));
    for (std::size_t i = 0; i < 3; ++i) {
      CAPTURE(seed);
      CHECK_FALSE(group.Sees(i, 3));
    }
  }
}

TEST_CASE("daemons of a group know their ranks by name") {
  MembershipSimulation group(5, 3);
  group.RunFor(seconds(3));
  for (std::size_t i = 0; i < 5; ++i) {
    CHECK(group.membership(i).RankByName() == i);
  }
  group.Crash(1);
  group.RunFor(seconds(1));
  CHECK(group.membership(0).RankByName() == 0);
  CHECK(group.membership(4).RankByName() == 3);
}

TEST_CASE(
    "a gossip update reaches each of 64 daemons once within half a second") {
  MembershipSimulation group(64, 1);
  group.RunFor(seconds(10));
  std::map<std::size_t, int> counts;
  group.set_handler([&counts](std::size_t daemon, const PeerAction& action) {
    if (std::holds_alternative<GossipUpdateReceived>(action)) ++counts[daemon];
  });
  group.Feed(5, GossipUpdatePosted{TableHeadUpdate{{7, "hash"}}});
  group.RunFor(milliseconds(500));
  CHECK(counts.size() == 63);
  for (const auto& [daemon, count] : counts) CHECK(count == 1);
}

TEST_CASE("a daemon that leaves is not suspected first") {
  MembershipSimulation group(4, 2);
  group.RunFor(seconds(3));
  std::vector<MemberStatus> seen;
  group.set_handler([&seen](std::size_t, const PeerAction& action) {
    if (const auto* changed = std::get_if<MemberChanged>(&action)) {
      seen.push_back(changed->member.status);
    }
  });
  group.Feed(2, LeaveRequested{});
  group.Crash(2);
  group.RunFor(seconds(2));
  CHECK(seen == std::vector<MemberStatus>(3, MemberStatus::kLeft));
}

}  // namespace wisteriayoke
