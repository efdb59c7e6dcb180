#include "decisions/gossip_update.h"

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

/// An update that is younger by at most this much is treated as a repeat.
constexpr Duration kRepeatWindow = std::chrono::milliseconds(500);
/// The same for updates on isolated runs, which are renewed more often.
constexpr Duration kIsolatedRunRepeatWindow = std::chrono::milliseconds(100);
/// The same for cleared segments, which may crash and begin often.
constexpr Duration kClearedRepeatWindow = std::chrono::milliseconds(100);

}  // namespace

bool SameSubject(const GossipUpdate& a, const GossipUpdate& b) {
  if (a.index() != b.index()) return false;
  return std::visit(
      Overloaded{
          [](const TableHeadUpdate&) { return true; },
          [&b](const LeavingUpdate& update) {
            return update.upstream == std::get<LeavingUpdate>(b).upstream;
          },
          [&b](const SuspectUpdate& update) {
            const auto& other = std::get<SuspectUpdate>(b);
            return update.fingerprint == other.fingerprint &&
                   update.upstream == other.upstream;
          },
          [&b](const IsolatedRunUpdate& update) {
            const auto& other = std::get<IsolatedRunUpdate>(b);
            return update.daemon == other.daemon &&
                   update.upstream == other.upstream &&
                   update.fingerprint == other.fingerprint;
          },
          [&b](const SegmentCrashUpdate& update) {
            const auto& other = std::get<SegmentCrashUpdate>(b);
            return update.request == other.request &&
                   update.upstream == other.upstream;
          },
          [&b](const SegmentClearedUpdate& update) {
            return update.segment == std::get<SegmentClearedUpdate>(b).segment;
          },
          [&b](const SegmentBlockUpdate& update) {
            return update.segment == std::get<SegmentBlockUpdate>(b).segment;
          },
          [&b](const SuspectClearedUpdate& update) {
            return update.fingerprint ==
                   std::get<SuspectClearedUpdate>(b).fingerprint;
          },
      },
      a);
}

bool IsNewer(const GossipUpdate& candidate, const GossipUpdate& known) {
  return std::visit(
      Overloaded{
          [&known](const TableHeadUpdate& update) {
            return update.version.number >
                   std::get<TableHeadUpdate>(known).version.number;
          },
          [&known](const LeavingUpdate& update) {
            const auto& other = std::get<LeavingUpdate>(known);
            return update.started_ms > other.started_ms ||
                   update.list_revision > other.list_revision ||
                   update.age + kRepeatWindow < other.age;
          },
          [&known](const SuspectUpdate& update) {
            const auto& other = std::get<SuspectUpdate>(known);
            return update.delivered > other.delivered ||
                   (update.isolated_run && !other.isolated_run) ||
                   update.age + kRepeatWindow < other.age;
          },
          [&known](const IsolatedRunUpdate& update) {
            const auto& other = std::get<IsolatedRunUpdate>(known);
            if (update.age >= other.age) return false;
            return update.ended != other.ended ||
                   update.age + kIsolatedRunRepeatWindow < other.age;
          },
          [](const SegmentCrashUpdate&) { return false; },
          [&known](const SegmentClearedUpdate& update) {
            const auto& other = std::get<SegmentClearedUpdate>(known);
            return update.age + kClearedRepeatWindow < other.age;
          },
          [&known](const SegmentBlockUpdate& update) {
            const auto& other = std::get<SegmentBlockUpdate>(known);
            return update.length > other.length ||
                   update.age + kRepeatWindow < other.age;
          },
          [&known](const SuspectClearedUpdate& update) {
            const auto& other = std::get<SuspectClearedUpdate>(known);
            return update.age + kRepeatWindow < other.age;
          },
      },
      candidate);
}

GossipUpdate Aged(GossipUpdate update, Duration elapsed) {
  std::visit(Overloaded{[](TableHeadUpdate&) {},
                        [elapsed](auto& aging) { aging.age += elapsed; }},
             update);
  return update;
}

GossipUpdate Delayed(GossipUpdate update, Duration wait) {
  std::visit(
      Overloaded{[wait](SuspectUpdate& suspect) { suspect.uncertainty = wait; },
                 [wait](SuspectClearedUpdate& cleared) { cleared.age += wait; },
                 [wait](SegmentBlockUpdate& block) { block.age += wait; },
                 [](auto&) {}},
      update);
  return update;
}

std::optional<Duration> RepeatedEventAge(const GossipUpdate& update) {
  if (const auto* suspect = std::get_if<SuspectUpdate>(&update)) {
    return suspect->age;
  }
  if (const auto* block = std::get_if<SegmentBlockUpdate>(&update)) {
    return block->elapsed + block->age;
  }
  return std::nullopt;
}

}  // namespace wisteriayoke
