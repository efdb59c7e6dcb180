#ifndef WISTERIAYOKE_CTL_TABLE_SOURCE_H_
#define WISTERIAYOKE_CTL_TABLE_SOURCE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/last_reason.h"
#include "ctl/store_client.h"
#include "decisions/table_head.h"

namespace wisteriayoke {

/// Reads the head record of the tables in force. Fails with kObjectMissing if
/// there are no tables yet, or with the store's error.
std::optional<TableHead> ReadHeadInForce(StoreClient& store,
                                         LastReason& reason);

/// Reads the head record of the version with the number `name`, in force or
/// replaced. Fails with kUsage if `name` is not a number.
std::optional<TableHead> ReadHeadOfVersion(StoreClient& store,
                                           const std::string& name,
                                           LastReason& reason);

/// Reads the latest `limit` head records, the one in force first.
std::optional<std::vector<TableHead>> ReadLatestHeads(StoreClient& store,
                                                      unsigned limit,
                                                      LastReason& reason);

/// Returns the content of the tables that `name` refers to: a version number or
/// the path of a file.
std::optional<std::string> ReadContent(StoreClient& store,
                                       const std::string& name,
                                       LastReason& reason);

/// Checks that `content` holds complete and consistent tables. The reason
/// starts with `name` and, if it can be found, the line of the invalid entry.
bool CheckContent(const std::string& name, const std::string& content,
                  LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_TABLE_SOURCE_H_
