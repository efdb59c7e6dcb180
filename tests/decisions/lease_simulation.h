#ifndef WISTERIAYOKE_TESTS_DECISIONS_LEASE_SIMULATION_H_
#define WISTERIAYOKE_TESTS_DECISIONS_LEASE_SIMULATION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/names_table.h"
#include "decisions/lease_manager.h"

namespace wisteriayoke {

/// A rule of the lease that a test disables to check that the property fails.
enum class DisabledLeaseRule {
  kNone,
  kSendAfterEnd,
  kCountFromAnswer,
  kForgetOrders,
  kForgetDrift,
  kWriteUnconditionally,
};

inline constexpr auto kDisabledLeaseRuleNames =
    MakeNamesTable<DisabledLeaseRule>({
        {DisabledLeaseRule::kNone, "none"},
        {DisabledLeaseRule::kSendAfterEnd, "send-after-end"},
        {DisabledLeaseRule::kCountFromAnswer, "count-from-answer"},
        {DisabledLeaseRule::kForgetOrders, "forget-orders"},
        {DisabledLeaseRule::kForgetDrift, "forget-drift"},
        {DisabledLeaseRule::kWriteUnconditionally, "write-unconditionally"},
    });

/// Simulates three lease managers with drifting clocks that contend for one
/// lease in a model of the table service and send orders to an engine that
/// checks no fencing number. A sequence of numbers chooses each next step among
/// the possible ones; a contender that isn't chosen is paused.
class LeaseSimulation {
 public:
  explicit LeaseSimulation(DisabledLeaseRule disabled_rule);

  /// Runs the steps selected by `choices`; returns the first violation, if any.
  std::optional<std::string> Simulate(
      const std::vector<std::uint32_t>& choices);

  std::size_t holders() const { return last_effect_; }

 private:
  static constexpr std::size_t kContenders = 3;
  static constexpr Duration::rep kDrift = 300;

  struct Contender {
    LeaseManager lease;
    Duration::rep clock_per_mille;
    std::uint32_t tick_weight = 1;  ///< Number of steps that are a tick.
    std::optional<LeaseAction> call;
    std::optional<LeaseEvent> reply;
    FencingNumber last_written = 0;
    TimePoint last_answer;
  };
  /// An order that takes effect as late as the stated bound allows.
  struct DelayedOrder {
    FencingNumber fencing;
    Duration takes_effect_at;
  };
  using Step = std::function<void()>;

  static LeaseLimits LimitsOf(DisabledLeaseRule disabled_rule);
  void ListSteps(std::vector<Step>& steps);
  void ListContenderSteps(std::size_t index, std::vector<Step>& steps);
  void ListCallSteps(std::size_t index, std::vector<Step>& steps);
  void Feed(std::size_t index, const LeaseEvent& event);
  LeaseEvent Execute(const LeaseAction& action);
  void SendOrder(std::size_t index, bool delayed);
  void TakeEffect(FencingNumber fencing);
  void Advance(Duration time);
  TimePoint ClockOf(const Contender& contender) const;

  DisabledLeaseRule disabled_rule_;
  std::vector<Contender> contenders_;
  Duration time_{0};
  std::optional<LeaseRecord> record_;
  std::uint64_t version_ = 0;
  std::vector<WriteLease> delayed_writes_;
  std::deque<DelayedOrder> delayed_orders_;
  FencingNumber last_effect_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_DECISIONS_LEASE_SIMULATION_H_
