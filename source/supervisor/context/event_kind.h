#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_EVENT_KIND_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_EVENT_KIND_H_

#include "base/names_table.h"

namespace wisteriayoke {

/// What happened, in the log and in the time line.
enum class EventKind {
  kStarted,
  kStopRequested,
  kEnded,
  kChildFailed,
  kTablesInForce,
  kTablesRefused,
  kRequestFailed,
  kAttemptBroke,
  kStoreBreaker,
  kLeaseTaken,
  kLeaseEnded,
  kOrderSent,
  kOrderEnded,
  kInvariantBroken,
  kOverloaded,
  kSuspended,
  kMemberChanged,
  kUpstreamLeaving,
  kUpstreamReturned,
  kInstanceListRefused,
  kDatagramDropped,
  kUpstreamCrashed,
  kTrialStarted,
  kRequestQuarantined,
  kRequestCut,
  kStoreLost,
  kStoreReturned,
  kUpstreamChanged,
  kUpstreamGone,
  kEntryRefused,
  kUpstreamSuspected,
  kStreamResumed,
  kRequestAnswered,
  kRequestLate,
  kKeysStale,
  kReloaded,
};

inline constexpr auto kEventKindNames = MakeNamesTable<EventKind>({
    {EventKind::kStarted, "started"},
    {EventKind::kStopRequested, "stop-requested"},
    {EventKind::kEnded, "ended"},
    {EventKind::kChildFailed, "child-failed"},
    {EventKind::kTablesInForce, "tables-in-force"},
    {EventKind::kTablesRefused, "tables-refused"},
    {EventKind::kRequestFailed, "request-failed"},
    {EventKind::kAttemptBroke, "attempt-broke"},
    {EventKind::kStoreBreaker, "store-breaker"},
    {EventKind::kLeaseTaken, "lease-taken"},
    {EventKind::kLeaseEnded, "lease-ended"},
    {EventKind::kOrderSent, "order-sent"},
    {EventKind::kOrderEnded, "order-ended"},
    {EventKind::kInvariantBroken, "invariant-broken"},
    {EventKind::kOverloaded, "overloaded"},
    {EventKind::kSuspended, "suspended"},
    {EventKind::kMemberChanged, "member-changed"},
    {EventKind::kUpstreamLeaving, "upstream-leaving"},
    {EventKind::kUpstreamReturned, "upstream-returned"},
    {EventKind::kInstanceListRefused, "instance-list-refused"},
    {EventKind::kDatagramDropped, "datagram-dropped"},
    {EventKind::kUpstreamCrashed, "upstream-crashed"},
    {EventKind::kTrialStarted, "trial-started"},
    {EventKind::kRequestQuarantined, "request-quarantined"},
    {EventKind::kRequestCut, "request-cut"},
    {EventKind::kStoreLost, "store-lost"},
    {EventKind::kStoreReturned, "store-returned"},
    {EventKind::kUpstreamChanged, "upstream-changed"},
    {EventKind::kUpstreamGone, "upstream-gone"},
    {EventKind::kEntryRefused, "entry-refused"},
    {EventKind::kUpstreamSuspected, "upstream-suspected"},
    {EventKind::kStreamResumed, "stream-resumed"},
    {EventKind::kRequestAnswered, "request-answered"},
    {EventKind::kRequestLate, "request-late"},
    {EventKind::kKeysStale, "keys-stale"},
    {EventKind::kReloaded, "reloaded"},
});

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_EVENT_KIND_H_
