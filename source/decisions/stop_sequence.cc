#include "decisions/stop_sequence.h"

#include <utility>

namespace wisteriayoke {

StopStep StopSequence::Handle(StopSource source) {
  const bool begun = std::exchange(begun_, true);
  if (source == StopSource::kOperator) {
    return begun ? StopStep::kIgnore : StopStep::kBegin;
  }
  if (std::exchange(signalled_, true)) return StopStep::kTerminate;
  return begun ? StopStep::kExtend : StopStep::kBegin;
}

}  // namespace wisteriayoke
