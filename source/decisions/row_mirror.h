#ifndef WISTERIAYOKE_DECISIONS_ROW_MIRROR_H_
#define WISTERIAYOKE_DECISIONS_ROW_MIRROR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/store_version.h"

namespace wisteriayoke {

/// One row of a table of the platform's store, or its removal.
struct MirrorRow {
  std::string key;
  std::string value;
  StoreVersion version;  ///< Of the row's last change.
  bool removed = false;

  friend bool operator==(const MirrorRow&, const MirrorRow&) = default;
};

/// Changes of a table up to one version of the store.
struct MirrorChanges {
  /// Version of the last change of the table, or a later one. Not less than
  /// the position of a whole table that was read from the store, which doesn't
  /// say when rows were removed.
  StoreVersion head;
  /// Version of the store up to which there are no further changes.
  StoreVersion position;
  bool whole = false;  ///< Whether `rows` are all rows of the table.
  std::vector<MirrorRow> rows;

  friend bool operator==(const MirrorChanges&, const MirrorChanges&) = default;
};

/// Version of the last change of a mirrored table and position up to which its
/// changes are known, both of one era.
struct MirrorView {
  StoreVersion head;
  StoreVersion position;

  friend bool operator==(const MirrorView&, const MirrorView&) = default;
};

/// Copy of one table of the platform's store, which daemons get from the store
/// or from each other.
///
/// It holds every change up to its head, so that a daemon with a lower head
/// catches up from any other with the changes after its own. A row is only ever
/// replaced by a later version of it.
///
/// The first changes of a new era of the store must be the whole table: rows
/// that the store lost when it returned to an older copy are removed then.
class RowMirror {
 public:
  /// Most removals that are remembered for daemons that catch up. One that is
  /// further behind gets the whole table.
  static constexpr std::size_t kMaxRemovals = 2048;

  /// Applies `changes` and returns the rows that they changed. They must begin
  /// at this mirror's head or position, or earlier. Has no effect if they are
  /// of an earlier era, or begin a new one and aren't the whole table.
  std::vector<MirrorRow> Apply(const MirrorChanges& changes);

  /// Returns the changes after `head`, or the whole table if removals since
  /// then may have been forgotten.
  MirrorChanges ChangesAfter(StoreVersion head) const;

  /// Records that there are no changes between the head and `position`.
  void RecordPosition(const MirrorView& view);

  const MirrorView& view() const { return view_; }
  /// Returns whether the table was ever known as a whole.
  bool complete() const { return complete_; }

 private:
  void ListMissing(const MirrorChanges& changes,
                   std::vector<MirrorRow>& changed) const;
  void Store(const MirrorRow& row);
  void ForgetOldRemovals();

  std::map<std::string, MirrorRow> rows_;
  std::map<StoreVersion, std::string> removals_;  ///< Keys by version.
  /// Changes up to this version may lack removals.
  StoreVersion forgotten_;
  MirrorView view_;
  bool complete_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_ROW_MIRROR_H_
