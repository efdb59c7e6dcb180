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

/// A rule of the lease that a test disables to show that the property needs it.
enum class BrokenLeaseRule {
  kNone,
  kSendAfterEnd,
  kCountFromAnswer,
  kForgetOrders,
  kForgetDrift,
  kWriteUnconditionally,
};

inline constexpr auto kBrokenLeaseRuleNames = MakeNamesTable<BrokenLeaseRule>({
    {BrokenLeaseRule::kNone, "none"},
    {BrokenLeaseRule::kSendAfterEnd, "send-after-end"},
    {BrokenLeaseRule::kCountFromAnswer, "count-from-answer"},
    {BrokenLeaseRule::kForgetOrders, "forget-orders"},
    {BrokenLeaseRule::kForgetDrift, "forget-drift"},
    {BrokenLeaseRule::kWriteUnconditionally, "write-unconditionally"},
});

/// Three lease managers with drifting clocks contend for one lease in a model
/// of the table service and send orders to an engine that checks no fencing
/// number. A sequence of numbers selects each next step; a contender that isn't
/// selected is paused.
class LeaseSimulation {
 public:
  explicit LeaseSimulation(BrokenLeaseRule broken);

  /// Runs the steps that `choices` select and returns the first violation, if
  /// any.
  std::optional<std::string> Run(const std::vector<std::uint32_t>& choices);

  std::size_t holders() const { return last_effect_; }

 private:
  static constexpr std::size_t kContenders = 3;
  static constexpr Duration::rep kDrift = 300;

  struct Contender {
    LeaseManager lease;
    Duration::rep clock_per_mille;
    std::uint32_t tick_weight = 1;  ///< Number of moves that are a tick.
    std::optional<LeaseAction> call;
    std::optional<LeaseEvent> reply;
    FencingNumber last_written = 0;
    TimePoint last_answer;
  };
  /// An order that takes effect as late as the stated bound allows.
  struct SlowOrder {
    FencingNumber fencing;
    Duration takes_effect_at;
  };
  using Move = std::function<void()>;

  static LeaseLimits LimitsOf(BrokenLeaseRule broken);
  void ListMoves(std::vector<Move>& moves);
  void ListContenderMoves(std::size_t index, std::vector<Move>& moves);
  void ListCallMoves(std::size_t index, std::vector<Move>& moves);
  void Feed(std::size_t index, const LeaseEvent& event);
  LeaseEvent Execute(const LeaseAction& action);
  void SendOrder(std::size_t index, bool slow);
  void TakeEffect(FencingNumber fencing);
  void Advance(Duration time);
  TimePoint ClockOf(const Contender& contender) const;

  BrokenLeaseRule broken_;
  std::vector<Contender> contenders_;
  Duration time_{0};
  std::optional<LeaseRecord> record_;
  std::uint64_t version_ = 0;
  std::vector<WriteLease> late_writes_;
  std::deque<SlowOrder> slow_orders_;
  FencingNumber last_effect_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_DECISIONS_LEASE_SIMULATION_H_
