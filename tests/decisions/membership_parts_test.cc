#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "decisions/local_health.h"
#include "decisions/member_change_summary.h"
#include "decisions/probe_delays.h"
#include "decisions/settled_group.h"
#include "decisions/suspicions.h"
#include "membership_simulation.h"

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DaemonName kOne("one");
const SuspicionTimes kTimes{
    .least = milliseconds(300), .most = milliseconds(3500), .confirmations = 3};

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

DaemonName NameOf(int i) { return DaemonName("d" + std::to_string(100 + i)); }

Member Record(int i, MemberStatus status, std::uint64_t incarnation = 1) {
  return {.name = NameOf(i), .incarnation = incarnation, .status = status};
}

SettledGroup MakeGroup(int others) {
  SettledGroup group(NameOf(others));
  for (int i = 0; i < others; ++i) {
    group.Record(Record(i, MemberStatus::kAlive), At(0));
  }
  return group;
}

}  // namespace

// Guards against a death on the word of one daemon with a bad link.
TEST_CASE("the time of a suspicion shrinks with each independent accuser") {
  CHECK(kTimes.TimeFor(0) == kTimes.most);
  CHECK(kTimes.TimeFor(1) < kTimes.TimeFor(0));
  CHECK(kTimes.TimeFor(2) < kTimes.TimeFor(1));
  CHECK(kTimes.TimeFor(3) == kTimes.least);
  CHECK(kTimes.TimeFor(9) == kTimes.least);
  Suspicions suspicions;
  suspicions.AddOwn(kOne, 1, At(0));
  for (int i = 0; i < 5; ++i) suspicions.AddAccuser(kOne, 1, NameOf(7), At(1));
  CHECK(suspicions.CountAccusers(kOne) == 1);
  CHECK(suspicions.ListDue(kTimes, At(400)).empty());
  for (int i = 0; i < 3; ++i) suspicions.AddAccuser(kOne, 1, NameOf(i), At(1));
  CHECK(suspicions.ListDue(kTimes, At(299)).empty());
  CHECK(suspicions.ListDue(kTimes, At(300)) == std::vector{kOne});
  suspicions.RemoveAccuser(kOne, NameOf(7));
  suspicions.RemoveAccuser(kOne, NameOf(1));
  CHECK(suspicions.ListDue(kTimes, At(400)).empty());
}

// Guards against deaths by old accusations, of hearsay alone, or in a pause.
TEST_CASE("only an own suspicion of the newest incarnation becomes due") {
  Suspicions suspicions;
  for (int i = 0; i < 4; ++i) suspicions.AddAccuser(kOne, 1, NameOf(i), At(0));
  CHECK(suspicions.ListDue(kTimes, At(9000)).empty());
  suspicions.AddOwn(kOne, 2, At(1000));
  suspicions.AddAccuser(kOne, 1, NameOf(9), At(1000));
  CHECK(suspicions.CountAccusers(kOne) == 0);
  CHECK(suspicions.ListDue(kTimes, At(2000)).empty());
  suspicions.Postpone(seconds(2), At(4000));
  CHECK(suspicions.ListDue(kTimes, At(4600)).empty());
  CHECK(suspicions.ListDue(kTimes, At(6500)).size() == 1);
  suspicions.AddAccuser(NameOf(1), 1, kOne, At(0));
  suspicions.Expire(At(5000));
  CHECK(suspicions.CountAccusers(NameOf(1)) == 0);
  CHECK(suspicions.TakeOwn(4) == std::vector{kOne});
}

// Guards against a daemon that holds its own delays for those of the others.
TEST_CASE("late ticks and several silent members raise the health score") {
  LocalHealth health(milliseconds(30));
  for (int ms = 0; ms <= 300; ms += 30) {
    CHECK(health.RecordTick(At(ms)) == Duration::zero());
  }
  health.RecordProbe(kOne, false);
  CHECK(health.score() == 0);
  // A member that dies twice within seconds is still one member.
  health.RecordProbe(kOne, false);
  CHECK(health.score() == 0);
  health.RecordProbe(NameOf(20), false);
  CHECK(health.score() == 1);
  for (int i = 0; i < 9; ++i) health.RecordProbe(NameOf(i), false);
  CHECK(health.score() == LocalHealth::kMaxScore);
  for (int i = 0; i < 8; ++i) health.RecordProbe(kOne, true);
  CHECK(health.score() == 0);
  CHECK(health.RecordTick(At(1330)) == milliseconds(1000));
  CHECK(health.score() == LocalHealth::kMaxScore);
  for (int ms = 1360; ms < 2800; ms += 30) health.RecordTick(At(ms));
  CHECK(health.score() == 0);
}

