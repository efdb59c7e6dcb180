#ifndef WISTERIAYOKE_RUNTIME_LOOP_TIMER_H_
#define WISTERIAYOKE_RUNTIME_LOOP_TIMER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "base/time_types.h"

namespace wisteriayoke {

/// Runs one call on the loop after a delay; destroying the timer cancels it.
/// The call may destroy its own timer.
class LoopTimer {
 public:
  LoopTimer(asio::io_context& context, Duration delay,
            std::function<void()> call);
  ~LoopTimer() { *cancelled_ = true; }
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

 private:
  asio::steady_timer timer_;
  std::shared_ptr<bool> cancelled_ = std::make_shared<bool>(false);
};

using LoopTimerPtr = std::unique_ptr<LoopTimer>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_LOOP_TIMER_H_
