#ifndef WISTERIAYOKE_DECISIONS_TABLE_HEAD_H_
#define WISTERIAYOKE_DECISIONS_TABLE_HEAD_H_

#include <string>

#include "base/ids.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Identifies one edit of the tables; unique among all edits.
using EditId = StringId<struct EditIdTag>;

/// The head record: the version in force and the edit that made it. A head
/// that was replaced is kept as the history record of its version.
struct TableHead {
  TableVersion version;
  std::string previous_hash;  ///< Content of the version before; "" at first.
  EditId edit;
  std::string author;
  std::string time;  ///< Wall time of the edit, for people.

  friend bool operator==(const TableHead&, const TableHead&) = default;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TABLE_HEAD_H_
