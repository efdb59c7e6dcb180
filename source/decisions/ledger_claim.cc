#include "decisions/ledger_claim.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kMaxTakeovers = 3;
constexpr std::uint32_t kMaxRetries = 12;
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

Duration RetryDelay(std::uint32_t retries) {
  Duration delay = kFirstRetryDelay;
  for (std::uint32_t i = 1; i < retries && delay < kMaxRetryDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, kMaxRetryDelay);
}

std::optional<LedgerOperation> OperationOf(const LedgerEvent& event) {
  return std::visit(
      [](const auto& reply) -> std::optional<LedgerOperation> {
        if constexpr (requires { reply.operation; }) return reply.operation;
        return std::nullopt;
      },
      event);
}

}  // namespace

LedgerClaim::LedgerClaim(LedgerRequest request, LedgerLimits limits)
    : request_(std::move(request)), limits_(limits) {}

std::vector<LedgerAction> LedgerClaim::Begin(const ClockReading& now) {
  if (phase_ != ClaimPhase::kIdle) return {};
  deadline_ = now.monotonic + limits_.claim_timeout;
  claimed_at_ = now.wall;
  if (IsFromFuture(request_.key, now.wall, limits_)) {
    return RefuseWithoutRecord(
        ResultCode::kIdempotencyKeyInvalid,
        "the key's time lies in the future; correct the clock of "
        "the sender");
  }
  if (IsExpired(request_.key, now.wall, limits_)) {
    return Refuse(ResultCode::kIdempotencyKeyExpired,
                  "the key is older than the resend horizon; look the work "
                  "up at the service");
  }
  return WriteClaim();
}

std::vector<LedgerAction> LedgerClaim::Handle(const LedgerEvent& event,
                                              const ClockReading& now) {
  const auto operation = OperationOf(event);
  if (phase_ == ClaimPhase::kFinished) return {};
  if (operation && *operation != operation_) return {};
  return std::visit(
      Overloaded{
          [&](const LedgerWritten& written) {
            return HandleWritten(written, now);
          },
          [&](const LedgerConflicted& conflict) {
            return HandleConflict(conflict, now);
          },
          [&](const LedgerRead& read) { return HandleRead(read, now); },
          [&](const LedgerNotSent&) { return HandleNotSent(now); },
          [&](const LedgerAnswerLost&) { return HandleAnswerLost(now); },
          [&](const ClaimTimerFired&) { return HandleTimer(now); },
          [&](const ServiceAnswered& answer) { return HandleAnswer(answer); },
          [&](const CallNotSent& call) { return HandleCallNotSent(call); },
          [&](const CallLost&) { return HandleCallLost(); },
      },
      event);
}

LedgerAction LedgerClaim::Write(LedgerState state, std::uint64_t expected) {
  LedgerRecord record{.state = state,
                      .claim = request_.claim,
                      .daemon = request_.daemon,
                      .request = request_.request,
                      .digest = request_.digest,
                      .send_number = request_.send_number,
                      .claimed_at = claimed_at_,
                      .finish_limit = request_.finish_limit};
  if (state == LedgerState::kDone) {
    record.answer_kept = answer_.size() <= limits_.answer_bytes;
    if (record.answer_kept) record.answer = answer_;
  }
  return WriteLedger{++operation_, std::move(record), expected};
}

LedgerClaim::Actions LedgerClaim::WriteClaim() {
  phase_ = ClaimPhase::kClaiming;
  return {Write(LedgerState::kDispatched, expected_)};
}

LedgerClaim::Actions LedgerClaim::ReadBack() {
  phase_ = ClaimPhase::kReadingBack;
  return {ReadLedger{++operation_}};
}

LedgerClaim::Actions LedgerClaim::HandleWritten(const LedgerWritten& event,
                                                const ClockReading& now) {
  if (phase_ == ClaimPhase::kClaiming) return TakeOwnership(event.version, now);
  const bool deliver = phase_ == ClaimPhase::kRecording && !answered_;
  answered_ = true;
  phase_ = ClaimPhase::kFinished;
  return deliver ? Actions{DeliverAnswer{}} : Actions{};
}

LedgerClaim::Actions LedgerClaim::TakeOwnership(std::uint64_t version,
                                                const ClockReading& now) {
  expected_ = version;
  claim_may_apply_ = false;
  if (IsExpired(request_.key, now.wall, limits_)) {
    return Release(ResultCode::kIdempotencyKeyExpired,
                   "the key passed the resend horizon before its claim stood");
  }
  if (PastDeadline(now)) {
    return Release(ResultCode::kClaimAbandoned,
                   "the claim stood too late and was released");
  }
  phase_ = ClaimPhase::kDispatched;
  retries_ = 0;
  return {PermitDispatch{}};
}

