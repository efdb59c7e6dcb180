#ifndef WISTERIAYOKE_DECISIONS_QUARANTINE_H_
#define WISTERIAYOKE_DECISIONS_QUARANTINE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time_types.h"
#include "decisions/chain.h"
#include "decisions/gossip_update.h"

namespace wisteriayoke {

/// How a request may run, by what is known of its content.
enum class RunPermit {
  kShared,    ///< With any others.
  kIsolated,  ///< Away from other suspects, on one daemon at a time.
  kRefused,   ///< Not at all: it crashed as many upstreams as are allowed.
};

inline constexpr auto kRunPermitNames = MakeNamesTable<RunPermit>({
    {RunPermit::kShared, "shared"},
    {RunPermit::kIsolated, "trial"},
    {RunPermit::kRefused, "refused"},
});

/// What to do with a request that asks for a chain.
enum class RunStep {
  kRun,          ///< Run it on the chain.
  kWait,         ///< Ask again later; the chain is not yet its own.
  kUnavailable,  ///< There is no chain.
  kRefuse,       ///< Never run it.
};

/// The answer to a request that asks for a chain.
struct RunDecision {
  RunStep step = RunStep::kUnavailable;
  Chain chain;                        ///< Only with kRun.
  bool isolated_run = false;          ///< Whether the run is a trial.
  std::vector<GossipUpdate> updates;  ///< To be told to the peers.
};

/// Bounds on what a daemon remembers of suspects.
struct QuarantineLimits {
  /// Time after its last crash until a request's content is forgotten.
  Duration lifetime = std::chrono::hours(1);
  /// Crashes after which a request is refused.
  std::size_t crashes = 2;
  std::size_t suspects = 4096;
};

/// Chooses a chain that avoids `avoided`; only from engines without any request
/// if `idle_only`.
using ChainChooser = std::function<std::optional<Chain>(
    const std::set<UpstreamName>& avoided, bool idle_only)>;

/// Finds out which request crashes the upstreams that run it.
///
/// All requests in flight on an upstream that crashes are suspects. A suspect
/// runs next in a trial: away from other suspects, and on one daemon at a time,
/// so that a second crash tells which request caused it. A request that was in
/// two crashes is refused; one that gets past the point of the crash, or to its
/// end, is cleared. Daemons share crashes and trials by rumours; two that begin
/// a trial at once settle it by name before they run it.
class Quarantine {
 public:
  /// Time between the begin of a trial and its run: twice the time that a
  /// rumour takes to reach all daemons.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(300);
  /// Time after which a peer's trial that is not renewed is taken for over.
  static constexpr Duration kIsolatedRunLifetime = std::chrono::seconds(3);
  /// Tokens past the point of the crash after which a suspect is cleared.
  static constexpr TokenIndex kIsolatedRunTokens = 8;

  Quarantine() = default;
  Quarantine(DaemonName self, QuarantineLimits limits)
      : self_(std::move(self)), limits_(limits) {}

  RunPermit PermitOf(const std::string& fingerprint, TimePoint now) const;

  /// Tells whether `request` must stop its run, since its content became a
  /// suspect elsewhere.
  bool MustStop(const std::string& fingerprint, const RequestId& request,
                TimePoint now) const;

  /// Decides whether `request` runs now and, if so, on which chain.
  RunDecision DecideRun(const std::string& fingerprint,
                        const RequestId& request, const ChainChooser& choose,
                        TimePoint now);

  /// Notes that `request` was in flight on `upstream` when that crashed, after
  /// `delivered` tokens, and ends its trial.
  std::vector<GossipUpdate> RecordCrash(const std::string& fingerprint,
                                        const RequestId& request,
                                        const UpstreamName& upstream,
                                        TokenIndex delivered, TimePoint now);

  /// Notes that `request` has `delivered` tokens; clears a suspect that is past
  /// the point of its crash and renews a trial that goes on.
  std::vector<GossipUpdate> RecordToken(const std::string& fingerprint,
                                        const RequestId& request,
                                        TokenIndex delivered, TimePoint now);

  /// Notes that `request` was answered whole; its content is forgotten.
  std::vector<GossipUpdate> RecordAnswered(const std::string& fingerprint,
                                           const RequestId& request,
                                           TimePoint now);

  /// Ends the trial of `request`, if it has one, without a verdict.
  std::vector<GossipUpdate> EndIsolatedRun(const std::string& fingerprint,
                                           const RequestId& request,
                                           TimePoint now);

  void Apply(const SuspectUpdate& update, TimePoint now);
  void Apply(const IsolatedRunUpdate& update, TimePoint now);

  /// Returns the upstreams that run a trial here or at a peer.
  std::set<UpstreamName> ListIsolatedRunUpstreams(TimePoint now) const;

  std::size_t CountSuspects() const { return suspects_.size(); }

 private:
  struct Crash {
    UpstreamName upstream;
    TimePoint time;
    bool isolated_run = false;  ///< Whether the request ran on trial.
  };

  struct Suspect {
    std::vector<Crash> crashes;
    /// Most tokens that any request of this content had at a crash. Those that
    /// ran beside the one that caused it had fewer, or none.
    TokenIndex crash_token = 0;
    bool cleared = false;
  };

  struct Trial {
    RequestId request;
    Chain chain;
    TimePoint begun;
    TimePoint told;
    bool running = false;
  };

  struct PeerTrial {
    std::string fingerprint;
    TimePoint seen;      ///< When the peer said so.
    bool ended = false;  ///< Kept, since older rumours may still come.
  };

  using GossipUpdates = std::vector<GossipUpdate>;

  void AddCrash(const std::string& fingerprint, const Crash& crash);
  void RaiseCrashToken(const std::string& fingerprint, TokenIndex delivered);
  void Forget(TimePoint now);
  void ForgetOldest();
  Trial* FindTrial(const std::string& fingerprint, const RequestId& request);
  RunDecision BeginTrial(const std::string& fingerprint,
                         const RequestId& request, const ChainChooser& choose,
                         TimePoint now);
  RunDecision ContinueTrial(const std::string& fingerprint, Trial& isolated_run,
                            TimePoint now);
  static bool IsUnderWay(const PeerTrial& isolated_run, TimePoint now);
  bool RunsElsewhere(const std::string& fingerprint, TimePoint now) const;
  bool LosesToPeer(const std::string& fingerprint, const Trial& isolated_run,
                   TimePoint now) const;
  GossipUpdates Tell(const std::string& fingerprint, const Trial& isolated_run,
                     bool ended) const;

  DaemonName self_;
  QuarantineLimits limits_;
  std::map<std::string, Suspect> suspects_;
  std::map<std::string, Trial> trials_;  ///< Own ones, by fingerprint.
  std::map<std::pair<UpstreamName, DaemonName>, PeerTrial> peer_trials_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_QUARANTINE_H_
