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

/// How a request may run, according to the crashes recorded for its content.
enum class RunPermit {
  kShared,    ///< Together with any other requests.
  kIsolated,  ///< Apart from other suspects, on one daemon at a time.
  kRefused,   ///< Not at all: it was in as many crashes as are allowed.
};

inline constexpr auto kRunPermitNames = MakeNamesTable<RunPermit>({
    {RunPermit::kShared, "shared"},
    {RunPermit::kIsolated, "trial"},
    {RunPermit::kRefused, "refused"},
});

/// Next step of a request that needs a chain.
enum class RunStep {
  kRun,          ///< Run it on the chain.
  kWait,         ///< Try again later; the chain isn't reserved for it yet.
  kUnavailable,  ///< There is no chain.
  kRefuse,       ///< Refuse it for good.
};

/// Decision about a request that needs a chain.
struct RunDecision {
  RunStep step = RunStep::kUnavailable;
  Chain chain;                        ///< Set only with kRun.
  bool isolated_run = false;          ///< Whether the run is isolated.
  std::vector<GossipUpdate> updates;  ///< Updates to send to the peers.
};

/// Bounds on the suspects that a daemon remembers.
struct QuarantineLimits {
  /// Time after its last crash until a request's content is forgotten.
  Duration lifetime = std::chrono::hours(1);
  /// Crashes after which a request is refused.
  std::size_t crashes = 2;
  /// Most contents that are remembered. Beyond it the oldest is dropped, of the
  /// refused ones only if there are no others.
  std::size_t suspects = 4096;
};

/// Chooses a chain without the engines in `avoided`; if `idle_only`, only from
/// engines without any request.
using ChainChooser = std::function<std::optional<Chain>(
    const std::set<UpstreamName>& avoided, bool idle_only)>;

/// Identifies requests that crash the upstreams that run them.
///
/// All requests in flight on an upstream that crashes become suspects. The next
/// run of a suspect is isolated: apart from other suspects and on one daemon at
/// a time, so that a second crash shows which request caused it. A request that
/// was in two crashes is refused; a request that gets past the point of the
/// crash, or to its end, is cleared. Daemons share crashes and isolated runs by
/// gossip; of two daemons that announce conflicting isolated runs at once, the
/// one with the lesser name runs. The caller posts the gossip updates that the
/// functions return.
///
/// Daemons repeat the crashes of refused contents to each other, for those that
/// missed them. A repeat is recognized by its upstream and time. A crash before
/// a whole answer to the same content doesn't count; a daemon that knows of the
/// answer tells those that repeat such a crash.
class Quarantine {
 public:
  /// Time between the announcement of an isolated run and its start: twice the
  /// time that a gossip update takes to reach all daemons.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(300);
  /// Time after which a peer's isolated run is over unless it is renewed.
  static constexpr Duration kIsolatedRunLifetime = std::chrono::seconds(3);
  /// Tokens past the point of the crash after which a suspect is cleared.
  static constexpr TokenIndex kIsolatedRunTokens = 8;

  Quarantine() = default;
  Quarantine(DaemonName self, QuarantineLimits limits)
      : self_(std::move(self)), limits_(limits) {}

  /// Returns how a request with this content may run now.
  RunPermit PermitOf(const std::string& fingerprint, TimePoint now) const;

  /// Returns whether `request` must stop its run, since its content became a
  /// suspect elsewhere or must not run at all.
  bool MustStop(const std::string& fingerprint, const RequestId& request,
                TimePoint now) const;

  /// Decides whether `request` runs now and, if so, on which chain.
  RunDecision DecideRun(const std::string& fingerprint,
                        const RequestId& request, const ChainChooser& choose,
                        TimePoint now);

  /// Records a crash of `upstream` during a run of `request`, which had
  /// `delivered` tokens, and ends the request's isolated run.
  std::vector<GossipUpdate> RecordCrash(const std::string& fingerprint,
                                        const RequestId& request,
                                        const UpstreamName& upstream,
                                        TokenIndex delivered, TimePoint now);

  /// Records that `request` has `delivered` tokens; clears a suspect that is
  /// past the point of its crash and renews an isolated run that continues.
  std::vector<GossipUpdate> RecordToken(const std::string& fingerprint,
                                        const RequestId& request,
                                        TokenIndex delivered, TimePoint now);

  /// Records that `request` was answered whole: the crashes of its content so
  /// far don't count any more.
  std::vector<GossipUpdate> RecordAnswered(const std::string& fingerprint,
                                           const RequestId& request,
                                           TimePoint now);

