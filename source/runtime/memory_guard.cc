#include "runtime/memory_guard.h"

#include "runtime/event_loop.h"
#include "runtime/http_server_session.h"

namespace wisteriayoke {

void MemoryGuard::SetLimits(std::uint64_t bytes, std::uint64_t descriptors) {
  budget_.set_limit(bytes);
  max_descriptors_ = descriptors;
}

MemoryGuard::HolderId MemoryGuard::AddSession(
    const std::shared_ptr<HttpServerSession>& session) {
  const HolderId id = budget_.Add(true, loop_.Now());
  sessions_[id] = session;
  return id;
}

MemoryGuard::HolderId MemoryGuard::AddCall() {
  return budget_.Add(false, loop_.Now());
}

void MemoryGuard::Remove(HolderId id) {
  budget_.Remove(id);
  sessions_.erase(id);
}

void MemoryGuard::Update(HolderId id, const MemoryBudget::Usage& usage) {
  budget_.Update(id, usage);
  if (budget_.IsOver()) return ScheduleCheck(Duration::zero());
  if (budget_.IsLow()) ScheduleCheck(kCheckInterval);
}

void MemoryGuard::RecordProgress(HolderId id, std::uint64_t bytes) {
  budget_.RecordProgress(id, bytes, loop_.Now());
}

void MemoryGuard::SetForwarded(HolderId id, bool forwarded) {
  budget_.SetForwarded(id, forwarded, loop_.Now());
}

void MemoryGuard::Park(HolderId id) {
  budget_.Park(id);
  ScheduleCheck(kCheckInterval);
}

bool MemoryGuard::HasRoomForSession(bool reserved) const {
  const std::uint64_t kept = reserved ? 0 : max_descriptors_ / kReservedPart;
  return max_descriptors_ == 0 ||
         budget_.holder_count() + kOwnDescriptors + kept < max_descriptors_;
}

bool MemoryGuard::CloseIdleSession() {
  const auto idle = budget_.ChooseIdle(loop_.Now());
  if (!idle) return false;
  if (const auto session = FindSession(*idle)) session->Abort();
  return true;
}

void MemoryGuard::ScheduleCheck(Duration delay) {
  const bool now = delay == Duration::zero();
  if (timer_ && (check_now_ || !now)) return;
  check_now_ = now;
  timer_ = loop_.Schedule(delay, [this] { Check(); });
}

void MemoryGuard::Check() {
  timer_.reset();
  const MemoryBudget::Decision decision = budget_.Decide(loop_.Now());
  for (const auto& closure : decision.close) {
    if (const auto session = FindSession(closure.holder)) {
      session->CloseForMemory(closure.rule);
    }
  }
  for (const HolderId id : decision.resume) {
    if (const auto session = FindSession(id)) session->ResumeReading();
  }
  if (decision.again) ScheduleCheck(kCheckInterval);
  // While nothing can be closed, each update must not cost a decision.
  check_now_ = timer_ && decision.close.empty();
}

std::shared_ptr<HttpServerSession> MemoryGuard::FindSession(HolderId id) const {
  const auto it = sessions_.find(id);
  return it == sessions_.end() ? nullptr : it->second.lock();
}

}  // namespace wisteriayoke
