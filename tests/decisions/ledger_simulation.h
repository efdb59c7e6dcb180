#ifndef WISTERIAYOKE_TESTS_DECISIONS_LEDGER_SIMULATION_H_
#define WISTERIAYOKE_TESTS_DECISIONS_LEDGER_SIMULATION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "decisions/service_request.h"

namespace wisteriayoke {

/// A rule of the ledger that a test switches off to see the property fail.
enum class BrokenRule {
  kNone,
  kSendBeforeRecord,
  kWriteUnconditionally,
  kRunAbandonedClaim,
  kResendAfterBreak,
  kTakeOverDispatched,
  kCollectEarly,
  kAcceptExpired,
  kIgnoreBody,
  kIgnoreSendNumber,
  kAlterAnswer,
};

inline constexpr auto kBrokenRuleNames = MakeNamesTable<BrokenRule>({
    {BrokenRule::kNone, "none"},
    {BrokenRule::kSendBeforeRecord, "send-before-record"},
    {BrokenRule::kWriteUnconditionally, "write-unconditionally"},
    {BrokenRule::kRunAbandonedClaim, "run-abandoned-claim"},
    {BrokenRule::kResendAfterBreak, "resend-after-break"},
    {BrokenRule::kTakeOverDispatched, "take-over-dispatched"},
    {BrokenRule::kCollectEarly, "collect-early"},
    {BrokenRule::kAcceptExpired, "accept-expired"},
    {BrokenRule::kIgnoreBody, "ignore-body"},
    {BrokenRule::kIgnoreSendNumber, "ignore-send-number"},
    {BrokenRule::kAlterAnswer, "alter-answer"},
});

/// One key, its record in a model of the table service, a service that counts
/// runs, and the sends of a caller to several daemons. A tape of numbers picks
/// each next step among those that are possible.
class LedgerSimulation {
 public:
  LedgerSimulation(BrokenRule broken, bool timed_key, bool numbered);

  /// Plays the tape; returns the first broken promise, if any.
  std::optional<std::string> Play(const std::vector<std::uint32_t>& tape);

  std::size_t runs() const { return runs_; }
  std::size_t replays() const { return replays_; }
  std::size_t not_run() const { return not_run_; }

 private:
  static constexpr std::size_t kDaemons = 3;

  /// A store operation, a call or a wake-up that a send waits for.
  struct Send {
    ServiceRequest decider;
    std::size_t daemon;
    std::uint32_t number;
    std::string body;
    ClaimId claim;
    bool alive = true;
    std::optional<std::variant<ReadLedger, WriteLedger>> store_call;
    std::optional<LedgerEvent> store_reply;
    bool wants_upstream = false;
    AttemptNumber call = 0;
    std::optional<std::string> service_answer;
    bool wakes = false;
    bool told_not_run = false;
  };
  using Move = std::function<void()>;

  void AddSend(std::size_t daemon, const std::string& body);
  void ListMoves(std::vector<Move>& moves);
  void ListStoreMoves(std::size_t index, std::vector<Move>& moves);
  void ListCallMoves(std::size_t index, std::vector<Move>& moves);
  void ListWorldMoves(std::vector<Move>& moves);
  void Feed(std::size_t index, const ServiceRequestEvent& event);
  void Carry(std::size_t index, const ServiceRequestAction& action);
  LedgerEvent Execute(const std::variant<ReadLedger, WriteLedger>& call);
  void Land(const WriteLedger& write);
  void Run(std::size_t index);
  void TellAnswer(std::size_t index, const std::string& answer);
  void TellFailure(std::size_t index, const FailCall& failure);
  void Collect(std::size_t daemon);
  void Crash(std::size_t daemon);
  void Break(const std::string& promise);
  std::optional<LedgerRecord> Shown() const;
  ClockReading ClockOf(std::size_t daemon) const;

  BrokenRule broken_;
  bool timed_key_;
  bool numbered_;
  /// How often a step without a fault stands in the list of moves.
  std::uint32_t usual_weight_ = 1;
  IdempotencyKey key_;
  LedgerLimits limits_;
  WallTime time_;
  std::optional<LedgerRecord> record_;
  std::uint64_t version_ = 0;
  std::optional<LedgerRecord> old_record_;  ///< What a lagging read sees.
  std::uint64_t old_version_ = 0;
  std::vector<WriteLedger> floating_writes_;
  std::vector<std::size_t> floating_runs_;
  std::vector<Send> sends_;
  std::size_t runs_ = 0;
  std::size_t replays_ = 0;
  std::size_t not_run_ = 0;
  std::string run_answer_;
  std::string run_body_;
  std::uint32_t run_number_ = 0;
  std::uint32_t not_run_number_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_DECISIONS_LEDGER_SIMULATION_H_
