#ifndef WISTERIAYOKE_WIRE_ORDER_CODEC_H_
#define WISTERIAYOKE_WIRE_ORDER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/placement_plan.h"

namespace wisteriayoke {

/// State that an engine reports, and whether it is ready for requests.
struct EngineReport {
  EngineState state;
  bool ready = false;
};

/// Returns the body of POST /orders.
std::string EncodeOrder(const EngineOrder& order);

/// Parses the body of POST /orders. Fails with kMalformedJson.
std::optional<EngineOrder> ParseOrder(std::string_view json,
                                      LastReason& reason);

/// Returns the body of the answer to GET /orders.
std::string EncodeEngineReport(const EngineReport& report);

/// Parses the answer to GET /orders. Fails with kMalformedJson.
std::optional<EngineReport> ParseEngineReport(std::string_view json,
                                              LastReason& reason);

/// Returns the stored form of a lease record.
std::string EncodeLeaseRecord(const LeaseRecord& record);

/// Parses the stored form of a lease record. Fails with kMalformedJson.
std::optional<LeaseRecord> ParseLeaseRecord(std::string_view json,
                                            LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_ORDER_CODEC_H_
