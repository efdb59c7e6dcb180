#ifndef WISTERIAYOKE_BASE_RESULT_CODE_H_
#define WISTERIAYOKE_BASE_RESULT_CODE_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "base/outcome.h"

namespace wisteriayoke {

/// Result codes; docs/RESULT-CODES.md is generated from `ResultCodeTable`. The
/// hundreds digit is the group of the code and the exit status of the tools.
enum class ResultCode : std::uint16_t {
  kOk = 0,
  kMalformedHttp = 101,
  kMalformedJson = 102,
  kHeaderTooLarge = 103,
  kBodyTooLarge = 104,
  kUnknownRoute = 105,
  kUnknownWorkspace = 106,
  kFieldInvalid = 107,
  kIdempotencyKeyInvalid = 108,
  kIdempotencyKeyExpired = 109,
  kCallerTimedOut = 110,
  kTooManyConnections = 111,
  kMalformedDatagram = 112,
  kIdempotencyKeyReused = 113,
  kUnknownChild = 114,
  kUnknownKey = 115,
  kNoUpstream = 201,
  kOverloaded = 202,
  kDeadlineTooShort = 203,
  kLedgerUnavailable = 204,
  kDraining = 205,
  kQuarantined = 206,
  kNotReady = 207,
  kClaimAbandoned = 208,
  kWorkspaceLimit = 209,
  kUpstreamRefused = 210,
  kMemoryLimit = 211,
  kOutcomeUnknown = 301,
  kStreamBroken = 302,
  kUpstreamFailed = 303,
  kDeadlineExceeded = 304,
  kInProgress = 305,
  kAnswerNotKept = 306,
  kQuarantinedAfterRun = 307,
  kTableInvalid = 401,
  kTableConflict = 402,
  kTableStale = 403,
  kTableCommitUnknown = 404,
  kTableHashMismatch = 405,
  kStoreUnreachable = 501,
  kStoreConflict = 502,
  kStoreRateLimited = 503,
  kObjectMissing = 504,
  kLeaseLost = 505,
  kOrderFenced = 506,
  kSettingUnknown = 601,
  kSettingInvalid = 602,
  kSettingMissing = 603,
  kFileUnreadable = 604,
  kUsage = 605,
  kAddressInUse = 701,
  kConnectFailed = 702,
  kConnectionBroken = 703,
  kTimedOut = 704,
  kRestartLimitReached = 705,
  kShutdownCut = 706,
  kCancelled = 707,
  kTokenOutOfOrder = 901,
  kLayerChainBroken = 902,
  kVersionReverted = 903,
  kDispatchedTwice = 904,
  kNotRunAfterDispatch = 905,
  kAnswerMisdirected = 906,
  kVersionForked = 907,
  kExceptionCaught = 908,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  int http_status;
  Outcome outcome;
  std::string_view remedy;
};

/// Returns the rows of all result codes, in numerical order.
std::span<const ResultCodeInfo> ResultCodeTable();

/// Returns the row of `code`, or the row of `kOk` if there is none.
const ResultCodeInfo& DescribeResultCode(ResultCode code);

/// Returns the exit status of a tool that ends with `code`: 0 for `kOk`,
/// otherwise the group of the code (1 to 9).
int ExitStatusOf(ResultCode code);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_RESULT_CODE_H_
