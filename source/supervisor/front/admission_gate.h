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

/// A request before its session starts.
struct Applicant {
  PoolName pool;
  QueuedRequest request;  ///< The gate sets its ticket and cost.
  /// Tokens that it asks for; 0 for a call to a plain service.
  std::uint32_t max_tokens = 0;
  TimePoint arrival{};
  std::function<void(AdmissionTicketPtr)> start;
  std::function<void(const RefuseRequest&)> refuse;
};

/// Carries out the decisions of admission for all pools of a daemon. It
/// outlives the restart of the front end, as the sessions do.
class AdmissionGate : public std::enable_shared_from_this<AdmissionGate> {
 public:
  explicit AdmissionGate(DaemonContext context) : context_(context) {}

  /// Starts, queues or refuses a request; returns its ticket's number.
  TicketNumber Offer(Applicant applicant);

  /// Tells whether a request still waits.
  bool IsWaiting(const PoolName& pool, TicketNumber ticket) const;

  /// Forgets a request that still waits.
  void Withdraw(const PoolName& pool, TicketNumber ticket);

  void Begin(const PoolName& pool, TicketNumber ticket, TimePoint start);
  /// Frees a slot on the next turn of the loop.
  void End(const PoolName& pool, TicketNumber ticket);
  void ConfirmSuspended(const PoolName& pool, TicketNumber ticket);
  RetryDecision TakeRetry(const PoolName& pool, const RetryRequest& question);

  /// Requests that wait at all pools.
  std::size_t CountWaiting() const;

 private:
  struct PoolState {
    explicit PoolState(AdmissionLimits limits) : admission(limits) {}

    Admission admission;
    RetryBudget retries;
    WorkEstimator work;
    std::map<TicketNumber, Applicant> waiting;
    std::map<TicketNumber, std::weak_ptr<AdmissionTicket>> running;
    TimePoint slots_counted;
    std::uint64_t refusals = 0;  ///< Since the last event about them.
    TimePoint refusals_recorded;
  };

  PoolState& StateOf(const PoolName& pool);
  void Feed(const PoolName& pool, const AdmissionEvent& event);
  void Carry(const PoolName& pool, const AdmitRequest& action);
  void Carry(const PoolName& pool, const RefuseRequest& action);
  void Carry(const PoolName& pool, const SuspendRequest& action);
  void Carry(const PoolName& pool, const ResumeRequest& action);
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
