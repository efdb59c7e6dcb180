#ifndef WISTERIAYOKE_DECISIONS_GOSSIP_UPDATE_H_
#define WISTERIAYOKE_DECISIONS_GOSSIP_UPDATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// A version of the tables was accepted.
struct TableHeadUpdate {
  TableVersion version;

  friend bool operator==(const TableHeadUpdate&,
                         const TableHeadUpdate&) = default;
};

/// An upstream showed a sign that it is leaving. There is no update that
/// withdraws a sign: it expires unless it is renewed.
struct LeavingUpdate {
  UpstreamName upstream;
  Duration age{};  ///< Time since the sign was last seen.
  /// Start of the upstream's run that shows the sign, in Unix ms; 0 if unknown.
  std::uint64_t started_ms = 0;
  /// Revision of the platform's list that holds the sign; 0 for a sign that the
  /// upstream itself gave.
  std::uint64_t list_revision = 0;

  friend bool operator==(const LeavingUpdate&, const LeavingUpdate&) = default;
};

/// A request was in flight on an upstream when that upstream crashed.
struct SuspectUpdate {
  std::string fingerprint;  ///< Identifies the request by its content.
  UpstreamName upstream;
  Duration age{};             ///< Time since the crash.
  TokenIndex delivered = 0;   ///< Tokens delivered to the caller.
  bool isolated_run = false;  ///< Whether the request ran in isolation.
  /// Time by which `age` may be too low, since the update waited here. Not
  /// sent.
  Duration uncertainty{};

  friend bool operator==(const SuspectUpdate&, const SuspectUpdate&) = default;
};

/// A request was answered whole, so its crashes before don't count. Sent to
/// peers that still refuse it for them.
struct SuspectClearedUpdate {
  std::string fingerprint;
  Duration age{};  ///< Time since the answer ended.

  friend bool operator==(const SuspectClearedUpdate&,
                         const SuspectClearedUpdate&) = default;
};

/// A daemon runs a suspect request in isolation on an upstream, or is about to,
/// so no other suspect request may run there and no other daemon may run the
/// same one.
struct IsolatedRunUpdate {
  std::string fingerprint;
  UpstreamName upstream;
  DaemonName daemon;
  bool ended = false;  ///< Whether the isolated run is over.
  Duration age{};      ///< Time since the daemon reported it.

  friend bool operator==(const IsolatedRunUpdate&,
                         const IsolatedRunUpdate&) = default;
};

/// An upstream crashed before the answer to a request began.
struct SegmentCrashUpdate {
  RequestId request;
  UpstreamName upstream;
  std::vector<SegmentId> segments;  ///< Shared parts of the request's prompt.
  Duration running{};  ///< Time between the sending of the request and the
                       ///< crash.
  Duration age{};      ///< Time since the crash.

  friend bool operator==(const SegmentCrashUpdate&,
                         const SegmentCrashUpdate&) = default;
};

/// The answer to a request that holds the segment began, so the segment crashes
/// no upstream.
struct SegmentClearedUpdate {
  SegmentId segment;
  Duration age{};  ///< Time since the answer began.

  friend bool operator==(const SegmentClearedUpdate&,
                         const SegmentClearedUpdate&) = default;
};

/// Requests that hold the segment crash upstreams and must not be sent.
struct SegmentBlockUpdate {
  SegmentId segment;
  Duration length{};   ///< Length of the block.
  Duration elapsed{};  ///< Age of the block when this update was made.
  Duration age{};      ///< Time since this update was made.

  friend bool operator==(const SegmentBlockUpdate&,
                         const SegmentBlockUpdate&) = default;
};

/// An item that daemons pass on by gossip besides membership records. Updates
/// carry ages instead of points in time, since daemons share no clock; the ages
/// grow with each hop.
using GossipUpdate =
    std::variant<TableHeadUpdate, LeavingUpdate, SuspectUpdate,
                 IsolatedRunUpdate, SegmentCrashUpdate, SegmentClearedUpdate,
                 SegmentBlockUpdate, SuspectClearedUpdate>;

/// Returns whether both updates have the same subject, so that one of them
/// replaces the other.
bool SameSubject(const GossipUpdate& a, const GossipUpdate& b);

/// Returns whether `candidate` adds information to `known`, an update on the
/// same subject.
bool IsNewer(const GossipUpdate& candidate, const GossipUpdate& known);

/// Returns `update` with its age increased by `elapsed`.
GossipUpdate Aged(GossipUpdate update, Duration elapsed);

/// Returns `update` as received after a wait of at most `wait`, so that what it
/// reports is taken for older rather than younger than it is.
GossipUpdate Delayed(GossipUpdate update, Duration wait);

/// Returns the time since the event that `update` reports, if daemons repeat
/// updates of its kind long after the event; else nothing.
std::optional<Duration> RepeatedEventAge(const GossipUpdate& update);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_GOSSIP_UPDATE_H_