LedgerClaim::Actions LedgerClaim::HandleConflict(const LedgerConflicted& event,
                                                 const ClockReading& now) {
  if (phase_ != ClaimPhase::kClaiming) return FinishConflict(event, now);
  if (event.record) return EvaluateRecord(*event.record, event.version, now);
  // The record that the claim should have replaced was collected.
  claim_may_apply_ = false;
  return RefuseWithoutRecord(ResultCode::kClaimAbandoned,
                             "the key's record was collected meanwhile");
}

LedgerClaim::Actions LedgerClaim::HandleRead(const LedgerRead& event,
                                             const ClockReading& now) {
  if (phase_ != ClaimPhase::kReadingBack) return {};
  if (event.record && event.version != expected_) {
    return EvaluateRecord(*event.record, event.version, now);
  }
  if (PastDeadline(now)) return Abandon();
  return WriteClaim();
}

LedgerClaim::Actions LedgerClaim::EvaluateRecord(const LedgerRecord& record,
                                                 std::uint64_t version,
                                                 const ClockReading& now) {
  if (record.claim == request_.claim) return TakeOwnership(version, now);
  // The record's version is past the one that a lost claim write expects.
  claim_may_apply_ = false;
  if (IsExpired(request_.key, now.wall, limits_)) {
    // A late write may have created the record after it was collected.
    return Refuse(ResultCode::kIdempotencyKeyExpired,
                  "the key passed the resend horizon; look the work up at the "
                  "service");
  }
  if (record.digest != request_.digest) {
    return Refuse(ResultCode::kIdempotencyKeyReused,
                  "the key belongs to a request with another method, target "
                  "or body");
  }
  switch (record.state) {
    case LedgerState::kDispatched:
      return EvaluateDispatched(record, now.wall);
    case LedgerState::kReleased:
      return EvaluateReleased(record, version);
    case LedgerState::kDone:
      break;
  }
  if (!record.answer_kept) {
    return Refuse(ResultCode::kAnswerNotKept,
                  "the request ran and was answered, but the answer was too "
                  "long to keep; look the work up at the service");
  }
  phase_ = ClaimPhase::kFinished;
  answered_ = true;
  return {ReplayAnswer{record.answer}};
}

LedgerClaim::Actions LedgerClaim::EvaluateReleased(const LedgerRecord& record,
                                                   std::uint64_t version) {
  if (request_.send_number != 0 && request_.send_number <= record.send_number) {
    return Refuse(ResultCode::kClaimAbandoned,
                  "a later send of the key has ended as not run");
  }
  if (++takeovers_ > kMaxTakeovers) {
    return RefuseWithoutRecord(ResultCode::kClaimAbandoned,
                               "other sends of the key came first each time");
  }
  expected_ = version;
  return WriteClaim();
}

LedgerClaim::Actions LedgerClaim::EvaluateDispatched(const LedgerRecord& record,
                                                     WallTime now) {
  const WallTime limit =
      record.claimed_at + record.finish_limit + 2 * limits_.clock_error;
  const std::string owner =
      "request " + record.request.text() + " at " + record.daemon.text();
  if (now <= limit) {
    return Refuse(ResultCode::kInProgress,
                  owner + " holds the key; resend later with the same key");
  }
  return Refuse(ResultCode::kOutcomeUnknown,
                owner +
                    " sent the work and left no outcome; look it up at "
                    "the service");
}

LedgerClaim::Actions LedgerClaim::HandleNotSent(const ClockReading& now) {
  if (phase_ == ClaimPhase::kRecording || phase_ == ClaimPhase::kReleasing) {
    return RetryLater();
  }
  if (phase_ == ClaimPhase::kClaiming && !claim_may_apply_) {
    return RefuseWithoutRecord(ResultCode::kLedgerUnavailable,
                               "the ledger can't be reached");
  }
  if (PastDeadline(now)) return Abandon();
  return RetryLater();
}

LedgerClaim::Actions LedgerClaim::HandleAnswerLost(const ClockReading& now) {
  if (phase_ == ClaimPhase::kRecording || phase_ == ClaimPhase::kReleasing) {
    return RetryLater();
  }
  if (phase_ == ClaimPhase::kClaiming) {
    claim_may_apply_ = true;
    if (PastDeadline(now)) return Abandon();
    return ReadBack();
  }
  if (PastDeadline(now)) return Abandon();
  return RetryLater();
}

