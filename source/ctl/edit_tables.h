#ifndef WISTERIAYOKE_CTL_EDIT_TABLES_H_
#define WISTERIAYOKE_CTL_EDIT_TABLES_H_

#include <string>

#include "ctl/store_client.h"
#include "decisions/table_editor.h"

namespace wisteriayoke {

/// Replaces the version that `edit` is based on by `content`: executes the
/// actions of a `TableEditor` on the store and returns the outcome.
FinishEdit EditTables(StoreClient& store, const EditRequested& edit,
                      const std::string& content);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_EDIT_TABLES_H_
