#ifndef WISTERIAYOKE_SUPERVISOR_TABLES_TABLE_MANAGER_H_
#define WISTERIAYOKE_SUPERVISOR_TABLES_TABLE_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "decisions/table_follower.h"
#include "supervisor/peers/peer_link.h"
#include "supervisor/table_service/table_service_client.h"

namespace wisteriayoke {

/// Keeps the tables in force up to date: polls the head record, receives heads
/// from peers, and fetches the content of new heads from the store or from a
/// peer. A child of the root.
class TableManager : public std::enable_shared_from_this<TableManager> {
 public:
  /// Called after a new version of the tables was put in force.
  using ChangeHandler = std::function<void()>;

  TableManager(DaemonContext context, TableServiceFinder table_service,
               PeerFinder peers, ChangeHandler on_change,
               FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

  /// Applies content that the store accepted as version `number`. Fails with
  /// kMalformedJson or kTableInvalid.
  bool Announce(std::uint64_t number, const std::string& content,
                LastReason& reason);

 private:
  void PollHead();
  void ScheduleNextPoll();
  void HandleHead(const StoreReply& reply);
  void Fetch(const FetchContent& fetch);
  void FetchFromStore(const std::string& hash);
  void FetchFromPeer(const std::string& hash);
  void HandleContent(const std::string& hash, const std::string& content);
  void FailFetch(const std::string& hash);
  void ScheduleRetry(const RetryFetch& retry);
  void ScheduleColdStart();
  void RecordRefusal(const LastReason& reason);
  void Feed(const TableEvent& event);
  void PutTablesInForce(const PutInForce& action);

  DaemonContext context_;
  TableServiceFinder table_service_;
  PeerFinder peers_;
  ChangeHandler on_change_;
  FailureHandler on_failure_;
  TableFollower follower_;
  GossipExchange::Subscription head_updates_;
  LoopTimerPtr poll_timer_;
  LoopTimerPtr listen_timer_;
  LoopTimerPtr cold_start_timer_;
  std::map<std::string, LoopTimerPtr> retry_timers_;  ///< By digest.
  std::map<std::string, std::string> contents_;       ///< Fetched, by digest.
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_TABLES_TABLE_MANAGER_H_
