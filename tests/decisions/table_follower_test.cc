#include "decisions/table_follower.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <map>

#include "base/invariant.h"
#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr std::size_t kDaemons = 4;
constexpr int kColdRounds = 6;

TableSetPtr MakeTables() {
  LastReason reason;
  return std::make_shared<const TableSet>(*TableSet::Create({}, reason));
}

TableVersion VersionOf(std::uint64_t number) {
  return {number, "hash" + std::to_string(number)};
}

/// Kind of a random step; `choice` selects the details.
enum class StepKind {
  kAccept,
  kPoll,
  kDeliver,
  kDrop,
  kRepeat,
  kFetchEnds,
  kFetchLost,
  kRetry,
  kToggleOutage,
  kRestartChild,
  kRestartProcess,
  kListenPeriodEnds,
  kLast = kListenPeriodEnds,
};

struct Step {
  StepKind kind = StepKind::kAccept;
  std::size_t daemon = 0;
  std::size_t choice = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.kind) << " " << step.daemon << " "
             << step.choice << "}";
}

rc::Gen<Step> GenStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::cast<StepKind>(rc::gen::inRange(
                                    0, static_cast<int>(StepKind::kLast) + 1))),
      rc::gen::set(&Step::daemon, rc::gen::inRange<std::size_t>(0, kDaemons)),
      rc::gen::set(&Step::choice, rc::gen::inRange<std::size_t>(0, 64)));
}

/// Followers connected by a network that loses, repeats and reorders messages,
/// and a store that lags and fails.
class FollowerSimulation {
 public:
  void Run(const Step& step) {
    const std::size_t daemon = step.daemon;
    switch (step.kind) {
      case StepKind::kAccept:
        if (!outage_) ++accepted_;
        return;
      case StepKind::kPoll:
        return Poll(daemon, step.choice % 3);
      case StepKind::kDeliver:
        return Deliver(step.choice, false);
      case StepKind::kRepeat:
        return Deliver(step.choice, true);
      case StepKind::kDrop:
        if (!heads_.empty()) heads_.erase(heads_.begin() + Pick(step, heads_));
        return;
      case StepKind::kFetchEnds:
        return EndFetch(daemon, step.choice, false);
      case StepKind::kFetchLost:
        return EndFetch(daemon, step.choice, true);
      case StepKind::kRetry:
        return Retry(daemon);
      case StepKind::kToggleOutage:
        outage_ = !outage_;
        return;
      case StepKind::kRestartChild:
        return Restart(daemon, followers_[daemon].in_force());
      case StepKind::kRestartProcess:
        return RestartProcess(daemon);
      case StepKind::kListenPeriodEnds:
        return EndListening(daemon);
    }
  }

  /// Accepts `count` versions and puts the last in force in all daemons.
  void AcceptAndSettle(std::uint64_t count) {
    accepted_ = count;
    Settle(true);
  }

