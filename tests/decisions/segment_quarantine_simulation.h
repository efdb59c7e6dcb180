#ifndef WISTERIAYOKE_TESTS_DECISIONS_SEGMENT_QUARANTINE_SIMULATION_H_
#define WISTERIAYOKE_TESTS_DECISIONS_SEGMENT_QUARANTINE_SIMULATION_H_

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/overloaded.h"
#include "decisions/segment_quarantine.h"

namespace wisteriayoke {

/// Crashes of some paths at one moment, for a reason other than a request.
struct PathOutage {
  int tick = 0;
  std::size_t paths = 0;
};

/// A segment that crashes each upstream that answers a request with it.
struct DeadlySegment {
  SegmentId id;
  bool is_first = false;  ///< Whether prompts begin with it.
  double share = 0;       ///< Share of the requests that hold it.
  int crashes = 0;
  std::optional<int> tolerated_until;
  int late_sends = 0;
};

struct SegmentScenario {
  std::uint32_t seed = 0;
  int last_tick = 0;
  double requests_per_second = 0;
  /// Greater exponents make some first segments much more frequent.
  int unevenness = 1;
  int middle_percent = 0;
  /// Whether requests wait for a path while all are down.
  bool waits = false;
  std::vector<DeadlySegment> deadly;
  std::vector<PathOutage> outages;
};

/// One request at one daemon, as its session would run it.
struct SegmentRequest {
  RequestId id;
  std::vector<SegmentId> segments;
  std::size_t daemon = 0;
  std::optional<std::size_t> deadly;  ///< Which deadly segment it holds.
  std::optional<std::size_t> path;    ///< Where it waits for its answer.
  int sent_tick = 0;
  int begin_tick = 0;
  int runs = 0;
  bool ended = false;
};

/// Daemons with a quarantine each, paths that crash, and delayed gossip
/// updates, in virtual time. For tests only.
class SegmentQuarantineSimulation {
 public:
  static constexpr std::size_t kDaemons = 4;
  static constexpr std::size_t kPaths = 8;
  static constexpr int kFirstSegments = 20;
  static constexpr int kMiddleSegments = 10;
  static constexpr Duration kTick = std::chrono::milliseconds(10);
  static constexpr int kTicksPerSecond = 100;
  static constexpr int kRestartTicks = 2 * kTicksPerSecond;
  static constexpr int kDeadlyFrom = 4 * kTicksPerSecond;
  static constexpr int kDeadlyUntil = 26 * kTicksPerSecond;
  static constexpr int kMaxRuns = 2;
  /// Time between the sending of a request and the begin of its answer.
  static constexpr int kLeastReadTicks = 3;
  static constexpr int kMostReadTicks = 10;
  /// After this many crashes by a segment, and the time after that, no more
  /// than a few requests with it may be sent.
  static constexpr int kTolerableCrashes = 5;
  static constexpr int kReactionTicks = 3 * kTicksPerSecond;
  static constexpr int kMaxLateSends = 3;

