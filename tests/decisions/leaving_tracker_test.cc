#include "decisions/leaving_tracker.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <optional>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDaemons = 3;
const UpstreamName kEngine("engine1");

/// Event at one daemon or at the engine; `choice` selects the details.
enum class StepKind {
  kEngineAnswers,
  kEngineUnreachable,
  kListAnswers,
  kOldListAnswers,
  kUpdateArrives,
  kUpdateRepeats,
  kLast = kUpdateRepeats,
};

struct Step {
  StepKind kind = StepKind::kEngineAnswers;
  std::size_t daemon = 0;
  std::size_t choice = 0;
  int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.kind) << " " << step.daemon << " "
             << step.choice << " " << step.pause_ms << "ms}";
}

rc::Gen<Step> GenStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::cast<StepKind>(rc::gen::inRange(
                                    0, static_cast<int>(StepKind::kLast) + 1))),
      rc::gen::set(&Step::daemon, rc::gen::inRange<std::size_t>(0, kDaemons)),
      rc::gen::set(&Step::choice, rc::gen::inRange<std::size_t>(0, 16)),
      rc::gen::set(&Step::pause_ms, rc::gen::inRange(0, 400)));
}

/// Trackers of several daemons and one engine that is leaving for good. The
/// list from before it was leaving may still arrive.
class LeavingSimulation {
 public:
  void Run(const Step& step) {
    now_ += milliseconds(step.pause_ms);
    switch (step.kind) {
      case StepKind::kEngineAnswers:
        return Feed(step.daemon, UpstreamLeavingReport{kEngine, true});
      case StepKind::kEngineUnreachable:
        return Feed(step.daemon, LeavingTick{});
      case StepKind::kListAnswers:
        return Feed(step.daemon, InstanceListRead{2, {{kEngine, true}}});
      case StepKind::kOldListAnswers:
        return Feed(step.daemon, InstanceListRead{1, {{kEngine, false}}});
      case StepKind::kUpdateArrives:
      case StepKind::kUpdateRepeats:
        return Deliver(step);
    }
  }

  TimePoint now() const { return now_; }

 private:
  struct Sent {
    TimePoint seen;
  };

  void Deliver(const Step& step) {
    if (updates_.empty()) return;
    const Sent sent = updates_[step.choice % updates_.size()];
    const Duration age = now_ - sent.seen;
    Feed(step.daemon, LeavingUpdateReceived{{kEngine, age}});
    if (age < LeavingTracker::kPeerSignLifetime) {
      peer_sign_until_[step.daemon] =
          std::max(peer_sign_until_[step.daemon].value_or(now_),
                   sent.seen + LeavingTracker::kPeerSignLifetime);
    }
    Check(step.daemon);
  }

  void Feed(std::size_t daemon, const LeavingEvent& event) {
    const auto* report = std::get_if<UpstreamLeavingReport>(&event);
    const auto* list = std::get_if<InstanceListRead>(&event);
    if (report != nullptr && report->leaving) seen_[daemon] = true;
    if (list != nullptr && list->upstreams[0].leaving) seen_[daemon] = true;
    for (const auto& action : trackers_[daemon].Handle(event, now_)) {
      if (std::holds_alternative<AnnounceLeaving>(action)) {
        RC_ASSERT(seen_[daemon]);
        updates_.push_back({now_});
      }
    }
    if (!std::holds_alternative<LeavingUpdateReceived>(event)) Check(daemon);
  }

  /// A daemon that saw the sign itself never uses the engine again; a daemon
  /// that knows it from a peer avoids the engine exactly until that sign
  /// expires.
  void Check(std::size_t daemon) const {
    const bool has_peer_sign =
        peer_sign_until_[daemon] && now_ < *peer_sign_until_[daemon];
    RC_ASSERT(trackers_[daemon].IsLeaving(kEngine) ==
              (seen_[daemon] || has_peer_sign));
  }

  std::array<LeavingTracker, kDaemons> trackers_;
  std::array<bool, kDaemons> seen_{};
  std::array<std::optional<TimePoint>, kDaemons> peer_sign_until_;
  std::vector<Sent> updates_;
  TimePoint now_{};
};

}  // namespace

TEST_CASE("old signs don't bring a leaving upstream back into use") {
  const bool held = rc::check("leaving upstreams", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(GenStep());
    LeavingSimulation simulation;
    for (const auto& step : steps) simulation.Run(step);
  });
  CHECK(held);
}

TEST_CASE("an upstream returns after reporting for 2 s that it isn't leaving") {
  LeavingTracker tracker;
  TimePoint now;
  tracker.Handle(UpstreamLeavingReport{kEngine, true}, now);
  tracker.Handle(UpstreamLeavingReport{kEngine, false},
                 now + milliseconds(100));
  CHECK(tracker.IsLeaving(kEngine));
  tracker.Handle(UpstreamLeavingReport{kEngine, true}, now + milliseconds(200));
  tracker.Handle(UpstreamLeavingReport{kEngine, false},
                 now + milliseconds(300));
  tracker.Handle(UpstreamLeavingReport{kEngine, false},
                 now + milliseconds(2200));
  CHECK(tracker.IsLeaving(kEngine));
  tracker.Handle(UpstreamLeavingReport{kEngine, false},
                 now + milliseconds(2300));
  CHECK_FALSE(tracker.IsLeaving(kEngine));
}

TEST_CASE("a peer that reads the list late doesn't renew a withdrawn sign") {
  LeavingTracker tracker;
  const TimePoint start;
  tracker.Handle(InstanceListRead{1, {{kEngine, true}}}, start);
  tracker.Handle(
      LeavingUpdateReceived{{.upstream = kEngine, .list_revision = 1}},
      start + milliseconds(100));
  tracker.Handle(InstanceListRead{2, {{kEngine, false}}},
                 start + milliseconds(200));
  CHECK_FALSE(tracker.IsLeaving(kEngine));
  tracker.Handle(
      LeavingUpdateReceived{{.upstream = kEngine, .list_revision = 1}},
      start + milliseconds(253));
  CHECK_FALSE(tracker.IsLeaving(kEngine));
  // A sign of the upstream itself, or of a later list, isn't withdrawn by it.
  tracker.Handle(
      LeavingUpdateReceived{{.upstream = kEngine, .list_revision = 3}},
      start + milliseconds(300));
  CHECK(tracker.IsLeaving(kEngine));
}

TEST_CASE("a sign that the upstream is withdrawing isn't announced") {
  LeavingTracker tracker;
  const TimePoint start;
  tracker.Handle(UpstreamLeavingReport{kEngine, true}, start);
  tracker.Handle(UpstreamLeavingReport{kEngine, false},
                 start + milliseconds(500));
  CHECK(tracker.Handle(LeavingTick{}, start + milliseconds(1500)).empty());
  CHECK(tracker.IsLeaving(kEngine));
}

TEST_CASE("the first sign marks at once and is announced once a second") {
  LeavingTracker tracker;
  const TimePoint start;
  const auto first =
      tracker.Handle(UpstreamLeavingReport{kEngine, true}, start);
  REQUIRE(first.size() == 2);
  CHECK(std::get<MarkLeaving>(first[0]).leaving);
  CHECK(std::holds_alternative<AnnounceLeaving>(first[1]));
  CHECK(tracker.Handle(LeavingTick{}, start + milliseconds(900)).empty());
  CHECK(tracker.Handle(LeavingTick{}, start + milliseconds(1000)).size() == 1);
}

}  // namespace wisteriayoke
