#include "decisions/rumour.h"

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

/// A sign that is fresher by less than this is taken for a repeat.
constexpr Duration kRepeatWindow = std::chrono::milliseconds(500);

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
                        [&b](const LoadRumour& rumour) {
                          const auto& other = std::get<LoadRumour>(b);
                          return rumour.daemon == other.daemon &&
                                 rumour.upstream == other.upstream;
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
            return rumour.age + kRepeatWindow <
                   std::get<SuspectRumour>(known).age;
          },
          [&known](const LoadRumour& rumour) {
            return rumour.in_flight != std::get<LoadRumour>(known).in_flight;
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
  return rumour;
}

}  // namespace wisteriayoke
