#include "decisions/gossip_update.h"

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

/// An update that is younger by at most this much is treated as a repeat.
constexpr Duration kRepeatWindow = std::chrono::milliseconds(500);
/// The same for updates on isolated runs, which are renewed more often.
constexpr Duration kIsolatedRunRepeatWindow = std::chrono::milliseconds(100);

}  // namespace

bool SameSubject(const GossipUpdate& a, const GossipUpdate& b) {
  if (a.index() != b.index()) return false;
  return std::visit(Overloaded{
                        [](const TableHeadUpdate&) { return true; },
                        [&b](const LeavingUpdate& update) {
                          return update.upstream ==
                                 std::get<LeavingUpdate>(b).upstream;
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
      },
      candidate);
}

GossipUpdate Aged(GossipUpdate update, Duration elapsed) {
  if (auto* leaving = std::get_if<LeavingUpdate>(&update)) {
    leaving->age += elapsed;
  }
  if (auto* suspect = std::get_if<SuspectUpdate>(&update)) {
    suspect->age += elapsed;
  }
  if (auto* run = std::get_if<IsolatedRunUpdate>(&update)) run->age += elapsed;
  return update;
}

}  // namespace wisteriayoke
