#ifndef WISTERIAYOKE_DECISIONS_LEDGER_CLAIM_H_
#define WISTERIAYOKE_DECISIONS_LEDGER_CLAIM_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/result_code.h"
#include "decisions/ledger_record.h"

namespace wisteriayoke {

/// Counts the store operations of one claim.
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

/// The store answered a read; no record if the version is 0.
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

/// The service's whole answer came.
struct ServiceAnswered {
  std::string answer;
};

/// The call ended and no byte of it was sent, to any upstream.
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

/// Feed `ClaimTimerFired` after `delay`.
struct StartClaimTimer {
  Duration delay{0};
};

/// The record says dispatched under this claim: the request may be sent, once.
struct PermitDispatch {};

/// Answer the caller with the record's answer.
struct ReplayAnswer {
  std::string answer;
};

/// Answer the caller with the service's answer.
struct DeliverAnswer {};

/// Tell the caller that there is no answer, and why.
struct RefuseSend {
  ResultCode code = ResultCode::kOk;
  std::string message;
};

using LedgerAction =
    std::variant<ReadLedger, WriteLedger, StartClaimTimer, PermitDispatch,
                 ReplayAnswer, DeliverAnswer, RefuseSend>;

/// What a claim is made for.
struct LedgerRequest {
  IdempotencyKey key;
  ClaimId claim;
  DaemonName daemon;
  RequestId request;
  std::string digest;
  std::uint32_t send_number = 0;  ///< The caller's count; 0: not numbered.
  WallTime finish_limit{0};       ///< Longest time from claim to outcome.
};

/// How far a claim has come.
enum class ClaimPhase {
  kIdle,
  kClaiming,     ///< The record's first write is under way.
  kReadingBack,  ///< That write's answer was lost.
  kDispatched,   ///< The record is ours; the request may be sent.
  kRecording,    ///< The answer is being written.
  kReleasing,    ///< The claim is given up; the record is being released.
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

/// Decides one send of non-idempotent work against the ledger.
///
/// One compare-and-set makes the record say dispatched under this claim; only
/// then may the request be sent. A claim that is given up never permits a
/// dispatch again, and its release takes the version that a late landing of
/// its first write would need. The answer is written before the caller gets
/// it, if the store answers in time, and retried afterwards if not.
class LedgerClaim {
 public:
  LedgerClaim(LedgerRequest request, LedgerLimits limits);

  /// Starts the claim.
  std::vector<LedgerAction> Begin(const ClockReading& now);

  /// Handles one event and returns what to do, in order. Answers to earlier
  /// operations have no effect.
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
  Actions HandleWoken(const ClockReading& now);
  Actions HandleAnswer(const ServiceAnswered& event);
  Actions HandleCallNotSent(const CallNotSent& event);
  Actions HandleCallLost();

  Actions Claim();
  Actions ReadBack();
  Actions Own(std::uint64_t version, const ClockReading& now);
  Actions Judge(const LedgerRecord& record, std::uint64_t version,
                const ClockReading& now);
  Actions JudgeReleased(const LedgerRecord& record, std::uint64_t version);
  Actions JudgeDispatched(const LedgerRecord& record, WallTime now);
  Actions Abandon();
  Actions Release(ResultCode code, std::string message);
  Actions Refuse(ResultCode code, std::string message);
  Actions RefuseUnseen(ResultCode code, std::string message);
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
  bool may_land_ = false;       ///< Whether a lost claim write may still land.
  bool answered_ = false;       ///< Whether the caller has its answer.
  std::uint32_t claims_ = 0;
  std::uint32_t tries_ = 0;
  std::string answer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LEDGER_CLAIM_H_
