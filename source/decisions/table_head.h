#ifndef WISTERIAYOKE_DECISIONS_TABLE_HEAD_H_
#define WISTERIAYOKE_DECISIONS_TABLE_HEAD_H_

#include <string>

#include "base/ids.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Identifies one edit of the tables; unique among all edits.
using EditId = StringId<struct EditIdTag>;

/// The head record: the version in force and the edit that produced it. A
/// replaced head is kept as the history record of its version.
struct TableHead {
  TableVersion version;
  std::string previous_hash;  ///< Hash of the previous version; "" if none.
  EditId edit;
  std::string author;
  std::string time;  ///< Wall-clock time of the edit, for display.

  friend bool operator==(const TableHead&, const TableHead&) = default;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TABLE_HEAD_H_
