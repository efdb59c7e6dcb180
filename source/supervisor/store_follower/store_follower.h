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
/// records when the tables are proven to be fresh. A child of the root.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
 public:
  StoreFollower(DaemonContext context, const FailureHandler& on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  /// Position in the changes of one table of the store.
  struct ChangeFeed {
    std::string table;
    Duration wait{};   ///< Maximum time that one call waits for a change.
    Duration pause{};  ///< Delay of the next call after one with changes.
    std::uint64_t version = 0;
    bool synced = false;    ///< Whether the whole table was read.
    unsigned failures = 0;  ///< Consecutive failures.
    LoopTimerPtr timer;     ///< Timer of the next call.
  };

  /// `whole`: whether the page has all rows of the table, not only changes.
  using Handler = void (StoreFollower::*)(const RowPage&, bool whole);

  void CallStore(ChangeFeed& feed, Handler handler);
  void HandleReply(ChangeFeed& feed, Handler handler, BootTime sent,
                   const RowReply& reply);
  void ScheduleCall(Duration delay, ChangeFeed& feed, Handler handler);
  void HandleFailure(ChangeFeed& feed, Handler handler, const RowReply& reply);
  void RecordReturn(ChangeFeed& feed);

  void ApplyTables(const RowPage& page, bool whole);
  void ApplyEntries(const RowPage& page, bool whole);
  void ApplyEntry(const StoreRow& row);
  void RemoveMissing(const RowPage& page);
  void RemoveEntry(const UpstreamName& name);
  void ForgetUpstream(const UpstreamName& name);
  void ExpireEntries();
  void RecordFreshness();

  DaemonContext context_;
  std::shared_ptr<RowStore> store_;
  ChangeFeed tables_;
  ChangeFeed entries_;
  bool document_valid_ = false;  ///< Whether the newest document was valid.
  bool keys_fresh_ = false;      ///< Whether the last check allowed keys.
  LoopTimerPtr expiry_timer_;
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_STORE_FOLLOWER_H_
