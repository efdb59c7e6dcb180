#ifndef WISTERIAYOKE_CTL_EDIT_TABLES_H_
#define WISTERIAYOKE_CTL_EDIT_TABLES_H_

#include <string>

#include "ctl/store_client.h"
#include "decisions/table_editor.h"

namespace wisteriayoke {

/// Carries out the decisions of a `TableEditor` at the store: puts `content`
/// in place of the version that `edit` names, and returns what became of it.
FinishEdit EditTables(StoreClient& store, const EditRequested& edit,
                      const std::string& content);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_EDIT_TABLES_H_
