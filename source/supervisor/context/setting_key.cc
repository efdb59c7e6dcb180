#include "supervisor/context/setting_key.h"

#include <array>

namespace wisteriayoke {
namespace {

using enum SettingKey;
using enum SettingType;

constexpr auto kTable = std::to_array<SettingInfo>({
    {kDaemonName, "daemon", "name", kText, "", false,
     "Name of this daemon, unique among all daemons."},
    {kDataCentre, "daemon", "data_centre", kText, "", false,
     "Data centre of this instance."},
    {kDrainDeadline, "daemon", "drain_deadline_ms", kMilliseconds, "0", false,
     "Longest time that a planned stop waits for requests in flight; 0 "
     "waits as long as the longest deadline of a route."},
    {kLogLevel, "daemon", "log_level", kLevel, "info", false,
     "Least level that is logged."},
    {kClockError, "daemon", "clock_error_ms", kMilliseconds, "60000", false,
     "Most that this instance's clock differs from the true time."},
    {kFrontInterface, "front", "interface", kInterface, "completions", false,
     "What is spoken towards callers."},
    {kReadyAddress, "front", "ready_address", kEndpoint, "", true,
     "Where the relay tells the balancer whether it is ready."},
    {kFrontAddress, "front", "address", kEndpoint, "", false,
     "Where callers and the balancer connect."},
    {kMaxConnections, "front", "max_connections", kCount, "4096", false,
     "Most caller connections at a time."},
    {kMaxHeaderBytes, "front", "max_header_bytes", kCount, "16384", false,
     "Longest header of a request, in bytes."},
    {kMaxBodyBytes, "front", "max_body_bytes", kCount, "1048576", false,
     "Longest body of a request, in bytes."},
    {kMemoryMb, "front", "memory_mb", kCount, "0", false,
     "Memory of this machine in MiB, half of which requests and answers may "
     "use; 0 takes what the system reports."},
    {kMaxDescriptors, "front", "max_descriptors", kCount, "0", false,
     "Most descriptors that the process opens; 0 takes the system's limit."},
    {kMaxQueueWait, "front", "max_queue_wait_ms", kMilliseconds, "1000", false,
     "Longest expected wait at which a request is still queued."},
    {kMaxQueued, "front", "max_queued", kCount, "4096", false,
     "Most requests that wait for one pool."},
    {kRequestTimeout, "front", "request_timeout_ms", kMilliseconds, "10000",
     false, "Longest wait for a whole request once its first byte has come."},
    {kIdleTimeout, "front", "idle_timeout_ms", kMilliseconds, "60000", false,
     "Longest wait for the next request of a connection."},
    {kWriteTimeout, "front", "write_timeout_ms", kMilliseconds, "10000", false,
     "Longest time that a caller may take no byte of its answer."},
    {kOperatorsAddress, "operators", "address", kEndpoint, "", false,
     "Where the operators' tool connects."},
    {kPeersAddress, "peers", "address", kEndpoint, "", false,
     "Where other daemons send datagrams."},
    {kPeerSeeds, "peers", "seeds", kEndpointList, "", true,
     "Addresses of some other daemons, to join by."},
    {kPlatformAddress, "platform", "address", kEndpoint, "", false,
     "Address of the platform's table service and object store."},
    {kHeadPollInterval, "platform", "head_poll_ms", kMilliseconds, "500", false,
     "Time between reads of the tables' head record."},
    {kInstancePollInterval, "platform", "instance_poll_ms", kMilliseconds,
     "500", false, "Time between reads of the list of instances."},
    {kLedgerClaimTimeout, "ledger", "claim_timeout_ms", kMilliseconds, "2000",
     false, "Longest wait for the claim of a call that runs at most once."},
    {kLedgerResendHorizon, "ledger", "resend_horizon_ms", kMilliseconds,
     "86400000", false,
     "Longest age of a timed idempotency key that is accepted; the same on all "
     "daemons."},
    {kLedgerAnswerBytes, "ledger", "answer_bytes", kCount, "65536", false,
     "Longest answer that is kept for a resend, in bytes."},
    {kLeaseLength, "placement", "lease_ms", kMilliseconds, "10000", false,
     "How long one daemon may order engines without renewing its lease; the "
     "same on all daemons."},
    {kClockDrift, "placement", "clock_drift_per_mille", kCount, "10", false,
     "Most that a monotonic clock runs too fast or too slow, in thousandths; "
     "the same on all daemons."},
    {kLoadPollInterval, "upstreams", "load_poll_ms", kMilliseconds, "250",
     false, "Time between reads of an engine's load."},
    {kRevocationTime, "relay", "revocation_ms", kMilliseconds, "5000", false,
     "Longest time for which a revoked key may still be accepted."},
    {kStopGrace, "relay", "stop_grace_s", kDecimal, "8", false,
     "Seconds from the request to stop until the process is killed."},
    {kRetryRatio, "relay", "retry_ratio", kDecimal, "0.2", false,
     "Repeated sends that all daemons together may add to a pool's requests."},
    {kRetrySlack, "relay", "retry_slack", kDecimal, "200", false,
     "Repeated sends that all daemons together may make beyond the ratio."},
    {kCostRouting, "relay", "cost_routing", kCostRoutingMode, "off", false,
     "Which pools are routed by the expected cost of requests; ranked: those "
     "whose requests have more than one priority."},
    {kSuspectLifetime, "quarantine", "lifetime_ms", kMilliseconds, "3600000",
     false, "Time until a request that crashed upstreams is forgotten."},
});

}  // namespace

std::span<const SettingInfo> SettingTable() { return kTable; }

}  // namespace wisteriayoke
