#ifndef WISTERIAYOKE_DECISIONS_ROW_MIRROR_H_
#define WISTERIAYOKE_DECISIONS_ROW_MIRROR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriayoke {

/// One row of a table of the platform's store, or its removal.
struct MirrorRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;  ///< Of the row's last change.
  bool removed = false;

  friend bool operator==(const MirrorRow&, const MirrorRow&) = default;
};

/// Changes of a table up to one version of the store.
struct MirrorChanges {
  /// Version of the last change of the table, or a later one. Not less than
  /// the position of a whole table that was read from the store, which doesn't
  /// say when rows were removed.
  std::uint64_t head = 0;
  /// Version of the store up to which there are no further changes.
  std::uint64_t position = 0;
  bool whole = false;  ///< Whether `rows` are all rows of the table.
  std::vector<MirrorRow> rows;

  friend bool operator==(const MirrorChanges&, const MirrorChanges&) = default;
};

/// Version of the last change of a mirrored table and position up to which its
/// changes are known; both 0 before the first.
struct MirrorView {
  std::uint64_t head = 0;
  std::uint64_t position = 0;

  friend bool operator==(const MirrorView&, const MirrorView&) = default;
};

/// Copy of one table of the platform's store, which daemons get from the store
/// or from each other.
///
/// It holds every change up to its head, so that a daemon with a lower head
/// catches up from any other with the changes after its own. A row is only ever
/// replaced by a later version of it.
class RowMirror {
 public:
  /// Most removals that are remembered for daemons that catch up. One that is
  /// further behind gets the whole table.
  static constexpr std::size_t kMaxRemovals = 2048;

  /// Applies `changes` and returns the rows that they changed. They must begin
  /// at this mirror's head or position, or earlier.
  std::vector<MirrorRow> Apply(const MirrorChanges& changes);

  /// Returns the changes after `head`, or the whole table if removals since
  /// then may have been forgotten.
  MirrorChanges ChangesAfter(std::uint64_t head) const;

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
  std::map<std::uint64_t, std::string> removals_;  ///< Keys by version.
  /// Changes up to this version may lack removals.
  std::uint64_t forgotten_ = 0;
  MirrorView view_;
  bool complete_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_ROW_MIRROR_H_
