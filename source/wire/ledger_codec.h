#ifndef WISTERIAYOKE_WIRE_LEDGER_CODEC_H_
#define WISTERIAYOKE_WIRE_LEDGER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/ledger_record.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Returns the stored form of a record: one line of JSON, then the bytes of
/// the answer as they are.
std::string EncodeLedgerRecord(const LedgerRecord& record);

/// Parses the stored form. Fails with kMalformedJson.
std::optional<LedgerRecord> ParseLedgerRecord(std::string_view text,
                                              LastReason& reason);

/// Returns the bytes that the ledger keeps of a service's answer.
std::string EncodeKeptAnswer(const HttpResponse& response);

/// Parses what `EncodeKeptAnswer` returned. Fails with kMalformedHttp.
std::optional<HttpResponse> ParseKeptAnswer(std::string_view text,
                                            LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_LEDGER_CODEC_H_
