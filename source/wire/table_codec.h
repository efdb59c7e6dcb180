#ifndef WISTERIAYOKE_WIRE_TABLE_CODEC_H_
#define WISTERIAYOKE_WIRE_TABLE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Parses the JSON form of the tables. Fails with kMalformedJson, or with
/// kTableInvalid if a field is unknown or has an invalid type or value.
std::optional<TableSpec> ParseTableSpec(std::string_view json,
                                        LastReason& reason);

/// Returns the JSON form of the tables, indented and with keys in fixed order.
std::string FormatTableSpec(const TableSpec& spec);

/// Parses the head record. Fails with kMalformedJson.
std::optional<TableVersion> ParseTableHead(std::string_view json,
                                           LastReason& reason);

/// Returns the JSON form of the head record.
std::string FormatTableHead(const TableVersion& version);

/// Parses "IP:PORT" with an IPv4 address. Fails with kFieldInvalid.
std::optional<Endpoint> ParseEndpoint(std::string_view text,
                                      LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_TABLE_CODEC_H_
