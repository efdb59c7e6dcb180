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

LeaseLimits LeaseSimulation::LimitsOf(BrokenLeaseRule broken) {
  return {.length = kLength,
          .margin = Duration(0),
          .max_order_delay = broken == BrokenLeaseRule::kForgetOrders
                                 ? Duration(0)
                                 : kLongestOrder,
          .drift_per_mille = broken == BrokenLeaseRule::kForgetDrift
                                 ? 0U
                                 : static_cast<std::uint32_t>(kDrift)};
}

LeaseSimulation::LeaseSimulation(BrokenLeaseRule broken) : broken_(broken) {
  for (std::size_t i = 0; i < kKeepers; ++i) {
    const auto drift = (static_cast<Duration::rep>(i) - 1) * kDrift;
    keepers_.push_back(
        {.lease = LeaseManager(DaemonName("daemon"), std::to_string(i),
                               LimitsOf(broken)),
         .clock_per_mille = kMille + drift});
  }
}

std::optional<std::string> LeaseSimulation::Play(
    const std::vector<std::uint32_t>& tape) {
  for (std::size_t i = 0; i < kKeepers && i < tape.size(); ++i) {
    keepers_[i].tick_weight = 1 + tape[i] % kMaxTickWeight;
  }
  for (const std::uint32_t number : tape) {
    std::vector<Move> moves;
    ListMoves(moves);
    moves[number % moves.size()]();
    if (violation_) break;
  }
  return violation_;
}

TimePoint LeaseSimulation::ClockOf(const Keeper& keeper) const {
  return TimePoint(time_ * keeper.clock_per_mille / kMille);
}

void LeaseSimulation::ListMoves(std::vector<Move>& moves) {
  for (std::size_t i = 0; i < kKeepers; ++i) ListKeeperMoves(i, moves);
  for (const auto step : {500, 2000, 4000, 8000}) {
    moves.push_back([this, step] { Advance(std::chrono::milliseconds(step)); });
  }
  if (!floating_writes_.empty()) {
    moves.push_back([this] {
      const WriteLease write = floating_writes_.back();
      floating_writes_.pop_back();
      Execute(write);
    });
  }
}

void LeaseSimulation::ListKeeperMoves(std::size_t index,
                                      std::vector<Move>& moves) {
  moves.push_back([this, index] { SendOrder(index, false); });
  moves.push_back([this, index] { SendOrder(index, true); });
  if (keepers_[index].call) return ListCallMoves(index, moves);
  for (std::uint32_t i = 0; i < keepers_[index].tick_weight; ++i) {
    // The first two are of the highest rank, the third looks half as often.
    moves.push_back([this, index] { Feed(index, LeaseTick{index / 2}); });
  }
}

void LeaseSimulation::ListCallMoves(std::size_t index,
                                    std::vector<Move>& moves) {
  const auto answer = [this, index](const LeaseEvent& event) {
    keepers_[index].call.reset();
    keepers_[index].reply.reset();
    Feed(index, event);
  };
  Keeper& keeper = keepers_[index];
  const LeaseOperation operation = OperationOf(*keeper.call);
  moves.push_back([this, index, answer, operation] {
    const Keeper& failing = keepers_[index];
    const auto* write = std::get_if<WriteLease>(&*failing.call);
    if (write != nullptr && !failing.reply) floating_writes_.push_back(*write);
    answer(LeaseCallFailed{operation});
  });
  for (std::uint32_t i = 0; i < kUsualWeight; ++i) {
    if (keeper.reply) {
      moves.push_back([this, index, answer] {
        keepers_[index].last_answer = ClockOf(keepers_[index]);
        answer(LeaseEvent(*keepers_[index].reply));
      });
    } else {
      moves.push_back([this, index] {
        keepers_[index].reply = Execute(*keepers_[index].call);
      });
    }
  }
}

void LeaseSimulation::Feed(std::size_t index, const LeaseEvent& event) {
  Keeper& keeper = keepers_[index];
  for (const auto& action : keeper.lease.Handle(event, ClockOf(keeper))) {
    keeper.call = action;
    if (const auto* write = std::get_if<WriteLease>(&action)) {
      keeper.last_written = write->record.fencing;
    }
  }
}

LeaseEvent LeaseSimulation::Execute(const LeaseAction& action) {
  const auto* write = std::get_if<WriteLease>(&action);
  if (write == nullptr) {
    return LeaseRead{OperationOf(action), record_, version_};
  }
  if (broken_ != BrokenLeaseRule::kWriteUnconditionally &&
      write->expected != version_) {
    return LeaseConflicted{write->operation, record_, version_};
  }
  record_ = write->record;
  return LeaseWritten{write->operation, ++version_};
}

void LeaseSimulation::SendOrder(std::size_t index, bool slow) {
  const Keeper& keeper = keepers_[index];
  const TimePoint now = ClockOf(keeper);
  auto fencing = keeper.lease.FencingNumberAt(now);
  const bool was_holder = keeper.last_written != 0 && record_ &&
                          keeper.lease.FencingNumberAt(TimePoint()).has_value();
  if (broken_ == BrokenLeaseRule::kSendAfterEnd && was_holder) {
    fencing = keeper.lease.FencingNumberAt(TimePoint());
  }
  if (broken_ == BrokenLeaseRule::kCountFromAnswer && was_holder &&
      now < keeper.last_answer + kLength) {
    fencing = keeper.lease.FencingNumberAt(TimePoint());
  }
  if (!fencing) return;
  if (!slow) return TakeEffect(*fencing);
  slow_orders_.push_back({*fencing, time_ + kLongestOrder});
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
  // Orders were sent in the order of their times and take equally long.
  while (!slow_orders_.empty() && slow_orders_.front().lands <= time_) {
    TakeEffect(slow_orders_.front().fencing);
    slow_orders_.pop_front();
  }
}

}  // namespace wisteriayoke
