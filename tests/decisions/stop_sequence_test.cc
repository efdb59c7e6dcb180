#include "decisions/stop_sequence.h"

#include <doctest/doctest.h>

#include <vector>

namespace wisteriayoke {

// Guards against the platform's only signal being taken for a second one when
// an operator's drain came before it, which cut all answers at once.
TEST_CASE("only a second signal terminates requests, whatever drains came") {
  constexpr auto kDrain = StopSource::kOperator;
  constexpr auto kSignal = StopSource::kSignal;
  struct Case {
    std::vector<StopSource> requests;
    std::vector<StopStep> steps;
  };
  const std::vector<Case> cases = {
      {{kSignal, kSignal}, {StopStep::kBegin, StopStep::kTerminate}},
      {{kDrain, kSignal}, {StopStep::kBegin, StopStep::kExtend}},
      {{kDrain, kDrain, kDrain},
       {StopStep::kBegin, StopStep::kIgnore, StopStep::kIgnore}},
      {{kDrain, kDrain, kSignal, kDrain, kSignal},
       {StopStep::kBegin, StopStep::kIgnore, StopStep::kExtend,
        StopStep::kIgnore, StopStep::kTerminate}},
      {{kSignal, kDrain, kSignal},
       {StopStep::kBegin, StopStep::kIgnore, StopStep::kTerminate}},
  };
  for (const auto& [requests, steps] : cases) {
    StopSequence sequence;
    std::vector<StopStep> taken;
    taken.reserve(requests.size());
    for (const auto source : requests) taken.push_back(sequence.Handle(source));
    CHECK(taken == steps);
  }
}

}  // namespace wisteriayoke
