#ifndef WISTERIAYOKE_CTL_TABLE_DIFF_H_
#define WISTERIAYOKE_CTL_TABLE_DIFF_H_

#include <string>
#include <vector>

#include "base/names_table.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// What happened to one field between two contents of the tables.
enum class DiffKind { kAdded, kRemoved, kChanged };

inline constexpr auto kDiffKindNames = MakeNamesTable<DiffKind>({
    {DiffKind::kAdded, "added"},
    {DiffKind::kRemoved, "removed"},
    {DiffKind::kChanged, "changed"},
});

/// One field that differs. `path` names entries, not their places, such as
/// "pools/booking/upstreams/service1/slots".
struct TableDifference {
  DiffKind kind = DiffKind::kChanged;
  std::string path;
  std::string before;
  std::string after;
};

/// Returns what differs from `before` to `after`, in the order of the paths.
std::vector<TableDifference> DiffTables(const TableSpec& before,
                                        const TableSpec& after);

/// Returns the JSON form of `differences`.
std::string EncodeDifferences(const std::vector<TableDifference>& differences);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_TABLE_DIFF_H_
