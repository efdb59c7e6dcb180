#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "decisions/freshness.h"
#include "decisions/membership_simulation.h"
#include "decisions/proof_clock.h"
#include "decisions/store_follow_policy.h"
#include "decisions/store_view.h"

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRevocation = seconds(5);
constexpr Duration kWait = milliseconds(750);
constexpr Duration kStoreDelay = milliseconds(4);
constexpr Duration kCheckInterval = milliseconds(100);
constexpr Duration kFetchDelay = milliseconds(3);

/// A group of daemons that mirror one document of a store, in virtual time: a
/// few follow the store, all pass changes and proofs on.
class FollowSimulation {
 public:
  explicit FollowSimulation(std::size_t count, std::uint64_t seed = 7)
      : group_(count, seed) {
    daemons_.resize(count);
    group_.set_stamp([this](std::size_t from, PeerMessage& message) {
      Stamp(from, message);
    });
    group_.set_receiver(
        [this](std::size_t to, const PeerMessage& message, std::size_t from) {
          Receive(to, message, from);
        });
    ChangeDocument();
    for (std::size_t i = 0; i < count; ++i) CheckRole(i);
    Watch();
  }

  TimePoint now() const { return group_.now(); }
  MembershipSimulation& group() { return group_; }
  std::size_t calls() const { return calls_; }
  Duration oldest_proof() const { return oldest_proof_; }
  void ResetFigures() {
    calls_ = 0;
    oldest_proof_ = {};
  }