  explicit SegmentQuarantineSimulation(SegmentScenario scenario)
      : scenario_(std::move(scenario)),
        random_(scenario_.seed),
        messages_(static_cast<std::size_t>(scenario_.last_tick)),
        up_from_(kPaths) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      daemons_.emplace_back(DaemonName("d" + std::to_string(i)));
      daemons_.back().set_group_size(kDaemons);
    }
  }

  void Run() {
    for (; tick_ < scenario_.last_tick; ++tick_) {
      DeliverUpdates();
      for (const auto& outage : scenario_.outages) {
        if (outage.tick == tick_) CrashSome(outage.paths);
      }
      if (Chance(scenario_.requests_per_second / kTicksPerSecond)) AddRequest();
      // A crash changes other requests, but adds none.
      for (auto& request : requests_) Step(request);
      std::erase_if(requests_, [](const SegmentRequest& r) { return r.ended; });
    }
  }

  const std::vector<DeadlySegment>& deadly() const { return scenario_.deadly; }

  /// Checks that no daemon holds a block of a segment that isn't deadly.
  void CheckBlocks() const {
    for (const auto& daemon : daemons_) {
      for (int i = 0; i < kFirstSegments; ++i) {
        RC_ASSERT_FALSE(daemon.IsBlocked(FirstSegment(i)));
      }
      for (int i = 0; i < kMiddleSegments; ++i) {
        RC_ASSERT_FALSE(daemon.IsBlocked(MiddleSegment(i)));
      }
    }
  }

 private:
  struct Message {
    std::size_t to = 0;
    GossipUpdate update;
  };

  static SegmentId FirstSegment(int number) {
    return SegmentId("first" + std::to_string(number));
  }
  static SegmentId MiddleSegment(int number) {
    return SegmentId("middle" + std::to_string(number));
  }

  TimePoint At(int tick) const { return TimePoint(kTick * tick); }
  TimePoint Now() const { return At(tick_); }

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  bool Chance(double probability) { return Draw() < probability; }
  int DrawBetween(int least, int most) {
    return std::uniform_int_distribution<>(least, most)(random_);
  }

  void Post(std::size_t from, const std::vector<GossipUpdate>& updates) {
    for (const auto& update : updates) {
      if (const auto* block = std::get_if<SegmentBlockUpdate>(&update)) {
        CheckIsDeadly(block->segment);
      }
      for (std::size_t to = 0; to < kDaemons; ++to) {
        const int delay = DrawBetween(2, 14);
        if (to == from || tick_ + delay >= scenario_.last_tick) continue;
        const int arrival = tick_ + delay;
        messages_[static_cast<std::size_t>(arrival)].push_back(
            {to, Aged(update, kTick * delay)});
      }
    }
  }

  /// Each block that a daemon makes by itself is posted.
  void CheckIsDeadly(const SegmentId& segment) const {
    RC_ASSERT(std::any_of(
        scenario_.deadly.begin(), scenario_.deadly.end(),
        [&segment](const DeadlySegment& d) { return d.id == segment; }));
  }

  void DeliverUpdates() {
    for (const auto& [to, update] :
         messages_[static_cast<std::size_t>(tick_)]) {
      SegmentQuarantine& daemon = daemons_[to];
      std::visit(
          Overloaded{
              [&, to = to](const SegmentCrashUpdate& crash) {
                Post(to, daemon.Apply(crash, Now()));
              },
              [&](const SegmentClearedUpdate& c) { daemon.Apply(c, Now()); },
              [&](const SegmentBlockUpdate& b) { daemon.Apply(b, Now()); },
              [](const auto&) {},
          },
          update);
    }
  }

  void AddRequest() {
    SegmentRequest request{.id = RequestId(std::to_string(next_id_++)),
                           .daemon = static_cast<std::size_t>(
                               DrawBetween(0, static_cast<int>(kDaemons) - 1))};
    request.segments.push_back(FirstSegment(static_cast<int>(
        kFirstSegments * std::pow(Draw(), scenario_.unevenness))));
    if (Chance(scenario_.middle_percent / 100.0)) {
      request.segments.push_back(
          MiddleSegment(DrawBetween(0, kMiddleSegments - 1)));
    }
    AddDeadly(request);
    requests_.push_back(std::move(request));
  }

  void AddDeadly(SegmentRequest& request) {
    double draw = Draw();
    if (tick_ < kDeadlyFrom || tick_ >= kDeadlyUntil) return;
    for (std::size_t i = 0; i < scenario_.deadly.size(); ++i) {
      const DeadlySegment& deadly = scenario_.deadly[i];
      draw -= deadly.share;
      if (draw >= 0) continue;
      request.deadly = i;
      if (deadly.is_first) {
        request.segments[0] = deadly.id;
      } else {
        request.segments.insert(request.segments.begin() + 1, deadly.id);
      }
      return;
    }
  }

  void Step(SegmentRequest& request) {
    if (request.ended) return;
    if (!request.path) return Send(request);
    SegmentQuarantine& daemon = daemons_[request.daemon];
    if (daemon.MustStop(request.segments, request.id)) {
      daemon.RecordEnd(request.id);
      request.ended = true;
    } else if (tick_ >= request.begin_tick) {
      if (request.deadly) return CrashBy(request);
      request.ended = true;
      Post(request.daemon, daemon.RecordBegun(request.segments, Now()));
    }
  }

  void Send(SegmentRequest& request) {
    const auto path = Choose();
    request.ended = (!path && !scenario_.waits) || request.runs == kMaxRuns ||
                    daemons_[request.daemon].FindBlocked(request.segments,
                                                         request.id, Now());
    if (!path || request.ended) return;
    request.path = path;
    request.sent_tick = tick_;
    request.begin_tick = tick_ + DrawBetween(kLeastReadTicks, kMostReadTicks);
    ++request.runs;
    if (!request.deadly) return;
    DeadlySegment& deadly = scenario_.deadly[*request.deadly];
    if (tick_ > deadly.tolerated_until.value_or(tick_)) ++deadly.late_sends;
  }

  /// Returns the path with the fewest requests among those that are up.
  std::optional<std::size_t> Choose() {
    std::vector<int> loads(kPaths);
    for (const auto& request : requests_) {
      if (request.path && !request.ended) ++loads[*request.path];
    }
    std::optional<std::size_t> best;
    const auto offset = static_cast<std::size_t>(DrawBetween(0, kPaths - 1));
    for (std::size_t i = 0; i < kPaths; ++i) {
      const std::size_t path = (i + offset) % kPaths;
      if (tick_ < up_from_[path]) continue;
      if (!best || loads[path] < loads[*best]) best = path;
    }
    return best;
  }

  void CrashBy(const SegmentRequest& request) {
    DeadlySegment& deadly = scenario_.deadly[*request.deadly];
    if (++deadly.crashes == kTolerableCrashes) {
      deadly.tolerated_until = tick_ + kReactionTicks;
    }
    Crash(*request.path);
  }

  void CrashSome(std::size_t count) {
    std::vector<std::size_t> paths(kPaths);
    for (std::size_t i = 0; i < kPaths; ++i) paths[i] = i;
    std::shuffle(paths.begin(), paths.end(), random_);
    for (std::size_t i = 0; i < count; ++i) Crash(paths[i]);
  }

  void Crash(std::size_t path) {
    up_from_[path] = tick_ + kRestartTicks;
    for (auto& request : requests_) {
      if (request.ended || request.path != path) continue;
      request.path.reset();
      Post(request.daemon,
           daemons_[request.daemon].RecordCrash(
               request.segments, request.id, UpstreamName(std::to_string(path)),
               At(request.sent_tick), Now()));
    }
  }

  SegmentScenario scenario_;
  std::mt19937 random_;
  std::vector<SegmentQuarantine> daemons_;
  std::vector<std::vector<Message>> messages_;  ///< By the tick of arrival.
  std::vector<int> up_from_;
  std::vector<SegmentRequest> requests_;
  int next_id_ = 0;
  int tick_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_DECISIONS_SEGMENT_QUARANTINE_SIMULATION_H_
