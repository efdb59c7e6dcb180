#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "relay/relay_fixture.h"

namespace wisteriayoke {
namespace {

constexpr std::uint64_t kStreams = 40;
/// How long the upstream is silent; longer than any threshold of the relay, and
/// shorter than callers wait.
constexpr Duration kSilence = std::chrono::milliseconds(1500);
constexpr int kLastEvent = 4;

/// A caller's view of one stream.
struct StreamOfCaller {
  std::shared_ptr<HttpClientCall> call;
  std::string body;
  bool ended = false;
};

/// Sends the events that follow the first one.
void SendRest(const HttpRequest& request, const CallerPtr& caller) {
  caller->StartStream(MakeSealed(request, 200, "").head);
  for (int id = 2; id <= kLastEvent; ++id) caller->WriteChunk(MakeEvent(id));
  caller->EndStream();
}

}  // namespace

/// A relay with many streams at one upstream, which falls silent, reports
/// included, and then goes on.
struct StallCostFixture : RelayFixture {
  std::vector<CallerPtr> held;  ///< Attempts at the silent upstream.
  std::vector<StreamOfCaller> streams{kStreams};

  StallCostFixture() {
    // Only "w-1" serves until all streams have begun there.
    state.relay.fleet.Remove(UpstreamName("w-2"), loop.Now());
    SetSlots("w-1");
    for (std::uint64_t i = 0; i < kStreams; ++i) {
      answers.emplace_back(
          [this](const HttpRequest& request, const CallerPtr& caller) {
            held.push_back(caller);
            caller->StartStream(MakeSealed(request, 200, "").head);
            caller->WriteChunk(MakeEvent(1));
          });
    }
    for (auto& stream : streams) Start(stream);
    RunUntil([this] {
      return std::all_of(streams.begin(), streams.end(),
                         [](const auto& s) { return !s.body.empty(); });
    });
    answers_polls = false;
  }

  /// Gives `name` a place for each stream.
  void SetSlots(const char* name) {
    FleetEntry entry = *state.relay.fleet.Find(UpstreamName(name));
    entry.upstream.slots = kStreams;
    state.relay.fleet.Apply(entry);
  }

  void Start(StreamOfCaller& stream) {
    stream.call = HttpClientCall::Start(
        loop, LocalEndpoint(TestPorts::kFront), MakeRequest("/tale/1", "k1"),
        {}, [&stream](CallEvent event) {
          if (const auto* data = std::get_if<CallBodyData>(&event)) {
            stream.body += data->data;
          }
          if (std::holds_alternative<CallEnd>(event)) stream.ended = true;
        });
  }

  /// Lets the silence pass, then the upstream send the rest of all streams.
  void PassSilence() {
    const TimePoint end = loop.Now() + kSilence;
    RunUntil([&] { return loop.Now() >= end; });
    answers_polls = true;
    for (const auto& caller : held) {
      for (int id = 2; id <= kLastEvent; ++id) {
        caller->WriteChunk(MakeEvent(id));
      }
      caller->EndStream();
    }
    RunUntil([this] {
      return std::all_of(streams.begin(), streams.end(),
                         [](const auto& s) { return s.ended; });
    });
  }

  std::uint64_t CountSearches() const {
    return state.relay.metrics.CountOf(TargetSearchKind::kStall);
  }

  std::uint64_t CountSuspicions() const {
    const auto& events = state.timeline.events();
    return static_cast<std::uint64_t>(
        std::count_if(events.begin(), events.end(), [](const auto& event) {
          return event.kind == EventKind::kUpstreamSuspected;
        }));
  }

  void CheckAllWhole() const {
    std::string whole;
    for (int id = 1; id <= kLastEvent; ++id) whole += MakeEvent(id);
    for (const auto& stream : streams) CHECK(stream.body == whole);
  }
};

// Guards against a daemon that hangs while one upstream with many streams is
// silent: each stalled stream made all others search a path, again and again.
TEST_CASE_FIXTURE(StallCostFixture,
                  "a silent upstream costs each stream few path searches") {
  // Once at each report of a stall, which comes every kMaxStallThreshold.
  std::uint64_t allowed =
      kStreams * static_cast<std::uint64_t>(kSilence / kMaxStallThreshold + 2);
  SUBCASE("there is no other path") {}
  SUBCASE("there is another path, but the retry budget is spent") {
    AddUpstream("w-2", "w", {0, 8}, TestPorts::kPeers);
    state.relay.budgets.at(PoolName("w"))
        .set_limits({.share = 0.0, .max_balance = 0.0});
    allowed = 0;
  }
  SUBCASE("there is another path, and a few streams may move there") {
    constexpr double kRetries = 10;
    AddUpstream("w-2", "w", {0, 8}, TestPorts::kPeers);
    SetSlots("w-2");
    state.relay.budgets.at(PoolName("w"))
        .set_limits({.share = 0.0, .max_balance = kRetries});
    allowed = static_cast<std::uint64_t>(kRetries);
    for (int i = 0; i < kRetries; ++i) answers.emplace_back(SendRest);
  }
  PassSilence();
  CHECK(CountSearches() <= allowed);
  // One for each ejection, the first of which lasts half a second.
  CHECK(CountSuspicions() <= 3);
  CheckAllWhole();
}

}  // namespace wisteriayoke
