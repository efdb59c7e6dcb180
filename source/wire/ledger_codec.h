#ifndef WISTERIAYOKE_WIRE_LEDGER_CODEC_H_
#define WISTERIAYOKE_WIRE_LEDGER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/ledger_record.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Returns the stored form of a record: one line of JSON, then the unchanged
/// bytes of the answer.
std::string EncodeLedgerRecord(const LedgerRecord& record);

/// Parses the stored form of a record. Fails with kMalformedJson.
std::optional<LedgerRecord> ParseLedgerRecord(std::string_view text,
                                              LastReason& reason);

/// Returns a service's answer as the ledger keeps it: an HTTP response without
/// the fields that are not forwarded.
std::string EncodeKeptAnswer(const HttpResponse& response);

/// Parses the result of `EncodeKeptAnswer`. Fails with kMalformedHttp.
std::optional<HttpResponse> ParseKeptAnswer(std::string_view text,
                                            LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_LEDGER_CODEC_H_
