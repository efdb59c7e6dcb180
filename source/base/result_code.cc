#include "base/result_code.h"

#include <array>

namespace wisteriayoke {
namespace {

using enum ResultCode;
using enum Outcome;

constexpr auto kTable = std::to_array<ResultCodeInfo>({
    {kOk, "ok", 200, kDone, "None needed."},
    {kMalformedHttp, "malformed-http", 400, kNotRun,
     "Send a well-formed HTTP/1.1 request."},
    {kMalformedJson, "malformed-json", 400, kNotRun,
     "Send a body that is one JSON object."},
    {kHeaderTooLarge, "header-too-large", 431, kNotRun,
     "Send fewer or shorter header fields."},
    {kBodyTooLarge, "body-too-large", 413, kNotRun, "Send a shorter body."},
    {kUnknownRoute, "unknown-route", 404, kNotRun,
     "Use a path that a route matches, or add a route."},
    {kUnknownWorkspace, "unknown-workspace", 403, kNotRun,
     "Name a workspace of the tables in Wisteriayoke-Workspace."},
    {kFieldInvalid, "field-invalid", 400, kNotRun,
     "Correct the field that the message names."},
    {kIdempotencyKeyInvalid, "idempotency-key-invalid", 400, kNotRun,
     "Send an Idempotency-Key of 1 to 128 printable characters."},
    {kIdempotencyKeyExpired, "idempotency-key-expired", 409, kUnknown,
     "Look the work up at the service; the resend horizon has passed."},
    {kCallerTimedOut, "caller-timed-out", 408, kNotRun,
     "Send the whole request sooner."},
    {kTooManyConnections, "too-many-connections", 503, kNotRun,
     "Retry later or reuse connections."},
    {kMalformedDatagram, "malformed-datagram", 400, kNotRun,
     "Run the same release on every daemon."},
    {kIdempotencyKeyReused, "idempotency-key-reused", 422, kNotRun,
     "Use a new Idempotency-Key for another request."},
    {kUnknownChild, "unknown-child", 404, kNotRun,
     "Name a running child as the status lists it."},
    {kUnknownKey, "unknown-key", 401, kNotRun,
     "Send a key that a workspace holds."},
    {kNoUpstream, "no-upstream", 503, kNotRun,
     "Retry later; check the pool's upstreams."},
    {kOverloaded, "overloaded", 429, kNotRun, "Retry after Retry-After."},
    {kDeadlineTooShort, "deadline-too-short", 429, kNotRun,
     "Retry after Retry-After or allow a longer deadline."},
    {kLedgerUnavailable, "ledger-unavailable", 503, kNotRun,
     "Retry later with the same Idempotency-Key."},
    {kDraining, "draining", 503, kNotRun, "Retry at another daemon."},
    {kQuarantined, "quarantined", 422, kNotRun,
     "Do not resend; the request crashed upstreams that ran it."},
    {kNotReady, "not-ready", 503, kNotRun,
     "Retry at another daemon; this one has no tables yet."},
    {kClaimAbandoned, "claim-abandoned", 503, kNotRun,
     "Retry with the same Idempotency-Key."},
    {kWorkspaceLimit, "workspace-limit", 429, kNotRun,
     "Retry after Retry-After; the workspace is over its share."},
    {kUpstreamRefused, "upstream-refused", 503, kNotRun,
     "Retry later; the upstream declined before it ran anything."},
    {kMemoryLimit, "memory-limit", 503, kNotRun,
     "Send the whole request without pauses; raise front.memory_mb if the "
     "machine has more memory."},
    {kOutcomeUnknown, "outcome-unknown", 504, kUnknown,
     "Resend with the same Idempotency-Key or ask the service."},
    {kStreamBroken, "stream-broken", 502, kUnknown,
     "Discard the partial answer and send the request again."},
    {kUpstreamFailed, "upstream-failed", 502, kUnknown,
     "Send the request again."},
    {kDeadlineExceeded, "deadline-exceeded", 504, kUnknown,
     "Allow a longer deadline or send the request again."},
    {kInProgress, "in-progress", 409, kUnknown,
     "Resend later with the same Idempotency-Key."},
    {kAnswerNotKept, "answer-not-kept", 409, kUnknown,
     "Look the work up at the service; it ran, its answer was too long."},
    {kQuarantinedAfterRun, "quarantined-after-run", 502, kUnknown,
     "Do not resend; the request crashed upstreams that ran it."},
    {kTableInvalid, "table-invalid", 422, kNotRun,
     "Correct the entry that the message names."},
    {kTableConflict, "table-conflict", 409, kNotRun,
     "Fetch the tables again, reapply the edit and set them."},
    {kTableStale, "table-stale", 409, kNotRun,
     "None needed; a later version is in force."},
    {kTableCommitUnknown, "table-commit-unknown", 504, kUnknown,
     "Compare the head's hash with the one printed."},
    {kTableHashMismatch, "table-hash-mismatch", 502, kNotRun,
     "Set the tables again; the stored content is damaged."},
    {kStoreUnreachable, "store-unreachable", 503, kUnknown,
     "Check the platform's table service."},
    {kStoreConflict, "store-conflict", 409, kNotRun,
     "Read the record again and retry."},
    {kStoreRateLimited, "store-rate-limited", 429, kNotRun,
     "Retry after a delay."},
    {kObjectMissing, "object-missing", 404, kNotRun,
     "Retry; fetch the object from a peer."},
    {kLeaseLost, "lease-lost", 409, kNotRun,
     "None needed; another daemon holds the lease."},
    {kOrderFenced, "order-fenced", 409, kNotRun,
     "None needed; a later holder has given orders."},
    {kSettingUnknown, "setting-unknown", 400, kNotRun,
     "Remove or correct the setting at the line given."},
    {kSettingInvalid, "setting-invalid", 400, kNotRun,
     "Give the setting a value of the stated form."},
    {kSettingMissing, "setting-missing", 400, kNotRun,
     "Add the setting to the file."},
    {kFileUnreadable, "file-unreadable", 400, kNotRun,
     "Check the path and the permissions of the file."},
    {kUsage, "usage", 400, kNotRun, "See --help."},
    {kAddressInUse, "address-in-use", 503, kNotRun,
     "Stop the process that listens there or change the setting."},
    {kConnectFailed, "connect-failed", 503, kNotRun,
     "Check that the process at the address runs."},
    {kConnectionBroken, "connection-broken", 502, kUnknown,
     "Send the request again if it may be repeated."},
    {kTimedOut, "timed-out", 504, kUnknown,
     "Send the request again if it may be repeated."},
    {kRestartLimitReached, "restart-limit-reached", 500, kUnknown,
     "Read the log for the child's last error."},
    {kShutdownCut, "shutdown-cut", 503, kUnknown,
     "Raise the drain deadline; send the request again."},
    {kCancelled, "cancelled", 499, kUnknown, "None needed."},
    {kTokenOutOfOrder, "token-out-of-order", 502, kUnknown,
     "Report the engine; its stream broke the token order."},
    {kLayerChainBroken, "layer-chain-broken", 502, kUnknown,
     "Report the engine; a token skipped or repeated a layer."},
    {kVersionReverted, "version-reverted", 500, kUnknown,
     "Report this defect with the time line."},
    {kDispatchedTwice, "dispatched-twice", 500, kUnknown,
     "Report this defect with the time line."},
    {kNotRunAfterDispatch, "not-run-after-dispatch", 500, kUnknown,
     "Report this defect with the time line."},
    {kAnswerMisdirected, "answer-misdirected", 500, kUnknown,
     "Report this defect with the time line."},
    {kVersionForked, "version-forked", 500, kUnknown,
     "Set the tables again; two contents had one version number."},
    {kExceptionCaught, "exception-caught", 500, kUnknown,
     "Report this defect with the log line; only one session was closed."},
});

constexpr int kCodesInGroup = 100;

}  // namespace

std::span<const ResultCodeInfo> ResultCodeTable() { return kTable; }

const ResultCodeInfo& DescribeResultCode(ResultCode code) {
  for (const auto& row : kTable) {
    if (row.code == code) return row;
  }
  return kTable.front();
}

int ExitStatusOf(ResultCode code) {
  return static_cast<int>(code) / kCodesInGroup;
}

}  // namespace wisteriayoke
