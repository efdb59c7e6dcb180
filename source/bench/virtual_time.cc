#include "bench/virtual_time.h"

#include <utility>

namespace wisteriayoke {

void VirtualTime::Schedule(Duration delay, std::function<void()> call) {
  entries_.push({now_ + delay, next_number_++, std::move(call)});
}

void VirtualTime::RunUntil(TimePoint end) {
  while (!entries_.empty() && entries_.top().time <= end) {
    const Entry entry = entries_.top();
    entries_.pop();
    now_ = entry.time;
    entry.call();
  }
  now_ = end;
}

}  // namespace wisteriayoke
