#ifndef WISTERIAYOKE_BASE_OUTCOME_H_
#define WISTERIAYOKE_BASE_OUTCOME_H_

#include "base/names_table.h"

namespace wisteriayoke {

/// What an answer says about the execution of its request.
enum class Outcome {
  kDone,     ///< The request was executed; this is its complete answer.
  kNotRun,   ///< The request has not been executed and will not be.
  kUnknown,  ///< It may have been executed; the answer says how to find out.
};

inline constexpr auto kOutcomeNames = MakeNamesTable<Outcome>({
    {Outcome::kDone, "done"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
});

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_OUTCOME_H_
