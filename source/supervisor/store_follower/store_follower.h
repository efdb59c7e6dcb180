#ifndef WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_STORE_FOLLOWER_H_
#define WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_STORE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/store_follow_policy.h"
#include "platform/row_store.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/peers/peer_link.h"
#include "supervisor/store_follower/fleet_updater.h"
#include "wire/mirror_codec.h"

namespace wisteriayoke {

/// Mirrors the tables and the upstreams' entries of the platform's store and
/// puts their changes in force. A few daemons of the group follow the store;
/// the others fetch changes from peers. Records when the tables are proven to
/// be fresh. A child of the root.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
 public:
  StoreFollower(DaemonContext context, PeerFinder peers,
                const FailureHandler& on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  /// How one table is followed at the store and at peers.
  struct ChangeFeed {
    MirroredTable table = MirroredTable::kTables;
    std::string store_table;  ///< Its name in the store.
    Duration wait{};   ///< Maximum time that one call waits for a change.
    Duration pause{};  ///< Delay of the next call after one with changes.
    bool last_waited = true;  ///< Whether the last call could wait.
    bool read_whole = false;  ///< Whether the next call reads the whole table.
    unsigned failures = 0;    ///< Consecutive failures.
    /// Consecutive answers that the store no longer has the changes.
    unsigned lost_histories = 0;
    std::shared_ptr<HttpClientCall> call;  ///< Open call that may wait.
    BootTime sent;                         ///< When the last call was sent.
    StoreVersion position;  ///< This daemon's when the last call was sent.
    std::optional<BootTime> answered;  ///< When the store last answered one.
    LoopTimerPtr timer;     ///< Timer of the next call or role check.
    bool fetching = false;  ///< Whether a fetch from a peer is open.
    /// Peer that announced a change while a fetch was open, and its head.
    Endpoint next_peer;
    StoreVersion next_head;
  };

  RowMirror& MirrorOf(const ChangeFeed& feed) {
    return context_.state.relay.mirrors.Of(feed.table);
  }

  bool MustFollow();
  void CheckRole(ChangeFeed& feed);
  Duration ChooseWait(const ChangeFeed& feed) const;
  void CallStore(ChangeFeed& feed);
  void HandleReply(ChangeFeed& feed, bool whole, Duration wait,
                   const RowReply& reply);
  void Schedule(Duration delay, ChangeFeed& feed);
  void HandleFailure(ChangeFeed& feed, ResultCode code,
                     const std::string& message);
  void RecordLostHistory(ChangeFeed& feed, const RowReply& reply);
  void RecordReturn(ChangeFeed& feed);
  void ReplaceOlderCall(ChangeFeed& feed, BootTime sent);
  std::string DescribeCallTime(const ChangeFeed& feed) const;
  std::string DescribeAnswerAge(const ChangeFeed& feed) const;
  void ConfirmEntries(const ChangeFeed& feed);
  EntriesSource DescribeSource(std::string name) const;

  void HandlePeerView(const StoreView& view, const Endpoint& source);
  void Fetch(ChangeFeed& feed, const Endpoint& source);
  void HandlePage(ChangeFeed& feed, const Endpoint& source,
                  const FetchResult& result);

  void Apply(const ChangeFeed& feed, const MirrorChanges& changes,
             const std::string& source);
  void HandleNewEra(const ChangeFeed& feed, StoreVersion before,
                    const std::string& source);
  void ApplyTables(const std::vector<MirrorRow>& rows);
  void ExpireEntries();
  void RecordFreshness();

  DaemonContext context_;
  PeerFinder peers_;
  std::shared_ptr<RowStore> store_;
  StoreFollowPolicy policy_;
  ChangeFeed tables_;
  ChangeFeed entries_;
  FleetUpdater fleet_updater_;
  PeerViewExchange::Subscription peer_views_;
  bool keys_fresh_ = false;  ///< Whether the last check allowed keys.
  LoopTimerPtr expiry_timer_;
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_STORE_FOLLOWER_H_