  /// Writes a newer document to the store.
  void ChangeDocument() {
    versions_.push_back(now());
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& [daemon, call] : waiting) Answer(daemon, call);
  }
  std::uint64_t newest() const { return versions_.size(); }
  std::uint64_t HeadOf(std::size_t i) const {
    return daemons_[i].mirror.view().head.number();
  }
  bool AllowsKeys(std::size_t i) const {
    return daemons_[i].freshness.AllowsKeys(BootNow(i));
  }
  bool AllHave(std::uint64_t version) const {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (IsUp(i) && HeadOf(i) < version) return false;
    }
    return true;
  }
  /// The daemons that would follow the store in a calm group.
  std::vector<std::size_t> ListFollowers() const {
    std::vector<std::size_t> followers;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const bool follows = IsUp(i) && group_.membership(i).RankByDigest() <
                                          CountFollowers(daemons_.size());
      if (follows) followers.push_back(i);
    }
    return followers;
  }
  /// Cuts daemon `i` off the store; an open call gets no answer.
  void SetStoreCut(std::size_t i, bool cut) {
    daemons_[i].store_cut = cut;
    const auto lost =
        std::erase_if(waiting_, [i](const auto& w) { return w.first == i; });
    if (lost == 0) return;
    group_.Schedule(now() + milliseconds(400), [this, i] { CheckRole(i); });
  }
  /// Suspends daemon `i`: its monotonic clock stands still.
  void Suspend(std::size_t i, Duration time) {
    group_.SetPaused(i, true);
    daemons_[i].suspended += time;
    group_.Schedule(now() + time, [this, i] { group_.SetPaused(i, false); });
  }

 private:
  struct Daemon {
    RowMirror mirror;
    Freshness freshness{{.revocation = kRevocation}};
    StoreFollowPolicy policy{kRevocation};
    ProofClock proofs;
    bool store_cut = false;
    bool last_waited = true;
    Duration suspended{};
    unsigned call = 0;  ///< Number of the open call to the store.
    /// When that call was sent, or when its wait ended without a change.
    BootTime sent;
  };

  bool IsUp(std::size_t i) const {
    return group_.running(i) && !group_.paused(i);
  }
  BootTime BootNow(std::size_t /*daemon*/) const {
    return BootTime(now().time_since_epoch() + seconds(100));
  }

  void Stamp(std::size_t from, PeerMessage& message) {
    Daemon& daemon = daemons_[from];
    if (CarriesStoreView(message.content)) {
      message.store = StoreView{daemon.mirror.view(), {}};
    }
    if (const auto* ping = std::get_if<Ping>(&message.content)) {
      daemon.proofs.RecordPing(ping->sequence, BootNow(from));
    }
    if (auto* ack = std::get_if<Ack>(&message.content)) {
      ack->proof_age = daemon.freshness.AgeAt(BootNow(from));
    }
  }

  void Receive(std::size_t to, const PeerMessage& message, std::size_t from) {
    Daemon& daemon = daemons_[to];
    if (!message.store) return;
    const MirrorView& theirs = message.store->tables;
    if (const auto* ack = std::get_if<Ack>(&message.content)) {
      const auto proven =
          daemon.proofs.TakeProof(ack->sequence, ack->proof_age, BootNow(to));
      const bool usable = theirs.head > StoreVersion() &&
                          daemon.mirror.view().head >= theirs.head;
      if (proven && usable) daemon.freshness.RecordProof(*proven);
    }
    daemon.mirror.RecordPosition(theirs);
    if (theirs.head <= daemon.mirror.view().head) return;
    const StoreVersion after = daemon.mirror.view().head;
    group_.Schedule(now() + kFetchDelay, [this, to, from, after] {
      if (!IsUp(to) || !IsUp(from) || !group_.Connected(to, from)) return;
      Apply(to, daemons_[from].mirror.ChangesAfter(after));
    });
  }

  void Apply(std::size_t i, const MirrorChanges& changes) {
    Daemon& daemon = daemons_[i];
    const StoreVersion before = daemon.mirror.view().head;
    daemon.mirror.Apply(changes);
    CHECK(daemon.mirror.view().head >= before);
    if (daemon.mirror.view().head > before) group_.Feed(i, AnnounceRequested{});
  }

  void CheckRole(std::size_t i) {
    Daemon& daemon = daemons_[i];
    const bool follows =
        IsUp(i) && daemon.policy.MustFollow(
                       {.rank = group_.membership(i).RankByDigest(),
                        .group_size = group_.membership(i).group_size(),
                        .proof_age = daemon.freshness.AgeAt(BootNow(i))});
    if (follows) return CallStore(i);
    group_.Schedule(now() + kCheckInterval, [this, i] { CheckRole(i); });
  }

  void CallStore(std::size_t i) {
    Daemon& daemon = daemons_[i];
    ++calls_;
    const unsigned call = ++daemon.call;
    if (daemon.store_cut) {
      group_.Schedule(now() + milliseconds(400), [this, i] { CheckRole(i); });
      return;
    }
    daemon.sent = BootNow(i);
    const bool answered_at_once =
        !daemon.mirror.complete() || HeadOf(i) < newest();
    if (answered_at_once) return Answer(i, call);
    const Duration wait = StoreFollowPolicy::ChooseWait(
        kWait, daemon.freshness.AgeAt(BootNow(i)), daemon.last_waited);
    daemon.last_waited = wait > Duration::zero();
    waiting_.emplace_back(i, call);
    group_.Schedule(now() + wait, [this, i, call] {
      const auto waiter =
          std::find(waiting_.begin(), waiting_.end(), std::pair(i, call));
      if (waiter == waiting_.end()) return;
      waiting_.erase(waiter);
      daemons_[i].sent = BootNow(i);
      Answer(i, call);
    });
  }

  void Answer(std::size_t i, unsigned call) {
    const std::uint64_t version = newest();
    group_.Schedule(now() + kStoreDelay, [this, i, call, version] {
      Daemon& daemon = daemons_[i];
      if (daemon.call != call) return;
      if (!IsUp(i)) {
        group_.Schedule(now() + kCheckInterval, [this, i] { CheckRole(i); });
        return;
      }
      Apply(i, {.head = {0, version},
                .position = {0, version},
                .whole = true,
                .rows = {{"document", std::to_string(version), {0, version}}}});
      daemon.freshness.RecordProof(daemon.sent);
      CheckRole(i);
    });
  }

  /// Checks that no daemon accepts keys on tables that were replaced longer
  /// ago than the revocation time, and records the oldest proof in use.
  void Watch() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (!IsUp(i)) continue;
      const auto age = daemons_[i].freshness.AgeAt(BootNow(i));
      oldest_proof_ =
          std::max(oldest_proof_, age.value_or(now() - TimePoint{}));
      const std::uint64_t head = HeadOf(i);
      const bool outdated =
          head < newest() && now() - versions_[head] > kRevocation;
      CHECK_FALSE((outdated && AllowsKeys(i)));
    }
    group_.Schedule(now() + milliseconds(50), [this] { Watch(); });
  }

  MembershipSimulation group_;
  std::vector<Daemon> daemons_;
  std::vector<TimePoint> versions_;  ///< When each document was written.
  std::vector<std::pair<std::size_t, unsigned>> waiting_;
  std::size_t calls_ = 0;
  Duration oldest_proof_{};
};

}  // namespace

