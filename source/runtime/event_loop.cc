#include "runtime/event_loop.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <ctime>
#include <initializer_list>
#include <utility>

#include "base/fault.h"

namespace wisteriayoke {

/// Calls a handler for each of a set of signals.
class EventLoop::SignalWatcher {
 public:
  SignalWatcher(asio::io_context& context, std::initializer_list<int> numbers,
                std::function<void(int)> handler)
      : signals_(context), handler_(std::move(handler)) {
    for (const int number : numbers) signals_.add(number);
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait([this](const asio::error_code& error, int number) {
      if (error) return;
      RunGuarded(FaultBoundary::kSignal, [&] { handler_(number); });
      Wait();
    });
  }

  asio::signal_set signals_;
  std::function<void(int)> handler_;
};

EventLoop::EventLoop() : context_(1) {}

EventLoop::~EventLoop() { memory_.Stop(); }

void EventLoop::Run() {
  const auto guard = asio::make_work_guard(context_);
  while (!RunGuarded(FaultBoundary::kLoop, [this] { context_.run(); })) {
  }
}

void EventLoop::Stop() { context_.stop(); }

TimePoint EventLoop::Now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

BootTime EventLoop::BootNow() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return BootTime(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

void EventLoop::Post(std::function<void()> call) {
  asio::post(context_, std::move(call));
}

LoopTimerPtr EventLoop::Schedule(Duration delay, std::function<void()> call) {
  return std::make_unique<LoopTimer>(context_, delay, std::move(call));
}

void EventLoop::WatchStopSignals(std::function<void(int)> handler) {
  stop_signals_ = std::make_unique<SignalWatcher>(
      context_, std::initializer_list<int>{SIGINT, SIGTERM},
      std::move(handler));
}

void EventLoop::WatchReloadSignal(std::function<void(int)> handler) {
  reload_signal_ = std::make_unique<SignalWatcher>(
      context_, std::initializer_list<int>{SIGHUP}, std::move(handler));
}

}  // namespace wisteriayoke
