#include "decisions/rumour.h"

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

/// A sign that is fresher by less than this is taken for a repeat.
constexpr Duration kRepeatWindow = std::chrono::milliseconds(500);
/// The same for the signs of a trial, which are renewed more often.
constexpr Duration kTrialRepeatWindow = std::chrono::milliseconds(100);

}  // namespace

bool SameSubject(const Rumour& a, const Rumour& b) {
  if (a.index() != b.index()) return false;
  return std::visit(Overloaded{
                        [](const TableHeadRumour&) { return true; },
                        [&b](const LeavingRumour& rumour) {
                          return rumour.upstream ==
                                 std::get<LeavingRumour>(b).upstream;
                        },
                        [&b](const SuspectRumour& rumour) {
                          const auto& other = std::get<SuspectRumour>(b);
                          return rumour.fingerprint == other.fingerprint &&
                                 rumour.upstream == other.upstream;
                        },
                        [&b](const TrialRumour& rumour) {
                          const auto& other = std::get<TrialRumour>(b);
                          return rumour.daemon == other.daemon &&
                                 rumour.upstream == other.upstream &&
                                 rumour.fingerprint == other.fingerprint;
                        },
                    },
                    a);
}

bool IsNews(const Rumour& candidate, const Rumour& known) {
  return std::visit(
      Overloaded{
          [&known](const TableHeadRumour& rumour) {
            return rumour.version.number >
                   std::get<TableHeadRumour>(known).version.number;
          },
          [&known](const LeavingRumour& rumour) {
            return rumour.age + kRepeatWindow <
                   std::get<LeavingRumour>(known).age;
          },
          [&known](const SuspectRumour& rumour) {
            const auto& other = std::get<SuspectRumour>(known);
            return rumour.delivered > other.delivered ||
                   (rumour.trial && !other.trial) ||
                   rumour.age + kRepeatWindow < other.age;
          },
          [&known](const TrialRumour& rumour) {
            const auto& other = std::get<TrialRumour>(known);
            if (rumour.age >= other.age) return false;
            return rumour.ended != other.ended ||
                   rumour.age + kTrialRepeatWindow < other.age;
          },
      },
      candidate);
}

Rumour Aged(Rumour rumour, Duration elapsed) {
  if (auto* leaving = std::get_if<LeavingRumour>(&rumour)) {
    leaving->age += elapsed;
  }
  if (auto* suspect = std::get_if<SuspectRumour>(&rumour)) {
    suspect->age += elapsed;
  }
  if (auto* trial = std::get_if<TrialRumour>(&rumour)) trial->age += elapsed;
  return rumour;
}

}  // namespace wisteriayoke
