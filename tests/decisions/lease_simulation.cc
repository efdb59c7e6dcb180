#include "lease_simulation.h"

#include <algorithm>
#include <utility>

namespace wisteriayoke {
namespace {

constexpr Duration::rep kMille = 1000;
constexpr Duration kLongestOrder = std::chrono::seconds(8);
constexpr Duration kLength = std::chrono::seconds(10);
constexpr std::uint32_t kUsualWeight = 4;
constexpr std::uint32_t kMaxTickWeight = 5;

LeaseOperation OperationOf(const LeaseAction& action) {
  return std::visit([](const auto& each) { return each.operation; }, action);
}

}  // namespace

LeaseLimits LeaseSimulation::LimitsOf(DisabledLeaseRule disabled_rule) {
  return {.length = kLength,
          .margin = Duration(0),
          .max_order_delay = disabled_rule == DisabledLeaseRule::kForgetOrders
                                 ? Duration(0)
                                 : kLongestOrder,
          .drift_per_mille = disabled_rule == DisabledLeaseRule::kForgetDrift
                                 ? 0U
                                 : static_cast<std::uint32_t>(kDrift)};
}

LeaseSimulation::LeaseSimulation(DisabledLeaseRule disabled_rule)
    : disabled_rule_(disabled_rule) {
  for (std::size_t i = 0; i < kContenders; ++i) {
    const auto drift = (static_cast<Duration::rep>(i) - 1) * kDrift;
    contenders_.push_back(
        {.lease = LeaseManager(DaemonName("daemon"), std::to_string(i),
                               LimitsOf(disabled_rule)),
         .clock_per_mille = kMille + drift});
  }
}

std::optional<std::string> LeaseSimulation::Simulate(
    const std::vector<std::uint32_t>& choices) {
  for (std::size_t i = 0; i < kContenders && i < choices.size(); ++i) {
    contenders_[i].tick_weight = 1 + choices[i] % kMaxTickWeight;
  }
  for (const std::uint32_t number : choices) {
    std::vector<Step> steps;
    ListSteps(steps);
    steps[number % steps.size()]();
    if (violation_) break;
  }
  return violation_;
}

TimePoint LeaseSimulation::ClockOf(const Contender& contender) const {
  return TimePoint(time_ * contender.clock_per_mille / kMille);
}

void LeaseSimulation::ListSteps(std::vector<Step>& steps) {
  for (std::size_t i = 0; i < kContenders; ++i) ListContenderSteps(i, steps);
  for (const auto ms : {500, 2000, 4000, 8000}) {
    steps.push_back([this, ms] { Advance(std::chrono::milliseconds(ms)); });
  }
  if (!delayed_writes_.empty()) {
    steps.push_back([this] {
      const WriteLease write = delayed_writes_.back();
      delayed_writes_.pop_back();
      Execute(write);
    });
  }
}

void LeaseSimulation::ListContenderSteps(std::size_t index,
                                         std::vector<Step>& steps) {
  steps.push_back([this, index] { SendOrder(index, false); });
  steps.push_back([this, index] { SendOrder(index, true); });
  if (contenders_[index].call) return ListCallSteps(index, steps);
  for (std::uint32_t i = 0; i < contenders_[index].tick_weight; ++i) {
    // The first two have rank 0, the third reads half as often.
    steps.push_back([this, index] { Feed(index, LeaseTick{index / 2}); });
  }
}

void LeaseSimulation::ListCallSteps(std::size_t index,
                                    std::vector<Step>& steps) {
  const auto answer = [this, index](const LeaseEvent& event) {
    contenders_[index].call.reset();
    contenders_[index].reply.reset();
    Feed(index, event);
  };
  Contender& contender = contenders_[index];
  const LeaseOperation operation = OperationOf(*contender.call);
  steps.push_back([this, index, answer, operation] {
    const Contender& failing = contenders_[index];
    const auto* write = std::get_if<WriteLease>(&*failing.call);
    if (write != nullptr && !failing.reply) delayed_writes_.push_back(*write);
    answer(LeaseCallFailed{operation});
  });
  for (std::uint32_t i = 0; i < kUsualWeight; ++i) {
    if (contender.reply) {
      steps.push_back([this, index, answer] {
        contenders_[index].last_answer = ClockOf(contenders_[index]);
        answer(LeaseEvent(*contenders_[index].reply));
      });
    } else {
      steps.push_back([this, index] {
        contenders_[index].reply = Execute(*contenders_[index].call);
      });
    }
  }
}

void LeaseSimulation::Feed(std::size_t index, const LeaseEvent& event) {
  Contender& contender = contenders_[index];
  for (const auto& action : contender.lease.Handle(event, ClockOf(contender))) {
    contender.call = action;
    if (const auto* write = std::get_if<WriteLease>(&action)) {
      contender.last_written = write->record.fencing;
    }
  }
}

LeaseEvent LeaseSimulation::Execute(const LeaseAction& action) {
  const auto* write = std::get_if<WriteLease>(&action);
  if (write == nullptr) {
    return LeaseRead{OperationOf(action), record_, version_};
  }
  if (disabled_rule_ != DisabledLeaseRule::kWriteUnconditionally &&
      write->expected != version_) {
    return LeaseConflicted{write->operation, record_, version_};
  }
  record_ = write->record;
  return LeaseWritten{write->operation, ++version_};
}

void LeaseSimulation::SendOrder(std::size_t index, bool delayed) {
  const Contender& contender = contenders_[index];
  const TimePoint now = ClockOf(contender);
  auto fencing = contender.lease.FencingNumberAt(now);
  const bool was_holder =
      contender.last_written != 0 && record_ &&
      contender.lease.FencingNumberAt(TimePoint()).has_value();
  if (disabled_rule_ == DisabledLeaseRule::kSendAfterEnd && was_holder) {
    fencing = contender.lease.FencingNumberAt(TimePoint());
  }
  if (disabled_rule_ == DisabledLeaseRule::kCountFromAnswer && was_holder &&
      now < contender.last_answer + kLength) {
    fencing = contender.lease.FencingNumberAt(TimePoint());
  }
  if (!fencing) return;
  if (!delayed) return TakeEffect(*fencing);
  delayed_orders_.push_back({*fencing, time_ + kLongestOrder});
}

void LeaseSimulation::TakeEffect(FencingNumber fencing) {
  if (fencing < last_effect_) {
    violation_ = "an order of holder " + std::to_string(fencing) +
                 " took effect after one of holder " +
                 std::to_string(last_effect_);
  }
  last_effect_ = std::max(last_effect_, fencing);
}

void LeaseSimulation::Advance(Duration time) {
  time_ += time;
  // The queue is sorted by time, since all orders take equally long.
  while (!delayed_orders_.empty() &&
         delayed_orders_.front().takes_effect_at <= time_) {
    TakeEffect(delayed_orders_.front().fencing);
    delayed_orders_.pop_front();
  }
}

}  // namespace wisteriayoke