TEST_CASE("store calls don't grow with the group, and proofs stay recent") {
  double calls_of_four = 0;
  for (const std::size_t count : {4U, 8U, 27U, 118U, 320U}) {
    CAPTURE(count);
    FollowSimulation simulation(count);
    simulation.group().RunFor(seconds(6));
    simulation.ResetFigures();
    simulation.group().RunFor(seconds(8));
    const double calls_per_s = static_cast<double>(simulation.calls()) / 8;
    MESSAGE("calls a second ", calls_per_s, ", oldest proof in ms ",
            simulation.oldest_proof() / milliseconds(1));
    if (count == 4) calls_of_four = calls_per_s;
    CHECK(calls_per_s <= 2 * calls_of_four);
    // Half of the revocation time, up to which a daemon reports to be ready.
    CHECK(simulation.oldest_proof() < kRevocation / 2);
  }
}

TEST_CASE("changes reach every daemon within their bound by few calls") {
  std::size_t calls_of_four = 0;
  for (const std::size_t count : {4U, 118U}) {
    CAPTURE(count);
    FollowSimulation simulation(count);
    simulation.group().RunFor(seconds(5));
    simulation.ResetFigures();
    for (int i = 0; i < 10; ++i) {
      simulation.ChangeDocument();
      const std::uint64_t version = simulation.newest();
      simulation.group().RunFor(milliseconds(1000));
      CHECK(simulation.AllHave(version));
    }
    MESSAGE("calls in ten seconds ", simulation.calls(),
            ", oldest proof in ms ",
            simulation.oldest_proof() / milliseconds(1));
    if (count == 4) calls_of_four = simulation.calls();
    CHECK(simulation.calls() <= 2 * calls_of_four);
    CHECK(simulation.oldest_proof() < kRevocation / 2);
  }
}

TEST_CASE("a daemon that gets no proof doesn't call the store in a loop") {
  // Before the first document, or while the newest one is invalid.
  for (const std::optional<Duration> age :
       {std::optional<Duration>(), std::optional<Duration>(seconds(9))}) {
    Duration waited{};
    bool last_waited = true;
    for (int call = 0; call < 10; ++call) {
      const Duration wait =
          StoreFollowPolicy::ChooseWait(kWait, age, last_waited);
      last_waited = wait > Duration::zero();
      waited += wait;
    }
    CHECK(waited >= 5 * kWait);
  }
}

TEST_CASE("daemons that start together accept keys at once") {
  for (const std::size_t count : {1U, 4U, 118U}) {
    CAPTURE(count);
    FollowSimulation simulation(count);
    simulation.group().RunFor(milliseconds(20));
    CHECK(simulation.AllHave(simulation.newest()));
    for (std::size_t i = 0; i < count; ++i) CHECK(simulation.AllowsKeys(i));
  }
}

TEST_CASE("the loss of all followers at once costs calls but no keys") {
  for (const std::size_t count : {27U, 118U, 320U}) {
    CAPTURE(count);
    FollowSimulation simulation(count);
    simulation.group().RunFor(seconds(5));
    simulation.ResetFigures();
    for (const auto i : simulation.ListFollowers()) simulation.group().Crash(i);
    simulation.group().RunFor(seconds(6));
    CHECK(simulation.oldest_proof() < kRevocation - milliseconds(100));
    // At most one call more than in a calm group for each daemon.
    CHECK(simulation.calls() <= count + 2 * StoreFollowPolicy::kFollowers * 6);
    simulation.ChangeDocument();
    simulation.group().RunFor(seconds(1));
    CHECK(simulation.AllHave(simulation.newest()));
  }
}

TEST_CASE("followers that the store turns away are replaced") {
  FollowSimulation simulation(118);
  simulation.group().RunFor(seconds(5));
  for (const auto i : simulation.ListFollowers()) {
    simulation.SetStoreCut(i, true);
  }
  simulation.group().RunFor(seconds(3));
  simulation.ResetFigures();
  simulation.group().RunFor(seconds(10));
  CHECK(simulation.oldest_proof() < kRevocation - milliseconds(100));
  simulation.ChangeDocument();
  simulation.group().RunFor(seconds(4));
  CHECK(simulation.AllHave(simulation.newest()));
}

