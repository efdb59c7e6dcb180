#ifndef WISTERIAYOKE_DECISIONS_GOSSIP_UPDATE_H_
#define WISTERIAYOKE_DECISIONS_GOSSIP_UPDATE_H_

#include <cstdint>
#include <string>
#include <variant>

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

/// An upstream showed a sign that it is leaving. There is no rumour for the
/// contrary: a sign lapses unless it is renewed.
struct LeavingUpdate {
  UpstreamName upstream;
  Duration age{};  ///< Time since the sign was seen.

  friend bool operator==(const LeavingUpdate&, const LeavingUpdate&) = default;
};

/// A request was in flight on an upstream when that upstream crashed.
struct SuspectUpdate {
  std::string fingerprint;  ///< Identifies the request's content.
  UpstreamName upstream;
  Duration age{};             ///< Time since the crash.
  TokenIndex delivered = 0;   ///< Tokens that its caller had.
  bool isolated_run = false;  ///< Whether the request ran on trial.

  friend bool operator==(const SuspectUpdate&, const SuspectUpdate&) = default;
};

/// A daemon runs a suspect on an upstream, or is about to, so that no other
/// suspect is run there and no other daemon runs the same suspect.
struct IsolatedRunUpdate {
  std::string fingerprint;
  UpstreamName upstream;
  DaemonName daemon;
  bool ended = false;  ///< Whether the trial is over.
  Duration age{};      ///< Time since the daemon said so.

  friend bool operator==(const IsolatedRunUpdate&,
                         const IsolatedRunUpdate&) = default;
};

/// What daemons tell one another besides their membership. Ages replace
/// points in time, since daemons share no clock; they grow with each hop.
using GossipUpdate = std::variant<TableHeadUpdate, LeavingUpdate, SuspectUpdate,
                                  IsolatedRunUpdate>;

/// Tells whether both rumours speak of the same thing, so that one of them
/// replaces the other.
bool SameSubject(const GossipUpdate& a, const GossipUpdate& b);

/// Tells whether `candidate` says more than `known`, on the same subject.
bool IsNews(const GossipUpdate& candidate, const GossipUpdate& known);

/// Returns `rumour` as it reads after `elapsed` more time.
GossipUpdate Aged(GossipUpdate update, Duration elapsed);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_GOSSIP_UPDATE_H_
