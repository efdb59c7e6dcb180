#ifndef WISTERIAYOKE_DECISIONS_LINK_BUDGET_H_
#define WISTERIAYOKE_DECISIONS_LINK_BUDGET_H_

#include "base/time_types.h"

namespace wisteriayoke {

/// Bounds what one daemon's requests send over the links between data centres.
///
/// A link that is asked for more than it carries delays every request that uses
/// it, so that a path across it is chosen only while there is room.
class LinkBudget {
 public:
  /// How much of the rate can be saved up.
  static constexpr Duration kBurst = std::chrono::milliseconds(500);

  /// Takes `amount` units, such as hidden states, if `rate` units a second
  /// allow it at `now`; otherwise takes nothing. One request may take more than
  /// the burst; the rate then has to make up for it.
  bool TryTake(double amount, double rate, TimePoint now);

 private:
  double balance_ = 0;
  TimePoint updated_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LINK_BUDGET_H_