  /// Ends the isolated run of `request`, if it has one, without a result.
  std::vector<GossipUpdate> EndIsolatedRun(const std::string& fingerprint,
                                           const RequestId& request,
                                           TimePoint now);

  /// Records that a request with this content was refused.
  void RecordRefusal(const std::string& fingerprint, TimePoint now);

  /// Returns the crashes of at most `count` refused contents, to be sent to
  /// daemons that may not know them: mostly those that still come, the others
  /// in turn.
  std::vector<GossipUpdate> RepeatRefused(std::size_t count, TimePoint now);

  /// Applies a gossip update of a peer.
  std::vector<GossipUpdate> Apply(const SuspectUpdate& update, TimePoint now);
  void Apply(const SuspectClearedUpdate& update, TimePoint now);
  void Apply(const IsolatedRunUpdate& update, TimePoint now);

  /// Returns the upstreams of isolated runs by this daemon or by a peer.
  std::set<UpstreamName> ListIsolatedRunUpstreams(TimePoint now) const;

  /// Returns the number of contents with crashes that count.
  std::size_t CountSuspects() const;

 private:
  struct Crash {
    UpstreamName upstream;
    TimePoint time;             ///< Earliest time at which it may have been.
    bool isolated_run = false;  ///< Whether the request ran isolated.
    Duration uncertainty{};     ///< Time by which it may have been later.
  };

  struct Suspect {
    /// Those that count, in order of time; the latest if there are more than
    /// are allowed.
    std::vector<Crash> crashes;
    /// Most tokens that any request of this content had at a crash. Requests
    /// that ran beside the one that caused it had fewer, or none.
    TokenIndex crash_token = 0;
    bool cleared = false;
    std::optional<TimePoint> answered_at;  ///< Latest whole answer.
    TimePoint last_refused{};
  };
  using Suspects = std::map<std::string, Suspect>;

  struct IsolatedRun {
    RequestId request;
    Chain chain;
    TimePoint announced_at;  ///< When it was first announced to the peers.
    TimePoint renewed_at;    ///< When it was last announced.
    bool running = false;
  };

  struct PeerIsolatedRun {
    std::string fingerprint;
    TimePoint reported_at;  ///< When the peer announced this state.
    bool ended = false;     ///< Kept, since older updates may still arrive.
  };

  using GossipUpdates = std::vector<GossipUpdate>;

  static bool IsSameCrash(const Crash& a, const Crash& b);
  static TimePoint LastEventOf(const Suspect& suspect);
  bool IsRefused(const Suspect& suspect) const {
    return suspect.crashes.size() >= limits_.crashes;
  }
  Suspect& FindOrAdd(const std::string& fingerprint);
  static void ClearUntil(Suspect& suspect, TimePoint answered_at);
  std::vector<Suspects::const_iterator> ListRepeatable(TimePoint now) const;
  GossipUpdates DescribeCrashes(Suspects::const_iterator found,
                                TimePoint now) const;
  void AddCrash(const std::string& fingerprint, const Crash& crash);
  void RaiseCrashToken(const std::string& fingerprint, TokenIndex delivered);
  void DropExpired(TimePoint now);
  void DropOldestIfFull();
  IsolatedRun* FindIsolatedRun(const std::string& fingerprint,
                               const RequestId& request);
  RunDecision BeginIsolatedRun(const std::string& fingerprint,
                               const RequestId& request,
                               const ChainChooser& choose, TimePoint now);
  RunDecision ContinueIsolatedRun(const std::string& fingerprint,
                                  IsolatedRun& run, TimePoint now);
  static bool IsUnderWay(const PeerIsolatedRun& run, TimePoint now);
  bool HasOtherIsolatedRun(const std::string& fingerprint, TimePoint now) const;
  bool YieldsToPeer(const std::string& fingerprint, const IsolatedRun& run,
                    TimePoint now) const;
  GossipUpdates MakeUpdates(const std::string& fingerprint,
                            const IsolatedRun& run, bool ended) const;

  DaemonName self_;
  QuarantineLimits limits_;
  Suspects suspects_;
  unsigned repeats_ = 0;
  std::string last_repeated_;  ///< Fingerprint repeated last in turn.
  /// This daemon's isolated runs, by fingerprint.
  std::map<std::string, IsolatedRun> isolated_runs_;
  std::map<std::pair<UpstreamName, DaemonName>, PeerIsolatedRun>
      peer_isolated_runs_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_QUARANTINE_H_
