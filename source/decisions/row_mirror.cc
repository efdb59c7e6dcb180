#include "decisions/row_mirror.h"

#include <algorithm>
#include <set>

namespace wisteriayoke {

std::vector<MirrorRow> RowMirror::Apply(const MirrorChanges& changes) {
  if (!changes.whole && !complete_) return {};
  const bool new_era = changes.head.era() != view_.head.era();
  if (new_era && !changes.whole) return {};
  const StoreVersion known_to = changes.whole ? changes.position : changes.head;
  if (complete_ && known_to < view_.head) return {};
  std::vector<MirrorRow> changed;
  for (const auto& row : changes.rows) {
    // A row that isn't newer is either known or was removed since.
    if (complete_ && row.version <= view_.position) continue;
    const auto known = rows_.find(row.key);
    if (known != rows_.end() && known->second.version >= row.version) continue;
    changed.push_back(row);
  }
  if (changes.whole) ListMissing(changes, changed);
  view_.head = std::max(view_.head, changes.head);
  for (const auto& row : changed) {
    Store(row);
    view_.head = std::max(view_.head, row.version);
  }
  // Rows that came and went before a whole table was read left no removal.
  if (changes.whole) forgotten_ = std::max(forgotten_, view_.head);
  complete_ = true;
  view_.position = std::max({view_.position, changes.position, view_.head});
  ForgetOldRemovals();
  return changed;
}

/// Adds removals of the rows that the whole table no longer has.
void RowMirror::ListMissing(const MirrorChanges& changes,
                            std::vector<MirrorRow>& changed) const {
  std::set<std::string_view> present;
  for (const auto& row : changes.rows) present.insert(row.key);
  for (const auto& [key, row] : rows_) {
    if (row.removed || present.contains(key)) continue;
    changed.push_back(
        {.key = key, .version = changes.position, .removed = true});
  }
}

void RowMirror::Store(const MirrorRow& row) {
  rows_[row.key] = row;
  if (row.removed) removals_[row.version] = row.key;
}

void RowMirror::ForgetOldRemovals() {
  while (removals_.size() > kMaxRemovals) {
    const auto oldest = removals_.begin();
    const auto row = rows_.find(oldest->second);
    const bool removed_since = row != rows_.end() && row->second.removed &&
                               row->second.version == oldest->first;
    if (removed_since) rows_.erase(row);
    forgotten_ = oldest->first;
    removals_.erase(oldest);
  }
}

MirrorChanges RowMirror::ChangesAfter(StoreVersion head) const {
  MirrorChanges changes{.head = view_.head, .position = view_.position};
  changes.whole = head < forgotten_ || head == StoreVersion();
  for (const auto& [key, row] : rows_) {
    const bool wanted = changes.whole ? !row.removed : row.version > head;
    if (wanted) changes.rows.push_back(row);
  }
  return changes;
}

void RowMirror::RecordPosition(const MirrorView& view) {
  if (!complete_ || view.head != view_.head) return;
  view_.position = std::max(view_.position, view.position);
}

}  // namespace wisteriayoke
