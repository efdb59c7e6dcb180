#include "runtime/event_loop.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <utility>

namespace wisteriayoke {

/// Waits for the signals that ask the process to stop.
class EventLoop::SignalWatch {
 public:
  SignalWatch(asio::io_context& context, std::function<void(int)> handler)
      : signals_(context, SIGINT, SIGTERM), handler_(std::move(handler)) {
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait([this](const asio::error_code& error, int number) {
      if (error) return;
      handler_(number);
      Wait();
    });
  }

  asio::signal_set signals_;
  std::function<void(int)> handler_;
};

EventLoop::EventLoop() : context_(1) {}

EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  const auto guard = asio::make_work_guard(context_);
  context_.run();
}

void EventLoop::Stop() { context_.stop(); }

TimePoint EventLoop::Now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void EventLoop::Post(std::function<void()> call) {
  asio::post(context_, std::move(call));
}

LoopTimerPtr EventLoop::Schedule(Duration delay, std::function<void()> call) {
  return std::make_unique<LoopTimer>(context_, delay, std::move(call));
}

void EventLoop::WatchStopSignals(std::function<void(int)> handler) {
  signals_ = std::make_unique<SignalWatch>(context_, std::move(handler));
}

}  // namespace wisteriayoke
