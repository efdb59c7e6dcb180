#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "decisions/quarantine.h"
#include "membership_simulation.h"

namespace wisteriayoke {
namespace {

constexpr QuarantineLimits kLimits{.lifetime = std::chrono::minutes(5),
                                   .crashes = 3};
constexpr std::size_t kContents = 1;
constexpr std::size_t kDaemons = 4;

/// Three crashes of one content, two on one upstream, three seconds apart.
void Refuse(Quarantine& quarantine, const std::string& name, TimePoint now) {
  for (const char* upstream : {"a", "b", "a"}) {
    quarantine.RecordCrash(name, RequestId("r"), UpstreamName(upstream), 0,
                           now);
    now += std::chrono::seconds(3);
  }
}

/// Daemons with a quarantine each, which repeat every second.
struct Group : MembershipSimulation {
  std::vector<Quarantine> quarantines{kDaemons, {DaemonName("d"), kLimits}};

  explicit Group(std::uint64_t seed) : MembershipSimulation(kDaemons, seed) {
    set_handler([this](std::size_t i, const PeerAction& action) {
      if (const auto* joining = std::get_if<JoinRequested>(&action)) {
        Feed(i, RepeatsPosted{quarantines[i].RepeatRefused(kContents, now()),
                              joining->from});
      }
      const auto* received = std::get_if<GossipUpdateReceived>(&action);
      if (received == nullptr) return;
      quarantines[i].Apply(std::get<SuspectUpdate>(received->update), now());
    });
  }
  void RunSeconds(int seconds) {
    for (; seconds > 0; --seconds) {
      for (std::size_t i = 0; i < kDaemons; ++i) {
        Feed(i, RepeatsPosted{quarantines[i].RepeatRefused(kContents, now())});
        Feed(i, InFlightCountsPosted{});
      }
      RunFor(std::chrono::seconds(1));
    }
  }
  void Forget(std::size_t i) { quarantines[i] = {DaemonName("d"), kLimits}; }
  bool AllAre(RunPermit permit) const {
    return std::all_of(
        quarantines.begin(), quarantines.end(),
        [&](const auto& q) { return q.PermitOf("f", now()) == permit; });
  }
};

}  // namespace

// Guards against a crashing request that runs again at each daemon that missed
// its crashes, and against repeats by which daemons renew a suspicion for ever.
TEST_CASE("daemons that resume, start or rejoin know what is refused in 3 s") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Group group(seed);
    group.RunSeconds(5);
    group.SetPaused(0, true);
    const TimePoint last_crash = group.now() + std::chrono::seconds(6);
    Refuse(group.quarantines[1], "f", group.now());
    group.RunSeconds(40);
    group.SetPaused(0, false);
    group.RunSeconds(3);
    CHECK(group.AllAre(RunPermit::kRefused));
    for (std::size_t i = 0; i < 2 * kDaemons; ++i) {
      group.Crash(i % kDaemons);
      group.Forget(i % kDaemons);
      group.RunSeconds(1);
      group.Start(i % kDaemons);
      group.RunSeconds(i < kDaemons ? 3 : 15);
      CHECK(group.AllAre(RunPermit::kRefused));
    }
    group.SetPartition(3, 1);
    group.Forget(3);
    group.RunSeconds(40);
    group.SetPartition(3, 0);
    group.RunSeconds(3);
    CHECK(group.AllAre(RunPermit::kRefused));
    group.RunSeconds(100);
    group.RunFor(last_crash + kLimits.lifetime - group.now());
    group.RunFor(std::chrono::milliseconds(50));
    CHECK(group.AllAre(RunPermit::kShared));
  }
}

// Guards against a sound request that one daemon's old crashes make all refuse.
TEST_CASE("a repeat convicts no request that was answered after the crashes") {
  Quarantine stale(DaemonName("d1"), kLimits);
  Quarantine answered(DaemonName("d2"), kLimits);
  Quarantine started(DaemonName("d3"), kLimits);
  Refuse(stale, "f", TimePoint());
  answered.Apply(SuspectUpdate{"f", UpstreamName("a")}, TimePoint());
  answered.RecordAnswered("f", RequestId("r"), TimePoint(kLimits.lifetime / 9));
  const TimePoint now(kLimits.lifetime / 2);
  for (const auto& update : stale.RepeatRefused(kContents, now)) {
    const auto& repeat = std::get<SuspectUpdate>(update);
    const auto answers = answered.Apply(repeat, now);
    REQUIRE(answers.size() == 1);
    started.Apply(std::get<SuspectClearedUpdate>(answers[0]), now);
    started.Apply(repeat, now);
    stale.Apply(std::get<SuspectClearedUpdate>(answers[0]), now);
  }
  for (const auto* quarantine : {&stale, &answered, &started}) {
    CHECK(quarantine->PermitOf("f", now) == RunPermit::kShared);
  }
}

// Guards against a daemon that takes what waited in its socket for new crashes.
TEST_CASE("an update that waited counts no crash again and isn't passed on") {
  const TimePoint start(std::chrono::seconds(1));
  const TimePoint resumed = start + std::chrono::seconds(10);
  const Member peer{DaemonName("d2"), {"10.0.0.2", 1}, 1, {}};
  const SuspectUpdate update{"f", UpstreamName("a")};
  Membership membership({DaemonName("d1"), {"10.0.0.1", 1}, 1, {}}, {}, 1);
  membership.Handle(PeerTick{}, start);
  Quarantine quarantine(DaemonName("d1"), {.crashes = 2});
  quarantine.Apply(update, start);
  const auto actions = membership.Handle(
      PeerMessageArrived{
          {.sender = peer, .content = GossipNotice{}, .updates = {update}},
          peer.endpoint},
      resumed);
  REQUIRE(actions.size() == 2);  // The new member and the update.
  quarantine.Apply(std::get<SuspectUpdate>(
                       std::get<GossipUpdateReceived>(actions[1]).update),
                   resumed);
  quarantine.Apply(SuspectUpdate{"f", UpstreamName("a"), resumed - start},
                   resumed);
  CHECK(quarantine.PermitOf("f", resumed) == RunPermit::kIsolated);
}

// Guards against callers that make up suspects until the one that crashes
// upstreams is forgotten, or is repeated too seldom.
TEST_CASE("thousands of suspects neither displace nor hold up a refused one") {
  Quarantine quarantine(DaemonName("d"), {.crashes = 3});
  TimePoint now;
  Refuse(quarantine, "f", now);
  for (int i = 0; i < 10'000; ++i) {
    now += std::chrono::milliseconds(100);
    const std::string name = "m" + std::to_string(i);
    if (i % 20 == 0) Refuse(quarantine, name, now);
    quarantine.Apply(SuspectUpdate{name, UpstreamName("a")}, now);
  }
  CHECK(quarantine.CountSuspects() <= QuarantineLimits{}.suspects);
  quarantine.RecordRefusal("f", now + std::chrono::minutes(1));
  const auto updates = quarantine.RepeatRefused(kContents, now);
  REQUIRE(updates.size() == 3 * kContents);
  CHECK(std::get<SuspectUpdate>(updates[0]).fingerprint == "f");
}

}  // namespace wisteriayoke
