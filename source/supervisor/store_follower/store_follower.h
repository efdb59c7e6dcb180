#ifndef WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_STORE_FOLLOWER_H_
#define WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_STORE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "platform/row_store.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Follows the tables and the upstreams' entries in the platform's store, and
/// keeps the proof of how fresh the tables are. A child of the root.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
 public:
  StoreFollower(DaemonContext context, const FailureHandler& on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  /// The position in the changes of one table of the store.
  struct Feed {
    std::string table;
    Duration wait{};   ///< Longest time that one call waits for a change.
    Duration pause{};  ///< Between an answer with changes and the next call.
    std::uint64_t version = 0;
    bool synced = false;    ///< Whether the whole table was read.
    unsigned failures = 0;  ///< In a row.
    LoopTimerPtr timer;     ///< Until the next call.
  };

  using Handler = void (StoreFollower::*)(const RowPage&, bool whole);

  void Advance(Feed& feed, Handler handler);
  void HandleReply(Feed& feed, Handler handler, BootTime sent,
                   const RowReply& reply);
  void AdvanceAfter(Duration delay, Feed& feed, Handler handler);
  void HandleFailure(Feed& feed, Handler handler, const RowReply& reply);
  void RecordReturn(Feed& feed);

  void TakeTables(const RowPage& page, bool whole);
  void TakeEntries(const RowPage& page, bool whole);
  void TakeEntry(const StoreRow& row);
  void RemoveMissing(const RowPage& page);
  void RemoveEntry(const UpstreamName& name);
  void ForgetUpstream(const UpstreamName& name);
  void ExpireEntries();
  void FollowFreshness();

  DaemonContext context_;
  std::shared_ptr<RowStore> store_;
  Feed tables_;
  Feed entries_;
  bool document_good_ = false;  ///< Whether the newest document was read.
  bool keys_fresh_ = false;  ///< Whether keys were accepted when last looked.
  LoopTimerPtr expiry_timer_;
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_STORE_FOLLOWER_H_
