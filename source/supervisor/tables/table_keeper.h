#ifndef WISTERIAYOKE_SUPERVISOR_TABLES_TABLE_KEEPER_H_
#define WISTERIAYOKE_SUPERVISOR_TABLES_TABLE_KEEPER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "decisions/table_follower.h"
#include "supervisor/platform/platform_client.h"

namespace wisteriayoke {

/// Keeps the tables in force current: polls the head record and fetches the
/// content that it names. A child of the root.
class TableKeeper : public std::enable_shared_from_this<TableKeeper> {
 public:
  /// Called after other tables were put in force.
  using ChangeHandler = std::function<void()>;

  TableKeeper(DaemonContext context, PlatformFinder platform,
              ChangeHandler on_change, FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  void PollHead();
  void ScheduleNextPoll();
  void HandleHead(const StoreReply& reply);
  void Fetch(const std::string& hash);
  void HandleContent(const std::string& hash, const StoreReply& reply);
  void Feed(const TableEvent& event);
  void PutTablesInForce(const PutInForce& action);

  DaemonContext context_;
  PlatformFinder platform_;
  ChangeHandler on_change_;
  FailureHandler on_failure_;
  TableFollower follower_;
  std::minstd_rand jitter_;
  LoopTimerPtr poll_timer_;
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_TABLES_TABLE_KEEPER_H_
