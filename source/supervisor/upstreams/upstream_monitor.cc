#include "supervisor/upstreams/upstream_monitor.h"

#include <utility>

#include "decisions/poll_interval.h"
#include "supervisor/context/leaving_handler.h"

namespace wisteriayoke {
namespace {

constexpr Duration kHealthTimeout = std::chrono::milliseconds(500);
constexpr int kStatusLeaving = 503;

}  // namespace

UpstreamMonitor::UpstreamMonitor(DaemonContext context, UpstreamSpec spec,
                                 FailureHandler on_failure)
    : context_(context),
      spec_(std::move(spec)),
      on_failure_(std::move(on_failure)) {}

bool UpstreamMonitor::Start(LastReason& /*reason*/) {
  Poll();
  return true;
}

void UpstreamMonitor::Stop(const std::function<void()>& done) {
  stopped_ = true;
  poll_timer_.reset();
  done();
}

void UpstreamMonitor::Poll() {
  FetchResponse(context_.loop, spec_.endpoint,
                {.method = "GET", .target = "/health"},
                {.idle_timeout = kHealthTimeout},
                [self = shared_from_this()](const FetchResult& result) {
                  if (!self->stopped_) self->HandleHealth(result);
                });
}

void UpstreamMonitor::HandleHealth(const FetchResult& result) {
  if (result.code == ResultCode::kOk) {
    HandleLeavingEvent(context_, UpstreamLeavingReport{
                                     spec_.name, result.response.head.status ==
                                                     kStatusLeaving});
  }
  ScheduleNextPoll();
}

void UpstreamMonitor::ScheduleNextPoll() {
  DaemonState& state = context_.state;
  const std::size_t upstreams =
      state.tables ? state.tables->CountUpstreams() : 0;
  const Duration interval = ComputePollInterval(
      upstreams, context_.settings.Milliseconds(SettingKey::kLoadPollInterval));
  poll_timer_ = context_.loop.Schedule(
      JitterPollInterval(interval, state.random), [this] { Poll(); });
}

}  // namespace wisteriayoke
