#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_TICKET_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_TICKET_H_

#include <functional>
#include <memory>

#include "decisions/admission.h"
#include "decisions/retry_budget.h"

namespace wisteriayoke {

class AdmissionGate;

/// The right of one session to hold a slot of a pool; destroying it frees the
/// slot.
class AdmissionTicket {
 public:
  AdmissionTicket(std::shared_ptr<AdmissionGate> gate, PoolName pool,
                  TicketNumber number, TimePoint arrival, TimePoint start);
  ~AdmissionTicket();
  AdmissionTicket(const AdmissionTicket&) = delete;
  AdmissionTicket& operator=(const AdmissionTicket&) = delete;

  /// Returns when the request was offered to the admission gate.
  TimePoint arrival() const { return arrival_; }

  /// Records that the first token has arrived.
  void RecordFirstToken();

  /// Requests another send of the request from the pool's retry budget.
  RetryDecision TakeRetry(const RetryRequest& request);

  /// Sets the handlers that suspend and resume the session's work. A session
  /// without them is never suspended.
  void set_on_suspend(std::function<void()> call) {
    on_suspend_ = std::move(call);
  }
  void set_on_resume(std::function<void()> call) {
    on_resume_ = std::move(call);
  }

  /// Suspends or resumes the session's work, as `Admission` decided.
  void Suspend();
  void Resume();

 private:
  std::shared_ptr<AdmissionGate> gate_;
  PoolName pool_;
  TicketNumber number_;
  TimePoint arrival_;
  TimePoint start_;
  bool first_token_recorded_ = false;
  std::function<void()> on_suspend_;
  std::function<void()> on_resume_;
};

using AdmissionTicketPtr = std::shared_ptr<AdmissionTicket>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_TICKET_H_
