#ifndef WISTERIAYOKE_BASE_OUTCOME_H_
#define WISTERIAYOKE_BASE_OUTCOME_H_

#include "base/names_table.h"

namespace wisteriayoke {

/// What a caller may conclude from an answer.
enum class Outcome {
  kDone,     ///< The request ran and this is its whole answer.
  kNotRun,   ///< The request has not run and will not run.
  kUnknown,  ///< The request may have run; the answer says how to find out.
};

inline constexpr auto kOutcomeNames = MakeNamesTable<Outcome>({
    {Outcome::kDone, "done"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
});

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_OUTCOME_H_
