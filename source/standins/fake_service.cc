#include "standins/fake_service.h"

#include <charconv>
#include <utility>

namespace wisteriayoke {
namespace {

constexpr std::string_view kRunsTarget = "/runs?";

Duration ReadDelay(const HttpRequest& request) {
  const std::string_view text = FindField(request.fields, "Fake-Delay-Ms");
  std::int64_t delay = 0;
  std::from_chars(text.data(), text.data() + text.size(), delay);
  return std::chrono::milliseconds(delay);
}

}  // namespace

FakeService::FakeService(EventLoop& loop, const StandinOptions& /*options*/)
    : loop_(loop) {}

void FakeService::Handle(const HttpRequest& request, const Caller& caller) {
  if (HandleControl(request, caller)) return;
  if (request.method == "POST") return HandleHold(request, caller);
  caller->Respond(
      {{200, {{"Content-Type", "application/json"}}}, R"({"remaining":12})"});
}

bool FakeService::HandleControl(const HttpRequest& request,
                                const Caller& caller) {
  if (request.target == "/health") {
    caller->Respond({{leaving_ ? 503 : 200, {}}, leaving_ ? "leaving" : "ok"});
    return true;
  }
  if (request.target == "/leaving" && request.method == "PUT") {
    leaving_ = true;
    caller->Respond({{200, {}}, ""});
    return true;
  }
  if (!request.target.starts_with(kRunsTarget)) return false;
  const std::string body = request.target.substr(kRunsTarget.size());
  caller->Respond({{200, {}}, std::to_string(runs_[body])});
  return true;
}

void FakeService::HandleHold(const HttpRequest& request, const Caller& caller) {
  const auto fault =
      kServiceFaultNames.Find(FindField(request.fields, "Fake-Fault"));
  switch (fault.value_or(ServiceFault::kNone)) {
    case ServiceFault::kNone:
      return caller->Respond(RunHold(request.body));
    case ServiceFault::kCutBefore:
      return caller->Abort();
    case ServiceFault::kCutAfter:
      RunHold(request.body);
      return caller->Abort();
    case ServiceFault::kRunLate:
      return ScheduleCall(request, [this, body = request.body, caller] {
        caller->Respond(RunHold(body));
      });
    case ServiceFault::kAnswerLate:
      return ScheduleCall(request, [answer = RunHold(request.body), caller] {
        caller->Respond(answer);
      });
  }
}

HttpResponse FakeService::RunHold(const std::string& body) {
  ++runs_[body];
  return {{201, {{"Content-Type", "application/json"}}},
          R"({"hold":)" + std::to_string(next_hold_++) + "}"};
}

void FakeService::ScheduleCall(const HttpRequest& request,
                               std::function<void()> call) {
  const std::uint64_t id = next_timer_++;
  timers_[id] =
      loop_.Schedule(ReadDelay(request), [this, id, call = std::move(call)] {
        const LoopTimerPtr running = std::move(timers_[id]);
        timers_.erase(id);
        call();
      });
}

}  // namespace wisteriayoke