  /// Lets the network and, if `store_returns`, the store work without faults
  /// until nothing changes.
  void Settle(bool store_returns) {
    outage_ = !store_returns;
    heads_.clear();
    for (int round = 0; round < 12; ++round) {
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        Poll(daemon, 0);
        for (std::size_t to = 0; to < kDaemons; ++to) SendHead(daemon, to);
      }
      while (!heads_.empty()) Deliver(0, false);
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        while (!fetches_[daemon].empty()) EndFetch(daemon, 0, false);
        Retry(daemon);
        EndListening(daemon);
        if (round == kColdRounds) EndColdStart(daemon);
      }
    }
  }

  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t in_force(std::size_t daemon) const {
    return followers_[daemon].in_force().number;
  }
  std::uint64_t highest_in_force() const {
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      highest = std::max(highest, in_force(i));
    }
    return highest;
  }

 private:
  struct Announcement {
    std::size_t to = 0;
    TableVersion version;
  };

  template <typename List>
  static std::ptrdiff_t Pick(const Step& step, const List& list) {
    return static_cast<std::ptrdiff_t>(step.choice % list.size());
  }

  void Poll(std::size_t daemon, std::size_t lag) {
    if (outage_ || accepted_ <= lag) return;
    Feed(daemon, HeadSeen{VersionOf(accepted_ - lag), TableSource::kStore});
  }

  /// Sends the version that `from` has in force, as an answer to a ping does.
  void SendHead(std::size_t from, std::size_t to) {
    if (from == to) return;
    heads_.push_back({to, followers_[from].in_force()});
  }

  void Deliver(std::size_t choice, bool keep) {
    if (heads_.empty()) return;
    const auto index = static_cast<std::ptrdiff_t>(choice % heads_.size());
    const Announcement head = heads_[static_cast<std::size_t>(index)];
    if (!keep) heads_.erase(heads_.begin() + index);
    if (listening_[head.to]) {
      min_versions_[head.to] =
          std::max(min_versions_[head.to], head.version.number);
    }
    Feed(head.to, HeadSeen{head.version, TableSource::kPeer});
  }

  void EndFetch(std::size_t daemon, std::size_t choice, bool lost) {
    auto& fetches = fetches_[daemon];
    if (fetches.empty()) return;
    const std::size_t index = choice % fetches.size();
    const FetchContent fetch = fetches[index];
    fetches.erase(fetches.begin() + static_cast<std::ptrdiff_t>(index));
    if (lost || !HasContent(daemon, fetch)) {
      return Feed(daemon, FetchFailed{fetch.hash});
    }
    Feed(daemon, ContentArrived{fetch.hash, tables_});
  }

  bool HasContent(std::size_t daemon, const FetchContent& fetch) const {
    if (fetch.source == TableSource::kStore) return !outage_;
    for (std::size_t peer = 0; peer < kDaemons; ++peer) {
      if (peer == daemon) continue;
      if (followers_[peer].in_force().hash == fetch.hash) return true;
    }
    return false;
  }

  void Retry(std::size_t daemon) {
    const auto retries = std::exchange(retries_[daemon], {});
    for (const auto& hash : retries) Feed(daemon, RetryDue{hash});
  }

  /// Restarts `daemon` without any state; its peers answer its pings.
  void RestartProcess(std::size_t daemon) {
    std::erase_if(heads_, [daemon](const auto& h) { return h.to == daemon; });
    Restart(daemon, {});
    for (std::size_t peer = 0; peer < kDaemons; ++peer) SendHead(peer, daemon);
  }

  void Restart(std::size_t daemon, const TableVersion& in_force) {
    fetches_[daemon].clear();
    retries_[daemon].clear();
    followers_[daemon] = TableFollower(in_force);
    min_versions_[daemon] = 0;
    listening_[daemon] = in_force.number == 0;
  }

  /// Ends listening, except in a daemon that received no head from a peer.
  void EndListening(std::size_t daemon) {
    if (min_versions_[daemon] > 0) listening_[daemon] = false;
    Feed(daemon, ListenPeriodEnded{});
  }

  void EndColdStart(std::size_t daemon) {
    min_versions_[daemon] = 0;
    listening_[daemon] = false;
    Feed(daemon, ColdStartTimedOut{});
  }

  void Feed(std::size_t daemon, const TableEvent& event) {
    const std::uint64_t before = in_force(daemon);
    const auto actions = followers_[daemon].Handle(event);
    RC_ASSERT(in_force(daemon) >= before);
    for (const auto& action : actions) {
      std::visit(Overloaded{
                     [&](const FetchContent& fetch) {
                       fetches_[daemon].push_back(fetch);
                     },
                     [&](const RetryFetch& retry) {
                       retries_[daemon].push_back(retry.hash);
                     },
                     [&](const AnnounceHead& head) {
                       for (std::size_t to = 0; to < kDaemons; ++to) {
                         if (to != daemon) heads_.push_back({to, head.version});
                       }
                     },
                     [&](const PutInForce& put) {
                       RC_ASSERT(put.version.number > before);
                       RC_ASSERT(put.version.number >= min_versions_[daemon]);
                       RC_ASSERT(!listening_[daemon]);
                     },
                 },
                 action);
    }
  }

  TableSetPtr tables_ = MakeTables();
  std::array<TableFollower, kDaemons> followers_;
  std::array<std::vector<FetchContent>, kDaemons> fetches_;
  std::array<std::vector<std::string>, kDaemons> retries_;
  /// Highest version that each daemon received from a peer while listening.
  std::array<std::uint64_t, kDaemons> min_versions_{};
  std::array<bool, kDaemons> listening_{true, true, true, true};
  std::deque<Announcement> heads_;
  std::uint64_t accepted_ = 0;
  bool outage_ = false;
};

}  // namespace

TEST_CASE("versions in force never go down and all daemons converge") {
  const bool held = rc::check("table followers", [] {
    const auto steps =
        *rc::gen::scale(4.0, rc::gen::container<std::vector<Step>>(GenStep()));
    const bool store_returns = *rc::gen::arbitrary<bool>();
    const bool settled_before = *rc::gen::arbitrary<bool>();
    FollowerSimulation simulation;
    if (settled_before) simulation.AcceptAndSettle(3);
    for (const auto& step : steps) simulation.Run(step);
    simulation.Settle(store_returns);
    const std::uint64_t goal =
        store_returns ? simulation.accepted() : simulation.highest_in_force();
    for (std::size_t i = 0; i < kDaemons; ++i) {
      RC_ASSERT(simulation.in_force(i) == goal);
    }
  });
  CHECK(held);
}

TEST_CASE("a second content of one version is reported and not put in force") {
  std::vector<ResultCode> broken;
  SetInvariantHandler([&broken](ResultCode code, const std::string&) {
    broken.push_back(code);
  });
  TableFollower follower(VersionOf(3));
  const auto actions =
      follower.Handle(HeadSeen{{3, "other"}, TableSource::kPeer});
  SetInvariantHandler([](ResultCode, const std::string&) { std::abort(); });
  CHECK(actions.empty());
  CHECK(follower.in_force() == VersionOf(3));
  REQUIRE(broken.size() == 1);
  CHECK(broken[0] == ResultCode::kVersionForked);
}

TEST_CASE("invalid content is not fetched again") {
  TableFollower follower(VersionOf(1));
  follower.Handle(HeadSeen{VersionOf(2), TableSource::kStore});
  follower.Handle(ContentInvalid{VersionOf(2).hash});
  CHECK(follower.Handle(HeadSeen{VersionOf(2), TableSource::kPeer}).empty());
  CHECK(follower.in_force() == VersionOf(1));
}

TEST_CASE("a failed fetch is retried from the other source") {
  TableFollower follower(VersionOf(1));
  follower.Handle(HeadSeen{VersionOf(2), TableSource::kStore});
  const auto retry = follower.Handle(FetchFailed{VersionOf(2).hash});
  REQUIRE(std::holds_alternative<RetryFetch>(retry.at(0)));
  const auto fetch = follower.Handle(RetryDue{VersionOf(2).hash});
  CHECK(std::get<FetchContent>(fetch.at(0)).source == TableSource::kPeer);
}

}  // namespace wisteriayoke
