#include "supervisor/front/admission_ticket.h"

#include <utility>

#include "supervisor/front/admission_gate.h"

namespace wisteriayoke {

AdmissionTicket::AdmissionTicket(std::shared_ptr<AdmissionGate> gate,
                                 PoolName pool, TicketNumber number,
                                 TimePoint arrival, TimePoint start)
    : gate_(std::move(gate)),
      pool_(std::move(pool)),
      number_(number),
      arrival_(arrival),
      start_(start) {}

AdmissionTicket::~AdmissionTicket() { gate_->Release(pool_, number_); }

void AdmissionTicket::RecordFirstToken() {
  if (first_token_recorded_) return;
  first_token_recorded_ = true;
  gate_->RecordFirstToken(pool_, number_, start_);
}

RetryDecision AdmissionTicket::TakeRetry(const RetryRequest& request) {
  return gate_->TakeRetry(pool_, request);
}

void AdmissionTicket::Suspend() {
  if (!on_suspend_) return;
  on_suspend_();
  gate_->ConfirmSuspended(pool_, number_);
}

void AdmissionTicket::Resume() {
  if (on_resume_) on_resume_();
}

}  // namespace wisteriayoke
