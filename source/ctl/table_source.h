#ifndef WISTERIAYOKE_CTL_TABLE_SOURCE_H_
#define WISTERIAYOKE_CTL_TABLE_SOURCE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/last_reason.h"
#include "ctl/store_client.h"
#include "decisions/table_head.h"

namespace wisteriayoke {

/// Reads the head in force. Fails with kObjectMissing if there are no tables
/// yet, or with the store's reason.
std::optional<TableHead> ReadHeadInForce(StoreClient& store,
                                         LastReason& reason);

/// Reads the head of the version called `name`, in force or replaced. Fails
/// with kUsage if `name` isn't a number.
std::optional<TableHead> ReadHeadNamed(StoreClient& store,
                                       const std::string& name,
                                       LastReason& reason);

/// Reads up to `limit` heads from the one in force backwards.
std::optional<std::vector<TableHead>> ReadLatestHeads(StoreClient& store,
                                                      unsigned limit,
                                                      LastReason& reason);

/// Returns the content that `name` stands for: a version number or a file.
std::optional<std::string> ReadContent(StoreClient& store,
                                       const std::string& name,
                                       LastReason& reason);

/// Checks `content` as whole tables. The reason starts with `name` and, where
/// it can be told, the line of the entry that is wrong.
bool CheckContent(const std::string& name, const std::string& content,
                  LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_TABLE_SOURCE_H_
