#ifndef WISTERIAYOKE_CTL_TABLE_DIFF_H_
#define WISTERIAYOKE_CTL_TABLE_DIFF_H_

#include <string>
#include <vector>

#include "base/names_table.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// How a field differs between two versions of the tables.
enum class DiffKind { kAdded, kRemoved, kChanged };

inline constexpr auto kDiffKindNames = MakeNamesTable<DiffKind>({
    {DiffKind::kAdded, "added"},
    {DiffKind::kRemoved, "removed"},
    {DiffKind::kChanged, "changed"},
});

/// One field that differs. `path` has the names of list entries, not their
/// indexes, such as "pools/booking/upstreams/service1/slots".
struct TableDifference {
  DiffKind kind = DiffKind::kChanged;
  std::string path;
  std::string before;
  std::string after;
};

/// Returns the differences from `before` to `after`, sorted by path.
std::vector<TableDifference> DiffTables(const TableSpec& before,
                                        const TableSpec& after);

/// Returns `differences` as a JSON array.
std::string EncodeDifferences(const std::vector<TableDifference>& differences);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_TABLE_DIFF_H_
