#include "decisions/link_budget.h"

#include <algorithm>

namespace wisteriayoke {

bool LinkBudget::TryTake(double amount, double rate, TimePoint now) {
  const double passed = std::chrono::duration<double>(now - updated_).count();
  updated_ = now;
  const double max_balance =
      rate * std::chrono::duration<double>(kBurst).count();
  balance_ = std::min(max_balance, balance_ + passed * rate);
  if (balance_ <= 0) return false;
  balance_ -= amount;
  return true;
}

}  // namespace wisteriayoke
