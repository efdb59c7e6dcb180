#ifndef WISTERIAYOKE_BENCH_VIRTUAL_TIME_H_
#define WISTERIAYOKE_BENCH_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/time_types.h"

namespace wisteriayoke {

/// Event queue with a virtual clock. Runs calls in the order of their times,
/// and calls with equal times in the order in which they were scheduled.
class VirtualTime {
 public:
  TimePoint Now() const { return now_; }

  void Schedule(Duration delay, std::function<void()> call);

  /// Runs all calls due by `end` and sets the clock to `end`.
  void RunUntil(TimePoint end);

 private:
  struct Entry {
    TimePoint time;
    std::uint64_t number = 0;
    std::function<void()> call;

    friend bool operator>(const Entry& a, const Entry& b) {
      return a.time != b.time ? a.time > b.time : a.number > b.number;
    }
  };

  TimePoint now_;
  std::uint64_t next_number_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_VIRTUAL_TIME_H_
