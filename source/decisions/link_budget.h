#ifndef WISTERIAYOKE_DECISIONS_LINK_BUDGET_H_
#define WISTERIAYOKE_DECISIONS_LINK_BUDGET_H_

#include "base/time_types.h"

namespace wisteriayoke {

/// Limits what one daemon's requests send over the links between data centres.
///
/// An overloaded link delays every request that uses it, so a path across data
/// centres is chosen only while the budget has room.
class LinkBudget {
 public:
  /// Time over which unused rate accumulates.
  static constexpr Duration kBurst = std::chrono::milliseconds(500);

  /// Takes `amount` units, such as hidden states, and returns true if the
  /// balance at a refill of `rate` units a second is positive at `now`;
  /// otherwise takes nothing. One request may take more than the burst and
  /// leave a negative balance, which must refill before the next is allowed.
  bool TryTake(double amount, double rate, TimePoint now);

 private:
  double balance_ = 0;
  TimePoint updated_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LINK_BUDGET_H_
