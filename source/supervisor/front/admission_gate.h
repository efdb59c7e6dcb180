#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_GATE_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_GATE_H_

#include <functional>
#include <map>
#include <memory>

#include "decisions/admission.h"
#include "decisions/retry_budget.h"
#include "decisions/work_estimator.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/front/admission_ticket.h"

namespace wisteriayoke {

/// A request that has no session yet.
struct PendingRequest {
  PoolName pool;
  QueuedRequest request;  ///< `AdmissionGate::Offer` sets its ticket and cost.
  /// Requested tokens; 0 for a call to a plain service.
  std::uint32_t max_tokens = 0;
  TimePoint arrival{};
  std::function<void(AdmissionTicketPtr)> start;
  std::function<void(const RefuseRequest&)> refuse;
};

/// Executes the decisions of `Admission` for all pools of a daemon. It outlives
/// the restart of the front end, as the sessions do.
class AdmissionGate : public std::enable_shared_from_this<AdmissionGate> {
 public:
  explicit AdmissionGate(DaemonContext context) : context_(context) {}

  /// Starts, queues or refuses a request. Returns its ticket's number.
  TicketNumber Offer(PendingRequest pending);

  /// Returns whether a request still waits.
  bool IsWaiting(const PoolName& pool, TicketNumber ticket) const;

  /// Removes a request that still waits.
  void Withdraw(const PoolName& pool, TicketNumber ticket);

  void RecordFirstToken(const PoolName& pool, TicketNumber ticket,
                        TimePoint start);
  /// Frees a slot on the next turn of the loop.
  void Release(const PoolName& pool, TicketNumber ticket);
  void ConfirmSuspended(const PoolName& pool, TicketNumber ticket);
  RetryDecision TakeRetry(const PoolName& pool, const RetryRequest& request);

  /// Returns the number of requests that wait at all pools.
  std::size_t CountWaiting() const;

 private:
  struct PoolState {
    explicit PoolState(AdmissionLimits limits) : admission(limits) {}

    Admission admission;
    RetryBudget retries;
    WorkEstimator work;
    std::map<TicketNumber, PendingRequest> waiting;
    std::map<TicketNumber, std::weak_ptr<AdmissionTicket>> running;
    TimePoint slots_counted;
    std::uint64_t refusals = 0;  ///< Number since the last event about them.
    TimePoint refusals_recorded;
  };

  PoolState& StateOf(const PoolName& pool);
  void Feed(const PoolName& pool, const AdmissionEvent& event);
  void Execute(const PoolName& pool, const AdmitRequest& action);
  void Execute(const PoolName& pool, const RefuseRequest& action);
  void Execute(const PoolName& pool, const SuspendRequest& action);
  void Execute(const PoolName& pool, const ResumeRequest& action);
  void CountSlots(const PoolName& pool);
  void RecordRefusal(const PoolName& pool, const RefuseRequest& refusal);
  void ScheduleTick();
  void Tick();

  DaemonContext context_;
  std::map<PoolName, PoolState> pools_;
  TicketNumber last_ticket_ = 0;
  LoopTimerPtr tick_timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_GATE_H_
