#include "runtime/loop_timer.h"

#include <utility>

namespace wisteriayoke {

LoopTimer::LoopTimer(asio::io_context& context, Duration delay,
                     std::function<void()> call)
    : timer_(context, delay) {
  timer_.async_wait([cancelled = cancelled_,
                     call = std::move(call)](const asio::error_code& error) {
    if (!error && !*cancelled) call();
  });
}

}  // namespace wisteriayoke
