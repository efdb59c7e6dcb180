#ifndef WISTERIAYOKE_BASE_RESULT_GROUP_H_
#define WISTERIAYOKE_BASE_RESULT_GROUP_H_

#include "base/names_table.h"
#include "base/result_code.h"

namespace wisteriayoke {

/// Groups of result codes. The value is the hundreds digit of the group's codes
/// and the exit status of the tools.
enum class ResultGroup {
  kOk = 0,
  kRequest = 1,
  kRefusal = 2,
  kOutcome = 3,
  kTables = 4,
  kStore = 5,
  kSettings = 6,
  kProcess = 7,
  kInvariant = 9,
};

inline constexpr auto kResultGroupNames = MakeNamesTable<ResultGroup>({
    {ResultGroup::kOk, "ok"},
    {ResultGroup::kRequest, "request"},
    {ResultGroup::kRefusal, "refusal"},
    {ResultGroup::kOutcome, "outcome"},
    {ResultGroup::kTables, "tables"},
    {ResultGroup::kStore, "store"},
    {ResultGroup::kSettings, "settings"},
    {ResultGroup::kProcess, "process"},
    {ResultGroup::kInvariant, "invariant"},
});

/// Returns the group of `code`.
inline ResultGroup GroupOf(ResultCode code) {
  return static_cast<ResultGroup>(ExitStatusOf(code));
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_RESULT_GROUP_H_
