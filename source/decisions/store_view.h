#ifndef WISTERIAYOKE_DECISIONS_STORE_VIEW_H_
#define WISTERIAYOKE_DECISIONS_STORE_VIEW_H_

#include "base/names_table.h"
#include "decisions/row_mirror.h"

namespace wisteriayoke {

/// Tables of the platform's store that every daemon mirrors.
enum class MirroredTable {
  kTables,   ///< The operator's document.
  kEntries,  ///< The entries of the upstreams.
};

inline constexpr auto kMirroredTableNames = MakeNamesTable<MirroredTable>({
    {MirroredTable::kTables, "tables"},
    {MirroredTable::kEntries, "entries"},
});

/// What a daemon knows of the mirrored tables; sent to peers with answers to
/// their pings and with notices.
struct StoreView {
  MirrorView tables;
  MirrorView entries;

  const MirrorView& Of(MirroredTable table) const {
    return table == MirroredTable::kTables ? tables : entries;
  }

  friend bool operator==(const StoreView&, const StoreView&) = default;
};

/// A daemon's copies of the mirrored tables.
struct StoreMirrors {
  RowMirror tables;
  RowMirror entries;

  RowMirror& Of(MirroredTable table) {
    return table == MirroredTable::kTables ? tables : entries;
  }
  const RowMirror& Of(MirroredTable table) const {
    return table == MirroredTable::kTables ? tables : entries;
  }
  StoreView View() const { return {tables.view(), entries.view()}; }
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_STORE_VIEW_H_
