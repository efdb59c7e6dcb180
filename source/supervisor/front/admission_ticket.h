#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_TICKET_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_TICKET_H_

#include <functional>
#include <memory>

#include "decisions/admission.h"
#include "decisions/retry_budget.h"

namespace wisteriayoke {

class AdmissionGate;

/// The right of one session to hold a slot of a pool; destroying it gives the
/// slot back.
class AdmissionTicket {
 public:
  AdmissionTicket(std::shared_ptr<AdmissionGate> gate, PoolName pool,
                  TicketNumber number, TimePoint arrival, TimePoint start);
  ~AdmissionTicket();
  AdmissionTicket(const AdmissionTicket&) = delete;
  AdmissionTicket& operator=(const AdmissionTicket&) = delete;

  /// When the request was offered to the admission.
  TimePoint arrival() const { return arrival_; }

  /// Says that the first token has come.
  void RecordBegin();

  /// Asks the pool's retry budget for another send of the request.
  RetryDecision TakeRetry(const RetryRequest& question);

  /// Sets who suspends and resumes the session's work. Without them it is
  /// never suspended.
  void set_on_suspend(std::function<void()> call) {
    on_suspend_ = std::move(call);
  }
  void set_on_resume(std::function<void()> call) {
    on_resume_ = std::move(call);
  }

  /// Carries out a decision of admission.
  void Suspend();
  void Resume();

 private:
  std::shared_ptr<AdmissionGate> gate_;
  PoolName pool_;
  TicketNumber number_;
  TimePoint arrival_;
  TimePoint start_;
  bool begun_ = false;
  std::function<void()> on_suspend_;
  std::function<void()> on_resume_;
};

using AdmissionTicketPtr = std::shared_ptr<AdmissionTicket>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_ADMISSION_TICKET_H_
