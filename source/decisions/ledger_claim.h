#ifndef WISTERIAYOKE_DECISIONS_LEDGER_CLAIM_H_
#define WISTERIAYOKE_DECISIONS_LEDGER_CLAIM_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/result_code.h"
#include "decisions/ledger_record.h"

namespace wisteriayoke {

/// Numbers the store operations of one claim, to match answers to them.
using LedgerOperation = std::uint32_t;

/// The store applied the write.
struct LedgerWritten {
  LedgerOperation operation = 0;
  std::uint64_t version = 0;
};

/// The store refused the write, since the record has another version.
struct LedgerConflicted {
  LedgerOperation operation = 0;
  std::optional<LedgerRecord> record;
  std::uint64_t version = 0;
};

/// The store answered a read; there is no record if the version is 0.
struct LedgerRead {
  LedgerOperation operation = 0;
  std::optional<LedgerRecord> record;
  std::uint64_t version = 0;
};

/// The operation never reached the store.
struct LedgerNotSent {
  LedgerOperation operation = 0;
};

/// No answer came; a write may have taken effect or may do so later.
struct LedgerAnswerLost {
  LedgerOperation operation = 0;
};

/// The delay of `StartClaimTimer` is over.
struct ClaimTimerFired {};

/// The service's whole answer arrived.
struct ServiceAnswered {
  std::string answer;
};

/// The call ended without any byte of it sent to an upstream.
struct CallNotSent {
  ResultCode code = ResultCode::kNoUpstream;
  std::string message;
};

/// The call broke after a byte of it may have been sent.
struct CallLost {};

using LedgerEvent =
    std::variant<LedgerWritten, LedgerConflicted, LedgerRead, LedgerNotSent,
                 LedgerAnswerLost, ClaimTimerFired, ServiceAnswered,
                 CallNotSent, CallLost>;

/// Read the record.
struct ReadLedger {
  LedgerOperation operation = 0;
};

/// Write the record if its version is `expected` (0: it must be absent).
struct WriteLedger {
  LedgerOperation operation = 0;
  LedgerRecord record;
  std::uint64_t expected = 0;
};

/// Pass `ClaimTimerFired` to `Handle` after `delay`.
struct StartClaimTimer {
  Duration delay{0};
};

/// Send the request, once: the record's state is dispatched under this claim.
struct PermitDispatch {};

/// Answer the caller with the record's answer.
struct ReplayAnswer {
  std::string answer;
};

/// Answer the caller with the service's answer.
struct DeliverAnswer {};

/// Answer the caller that the send is refused, and why.
struct RefuseSend {
  ResultCode code = ResultCode::kOk;
  std::string message;
};

using LedgerAction =
    std::variant<ReadLedger, WriteLedger, StartClaimTimer, PermitDispatch,
                 ReplayAnswer, DeliverAnswer, RefuseSend>;

/// The send that a claim is made for.
struct LedgerRequest {
  IdempotencyKey key;
  ClaimId claim;
  DaemonName daemon;
  RequestId request;
  std::string digest;
  std::uint32_t send_number = 0;  ///< The caller's count; 0 if not numbered.
  WallTime finish_limit{0};       ///< Longest time from claim to outcome.
};

/// Phases of a claim.
enum class ClaimPhase {
  kIdle,
  kClaiming,     ///< The record's first write is under way.
  kReadingBack,  ///< The answer to that write was lost; the record is read.
  kDispatched,   ///< The claim owns the record; the request may be sent.
  kRecording,    ///< The answer is being written.
  kReleasing,    ///< The claim is abandoned; the record is being released.
  kFinished,
};

inline constexpr auto kClaimPhaseNames = MakeNamesTable<ClaimPhase>({
    {ClaimPhase::kIdle, "idle"},
    {ClaimPhase::kClaiming, "claiming"},
    {ClaimPhase::kReadingBack, "reading-back"},
    {ClaimPhase::kDispatched, "dispatched"},
    {ClaimPhase::kRecording, "recording"},
    {ClaimPhase::kReleasing, "releasing"},
    {ClaimPhase::kFinished, "finished"},
});

/// Decides whether one send of non-idempotent work may run, by its ledger
/// record.
///
/// The request may be sent only after one compare-and-set has put the record
/// into the state dispatched under this claim. An abandoned claim never permits
/// a dispatch again, and its release replaces the version that its first write
/// expects, so that the write fails if it is applied late. The answer is
/// written before the caller gets it, if the store replies in time; else the
/// write is retried afterwards.
class LedgerClaim {
 public:
  LedgerClaim(LedgerRequest request, LedgerLimits limits);

  /// Starts the claim.
  std::vector<LedgerAction> Begin(const ClockReading& now);

  /// Handles one event and returns the actions to perform, in order. Answers to
  /// earlier operations have no effect.
  std::vector<LedgerAction> Handle(const LedgerEvent& event,
                                   const ClockReading& now);

  ClaimPhase phase() const { return phase_; }

 private:
  using Actions = std::vector<LedgerAction>;

  Actions HandleWritten(const LedgerWritten& event, const ClockReading& now);
  Actions HandleConflict(const LedgerConflicted& event,
                         const ClockReading& now);
  Actions HandleRead(const LedgerRead& event, const ClockReading& now);
  Actions HandleNotSent(const ClockReading& now);
  Actions HandleAnswerLost(const ClockReading& now);
  Actions HandleTimer(const ClockReading& now);
  Actions HandleAnswer(const ServiceAnswered& event);
  Actions HandleCallNotSent(const CallNotSent& event);
  Actions HandleCallLost();

  Actions WriteClaim();
  Actions ReadBack();
  Actions TakeOwnership(std::uint64_t version, const ClockReading& now);
  Actions EvaluateRecord(const LedgerRecord& record, std::uint64_t version,
                         const ClockReading& now);
  Actions EvaluateReleased(const LedgerRecord& record, std::uint64_t version);
  Actions EvaluateDispatched(const LedgerRecord& record, WallTime now);
  Actions Abandon();
  Actions Release(ResultCode code, std::string message);
  Actions Refuse(ResultCode code, std::string message);
  Actions RefuseWithoutRecord(ResultCode code, std::string message);
  Actions FinishConflict(const LedgerConflicted& event,
                         const ClockReading& now);
  Actions RetryLater();
  LedgerAction Write(LedgerState state, std::uint64_t expected);
  bool PastDeadline(const ClockReading& now) const {
    return now.monotonic >= deadline_;
  }

  LedgerRequest request_;
  LedgerLimits limits_;
  ClaimPhase phase_ = ClaimPhase::kIdle;
  TimePoint deadline_;
  WallTime claimed_at_{0};
  LedgerOperation operation_ = 0;
  std::uint64_t expected_ = 0;  ///< Version that the next write replaces.
  /// Whether a lost claim write may still apply.
  bool claim_may_apply_ = false;
  bool answered_ = false;        ///< Whether the caller has its answer.
  std::uint32_t takeovers_ = 0;  ///< Attempts to claim a released record.
  std::uint32_t retries_ = 0;
  std::string answer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LEDGER_CLAIM_H_
