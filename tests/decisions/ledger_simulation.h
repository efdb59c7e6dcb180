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

/// A rule of the ledger that a test disables to check that the property fails.
enum class DisabledRule {
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

inline constexpr auto kDisabledRuleNames = MakeNamesTable<DisabledRule>({
    {DisabledRule::kNone, "none"},
    {DisabledRule::kSendBeforeRecord, "send-before-record"},
    {DisabledRule::kWriteUnconditionally, "write-unconditionally"},
    {DisabledRule::kRunAbandonedClaim, "run-abandoned-claim"},
    {DisabledRule::kResendAfterBreak, "resend-after-break"},
    {DisabledRule::kTakeOverDispatched, "take-over-dispatched"},
    {DisabledRule::kCollectEarly, "collect-early"},
    {DisabledRule::kAcceptExpired, "accept-expired"},
    {DisabledRule::kIgnoreBody, "ignore-body"},
    {DisabledRule::kIgnoreSendNumber, "ignore-send-number"},
    {DisabledRule::kAlterAnswer, "alter-answer"},
});

/// Simulates one key, its record in a model of the table service, a service
/// that counts runs, and the sends of a caller to several daemons. A sequence
/// of numbers chooses each next step among the possible ones.
class LedgerSimulation {
 public:
  LedgerSimulation(DisabledRule disabled_rule, bool timed_key, bool numbered);

  /// Runs the steps selected by `choices`; returns the first violation, if any.
  std::optional<std::string> Simulate(
      const std::vector<std::uint32_t>& choices);

  std::size_t runs() const { return runs_; }
  std::size_t replays() const { return replays_; }
  std::size_t not_run() const { return not_run_; }

 private:
  static constexpr std::size_t kDaemons = 3;

  /// One send with the store operation, call or timer that it waits for.
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
    bool timer_pending = false;
    bool refused = false;  ///< Whether it was reported as not run.
  };
  using Step = std::function<void()>;

  void AddSend(std::size_t daemon, const std::string& body);
  void ListSteps(std::vector<Step>& steps);
  void ListStoreSteps(std::size_t index, std::vector<Step>& steps);
  void ListCallSteps(std::size_t index, std::vector<Step>& steps);
  void ListEnvironmentSteps(std::vector<Step>& steps);
  void Feed(std::size_t index, const ServiceRequestEvent& event);
  void Execute(std::size_t index, const ServiceRequestAction& action);
  LedgerEvent ExecuteStoreCall(
      const std::variant<ReadLedger, WriteLedger>& call);
  void ApplyDelayedWrite(const WriteLedger& write);
  void Run(std::size_t index);
  void CheckAnswer(std::size_t index, const std::string& answer);
  void CheckFailure(std::size_t index, const FailCall& failure);
  void Collect(std::size_t daemon);
  void Crash(std::size_t daemon);
  void Fail(const std::string& violation);
  /// Returns the record as the store shows it, altered by the disabled rule.
  std::optional<LedgerRecord> Read() const;
  ClockReading ClockOf(std::size_t daemon) const;

  DisabledRule disabled_rule_;
  bool timed_key_;
  bool numbered_;
  /// Number of times that a step without a fault is listed, as its weight.
  std::uint32_t usual_weight_ = 1;
  IdempotencyKey key_;
  LedgerLimits limits_;
  WallTime time_;
  std::optional<LedgerRecord> record_;
  std::uint64_t version_ = 0;
  /// Record that a lagging read returns.
  std::optional<LedgerRecord> old_record_;
  std::uint64_t old_version_ = 0;
  std::vector<WriteLedger> delayed_writes_;
  std::vector<std::size_t> delayed_runs_;
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