LedgerClaim::Actions LedgerClaim::RetryLater() {
  Actions actions;
  if (phase_ == ClaimPhase::kRecording && !answered_) {
    answered_ = true;
    actions.emplace_back(DeliverAnswer{});
  }
  // The operation has ended; a late answer to it must not be treated as the
  // answer to the next one.
  ++operation_;
  const bool background =
      phase_ == ClaimPhase::kRecording || phase_ == ClaimPhase::kReleasing;
  if (++retries_ > kMaxRetries && background) {
    phase_ = ClaimPhase::kFinished;
    return actions;
  }
  actions.emplace_back(StartClaimTimer{RetryDelay(retries_)});
  return actions;
}

LedgerClaim::Actions LedgerClaim::HandleTimer(const ClockReading& now) {
  switch (phase_) {
    case ClaimPhase::kClaiming:
    case ClaimPhase::kReadingBack:
      return PastDeadline(now) ? Abandon() : ReadBack();
    case ClaimPhase::kRecording:
      return {Write(LedgerState::kDone, expected_)};
    case ClaimPhase::kReleasing:
      return {Write(LedgerState::kReleased, expected_)};
    case ClaimPhase::kIdle:
    case ClaimPhase::kDispatched:
    case ClaimPhase::kFinished:
      break;
  }
  return {};
}

LedgerClaim::Actions LedgerClaim::HandleAnswer(const ServiceAnswered& event) {
  if (phase_ != ClaimPhase::kDispatched) return {};
  phase_ = ClaimPhase::kRecording;
  answer_ = event.answer;
  return {Write(LedgerState::kDone, expected_)};
}

LedgerClaim::Actions LedgerClaim::HandleCallNotSent(const CallNotSent& event) {
  if (phase_ != ClaimPhase::kDispatched) return {};
  return Release(event.code, event.message);
}

LedgerClaim::Actions LedgerClaim::HandleCallLost() {
  if (phase_ != ClaimPhase::kDispatched) return {};
  return Refuse(ResultCode::kOutcomeUnknown,
                "the connection broke after the request may have been sent; "
                "look the work up at the service");
}

LedgerClaim::Actions LedgerClaim::FinishConflict(const LedgerConflicted& event,
                                                 const ClockReading& now) {
  const bool own = event.record && event.record->claim == request_.claim;
  if (phase_ == ClaimPhase::kReleasing && own &&
      event.record->state == LedgerState::kDispatched) {
    expected_ = event.version;
    return {Write(LedgerState::kReleased, expected_)};
  }
  const bool deliver = phase_ == ClaimPhase::kRecording && !answered_;
  // Past the horizon a late write may apply where this record was collected.
  if (phase_ == ClaimPhase::kRecording && event.record && !own &&
      !IsExpired(request_.key, now.wall, limits_)) {
    ReportBrokenInvariant(ResultCode::kDispatchedTwice,
                          "key " + request_.key.text() + " claimed by " +
                              event.record->claim.text() + " and by " +
                              request_.claim.text());
  }
  phase_ = ClaimPhase::kFinished;
  answered_ = true;
  return deliver ? Actions{DeliverAnswer{}} : Actions{};
}

LedgerClaim::Actions LedgerClaim::Abandon() {
  Actions actions = RefuseWithoutRecord(
      ResultCode::kClaimAbandoned,
      "the ledger didn't confirm the claim in time; it was given "
      "up");
  if (!claim_may_apply_) return actions;
  phase_ = ClaimPhase::kReleasing;
  retries_ = 0;
  actions.push_back(Write(LedgerState::kReleased, expected_));
  return actions;
}

LedgerClaim::Actions LedgerClaim::Release(ResultCode code,
                                          std::string message) {
  Actions actions = Refuse(code, std::move(message));
  phase_ = ClaimPhase::kReleasing;
  retries_ = 0;
  actions.push_back(Write(LedgerState::kReleased, expected_));
  return actions;
}

LedgerClaim::Actions LedgerClaim::Refuse(ResultCode code, std::string message) {
  phase_ = ClaimPhase::kFinished;
  answered_ = true;
  return {RefuseSend{code, std::move(message)}};
}

/// Refuses without knowing the record: an earlier send, if any, may have run.
LedgerClaim::Actions LedgerClaim::RefuseWithoutRecord(ResultCode code,
                                                      std::string message) {
  if (request_.send_number <= 1) return Refuse(code, std::move(message));
  return Refuse(ResultCode::kOutcomeUnknown,
                message + "; an earlier send of the key may have run");
}

}  // namespace wisteriayoke
