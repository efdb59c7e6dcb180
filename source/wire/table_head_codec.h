#ifndef WISTERIAYOKE_WIRE_TABLE_HEAD_CODEC_H_
#define WISTERIAYOKE_WIRE_TABLE_HEAD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/table_head.h"

namespace wisteriayoke {

/// Key of the head record in the table service.
inline constexpr std::string_view kTableHeadKey = "tables/head";

/// Returns the key of the history record of version `number`.
std::string TableHistoryKey(std::uint64_t number);

/// Parses a head or history record with the edit that created it. Fields other
/// than the version and the hash may be absent. Fails with kMalformedJson.
std::optional<TableHead> ParseTableHeadRecord(std::string_view json,
                                              LastReason& reason);

/// Returns the JSON form of a head or history record.
std::string FormatTableHeadRecord(const TableHead& head);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_TABLE_HEAD_CODEC_H_
