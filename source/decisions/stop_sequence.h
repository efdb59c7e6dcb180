#ifndef WISTERIAYOKE_DECISIONS_STOP_SEQUENCE_H_
#define WISTERIAYOKE_DECISIONS_STOP_SEQUENCE_H_

#include "base/names_table.h"

namespace wisteriayoke {

/// Who requests a stop of the daemon.
enum class StopSource {
  kOperator,  ///< The operators' tool, by a drain.
  kSignal,    ///< The platform, which kills the process some time later.
};

inline constexpr auto kStopSourceNames = MakeNamesTable<StopSource>({
    {StopSource::kOperator, "operator"},
    {StopSource::kSignal, "signal"},
});

/// What a request for a stop leads to.
enum class StopStep {
  kBegin,      ///< Begin the drain, and its deadline.
  kExtend,     ///< Let the deadline count from now.
  kTerminate,  ///< Terminate the requests in flight.
  kIgnore,
};

inline constexpr auto kStopStepNames = MakeNamesTable<StopStep>({
    {StopStep::kBegin, "begin"},
    {StopStep::kExtend, "extend"},
    {StopStep::kTerminate, "terminate"},
    {StopStep::kIgnore, "ignore"},
});

/// Decides what the requests for a stop, in their order, lead to. The first of
/// any source begins the drain. A repeated drain changes nothing, the first
/// signal grants the whole deadline, and only a second one ends it early.
class StopSequence {
 public:
  StopStep Handle(StopSource source);

 private:
  bool begun_ = false;
  bool signalled_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_STOP_SEQUENCE_H_