// Guards against suspicions of members behind a slow link.
TEST_CASE("the probe timeout follows a member's delay within bounds") {
  ProbeDelays delays;
  CHECK(delays.TimeoutOf(kOne, false) == ProbeDelays::kLeast);
  for (int i = 0; i < 20; ++i) delays.Record(kOne, milliseconds(1));
  CHECK(delays.TimeoutOf(kOne, false) == ProbeDelays::kLeast);
  for (int i = 0; i < 20; ++i) delays.Record(kOne, milliseconds(200));
  CHECK(delays.TimeoutOf(kOne, false) > milliseconds(200));
  delays.Record(kOne, seconds(9));
  CHECK(delays.TimeoutOf(kOne, false) == ProbeDelays::kMost);
  // A member that wasn't measured is taken for like the others.
  CHECK(delays.TimeoutOf(NameOf(1), false) > milliseconds(200));
}

// Guards against store followers and shares that change with each false death.
TEST_CASE("the settled group holds deaths back while many die and return") {
  SettledGroup group = MakeGroup(70);
  CHECK(group.size() == 71);
  CHECK(group.RankByName() == 70);
  int views = 0;
  for (int ms = 0; ms < 10000; ms += 10) {
    const int i = (ms / 10) % 70;
    const auto status =
        (ms / 700) % 2 == 0 ? MemberStatus::kDead : MemberStatus::kAlive;
    if (group.Record(Record(i, status), At(ms))) ++views;
    if (group.Tick(At(ms))) ++views;
  }
  CHECK(views <= 2 * static_cast<int>(SettledGroup::kIsolatedChanges));
  CHECK(group.size() >= 71 - SettledGroup::kIsolatedChanges);
}

// Guards against a dead member that keeps its share for long.
TEST_CASE("the settled group takes over isolated deaths at once") {
  SettledGroup group = MakeGroup(70);
  CHECK(group.Record(Record(4, MemberStatus::kDead), At(100)));
  CHECK(group.size() == 70);
  CHECK(group.RankByName() == 69);
  CHECK(group.Record(Record(4, MemberStatus::kAlive, 2), At(3000)));
  CHECK(group.Record(Record(9, MemberStatus::kLeft), At(3000)));
  CHECK(group.size() == 70);
  CHECK_FALSE(group.Contains(NameOf(9)));
  // A third of the group dies at once.
  for (int i = 20; i < 44; ++i) {
    group.Record(Record(i, MemberStatus::kDead), At(5000 + i));
  }
  CHECK(group.size() > 60);
  CHECK(group.Tick(At(6100)));
  CHECK(group.size() == 46);
}

// Guards against a daemon that fills its log during a storm.
TEST_CASE("many changes of members in a second are counted in one summary") {
  MemberChangeSummary changes;
  std::size_t lines = 0;
  for (int ms = 0; ms < 900; ++ms) {
    if (changes.Record(MemberStatus::kDead, At(ms))) ++lines;
    CHECK(changes.TakeDue(At(ms)).empty());
  }
  CHECK(lines == MemberChangeSummary::kOwnLines);
  CHECK(changes.TakeDue(At(1000)).at(MemberStatus::kDead) == 900 - lines);
  CHECK(changes.Record(MemberStatus::kAlive, At(1001)));
  CHECK(changes.TakeDue(At(2001)).empty());
}

// Guards against storms of refutations: 11,346 in two seconds on one day.
TEST_CASE("a daemon refutes rarely however many suspicions reach it") {
  MembershipSimulation group(4, 1);
  group.Introduce();
  group.RunFor(seconds(1));
  std::size_t sent = 0;
  group.set_observer(
      [&sent](std::size_t from, const PeerMessage&) { sent += from == 0; });
  const std::uint64_t before = group.membership(0).self().incarnation;
  for (int i = 0; i < 1000; ++i) {
    Member accused = group.membership(0).self();
    accused.status = MemberStatus::kSuspect;
    group.Feed(0, PeerMessageArrived{{.sender = group.membership(1).self(),
                                      .content = GossipNotice{},
                                      .members = {accused}},
                                     MembershipSimulation::EndpointOf(1)});
    group.RunFor(milliseconds(2));
  }
  // Two seconds, at one refutation in each half of a second.
  CHECK(group.membership(0).self().incarnation - before <= 5);
  CHECK(sent <= 3 * 2 * 14);
}

// Guards against hearsay that outweighs a member's own message.
TEST_CASE("reports of others don't outweigh a message of the last moments") {
  MembershipSimulation group(4, 2);
  group.Introduce();
  group.RunFor(seconds(1));
  const Member alive = group.membership(3).self();
  const auto deliver = [&](std::size_t from, std::vector<Member> members) {
    group.Feed(0, PeerMessageArrived{{.sender = group.membership(from).self(),
                                      .content = GossipNotice{},
                                      .members = std::move(members)},
                                     MembershipSimulation::EndpointOf(from)});
  };
  for (const auto status : {MemberStatus::kSuspect, MemberStatus::kDead}) {
    Member record = alive;
    record.status = status;
    deliver(3, {});
    deliver(1, {record});
    CHECK(group.membership(0).members().Find(alive.name)->status ==
          MemberStatus::kAlive);
  }
  // A later incarnation is news that the contact says nothing about.
  Member later = alive;
  later.incarnation = alive.incarnation + 1;
  later.status = MemberStatus::kDead;
  deliver(1, {later});
  CHECK_FALSE(group.Sees(0, 3));
}

}  // namespace wisteriayoke
