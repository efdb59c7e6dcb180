#ifndef WISTERIAYOKE_RUNTIME_EVENT_LOOP_H_
#define WISTERIAYOKE_RUNTIME_EVENT_LOOP_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/time_types.h"
#include "decisions/boot_time.h"
#include "runtime/loop_timer.h"
#include "runtime/memory_guard.h"

namespace wisteriayoke {

/// The event loop of a process. All sessions and timers run on the thread that
/// calls `Run`, which blocks in the kernel while there is nothing to do.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until `Stop` is called, also while no work is pending.
  void Run();
  void Stop();

  /// Returns the time of the monotonic clock.
  TimePoint Now() const;

  /// Returns the time since the instance's boot, including time suspended.
  BootTime BootNow() const;

  /// Runs `call` on the next turn of the loop.
  void Post(std::function<void()> call);

  /// Runs `call` after `delay` unless the returned timer is destroyed first.
  [[nodiscard]] LoopTimerPtr Schedule(Duration delay,
                                      std::function<void()> call);

  /// Calls `handler` with the number of each SIGTERM or SIGINT.
  void WatchStopSignals(std::function<void(int)> handler);

  /// Calls `handler` with the number of each SIGHUP.
  void WatchReloadSignal(std::function<void(int)> handler);

  asio::io_context& context() { return context_; }

  /// Returns the guard of the memory that the loop's connections hold.
  MemoryGuard& memory() { return memory_; }
  const MemoryGuard& memory() const { return memory_; }

 private:
  class SignalWatcher;

  MemoryGuard memory_{*this};  ///< Outlives the sessions that `context_` holds.
  asio::io_context context_;
  std::unique_ptr<SignalWatcher> stop_signals_;
  std::unique_ptr<SignalWatcher> reload_signal_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_EVENT_LOOP_H_