// Guards against work for an upstream that left just after the store had begun
// to turn the followers away: the others must know within two seconds.
TEST_CASE(
    "a change reaches the others in time though followers lost the store") {
  constexpr std::size_t kCount = 4;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    FollowSimulation simulation(kCount, seed);
    simulation.group().RunFor(seconds(5) + seed * milliseconds(37));
    const auto followers = simulation.ListFollowers();
    for (const auto i : followers) simulation.SetStoreCut(i, true);
    // The second change comes when the store is followed by others.
    for (const auto pause : {milliseconds(0), milliseconds(4000)}) {
      simulation.group().RunFor(pause);
      simulation.ChangeDocument();
      simulation.group().RunFor(milliseconds(1900));
      CHECK(simulation.AllHave(simulation.newest()));
    }
  }
}

TEST_CASE("daemons without a way to the store stop accepting keys") {
  FollowSimulation simulation(27);
  simulation.group().RunFor(seconds(5));
  // A part of the group loses the store and the rest of the group.
  for (std::size_t i = 0; i < 9; ++i) {
    simulation.SetStoreCut(i, true);
    simulation.group().SetPartition(i, 1);
  }
  simulation.ChangeDocument();
  simulation.group().RunFor(seconds(6));
  for (std::size_t i = 0; i < 27; ++i) {
    CHECK(simulation.AllowsKeys(i) == (i >= 9));
  }
  // They take over tables and proofs from peers once they reach them.
  for (std::size_t i = 0; i < 9; ++i) simulation.group().SetPartition(i, 0);
  simulation.group().RunFor(seconds(6));
  CHECK(simulation.AllHave(simulation.newest()));
  for (std::size_t i = 0; i < 27; ++i) CHECK(simulation.AllowsKeys(i));
}

TEST_CASE("a daemon that wakes from a suspension waits for a new proof") {
  FollowSimulation simulation(27);
  simulation.group().RunFor(seconds(5));
  const std::size_t follower = simulation.ListFollowers().front();
  simulation.Suspend(follower, seconds(7));
  simulation.ChangeDocument();
  simulation.group().RunFor(milliseconds(7001));
  CHECK_FALSE(simulation.AllowsKeys(follower));
  simulation.group().RunFor(seconds(3));
  CHECK(simulation.AllowsKeys(follower));
  CHECK(simulation.AllHave(simulation.newest()));
}

TEST_CASE("loss of datagrams delays proofs but not beyond their bound") {
  FollowSimulation simulation(118);
  simulation.group().RunFor(seconds(5));
  simulation.group().SetLoss(30);
  simulation.ResetFigures();
  for (int i = 0; i < 8; ++i) {
    simulation.ChangeDocument();
    simulation.group().RunFor(seconds(1));
  }
  CHECK(simulation.oldest_proof() < kRevocation - milliseconds(100));
  simulation.group().RunFor(seconds(1));
  CHECK(simulation.AllHave(simulation.newest()));
}

TEST_CASE("an answer that is read late proves nothing newer than its ping") {
  ProofClock clock;
  const BootTime sent(seconds(50));
  clock.RecordPing(4, sent);
  CHECK_FALSE(clock.TakeProof(5, milliseconds(1), sent).has_value());
  CHECK(clock.TakeProof(4, milliseconds(200), sent + milliseconds(900)) ==
        sent - milliseconds(200));
  CHECK_FALSE(clock.TakeProof(4, milliseconds(200), sent).has_value());
  // The daemon was suspended while the answer waited in its socket.
  clock.RecordPing(6, sent);
  CHECK_FALSE(
      clock.TakeProof(6, milliseconds(1), sent + seconds(4)).has_value());
  clock.RecordPing(7, sent);
  CHECK_FALSE(clock.TakeProof(7, std::nullopt, sent).has_value());
  clock.RecordPing(8, sent);
  CHECK_FALSE(clock.TakeProof(8, milliseconds(-1), sent).has_value());
}

}  // namespace wisteriayoke
