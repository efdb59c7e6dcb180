#ifndef WISTERIAYOKE_STANDINS_FAKE_SERVICE_H_
#define WISTERIAYOKE_STANDINS_FAKE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/names_table.h"
#include "runtime/event_loop.h"
#include "runtime/http_server_session.h"
#include "standins/standin_options.h"

namespace wisteriayoke {

/// Faults of the stand-in service, chosen by each request.
enum class ServiceFault {
  kNone,
  kCutBefore,   ///< Closes the connection without running the request.
  kCutAfter,    ///< Runs the request and closes the connection.
  kRunLate,     ///< Runs the request after a delay.
  kAnswerLate,  ///< Runs the request at once and answers after a delay.
};

inline constexpr auto kServiceFaultNames = MakeNamesTable<ServiceFault>({
    {ServiceFault::kNone, "none"},
    {ServiceFault::kCutBefore, "cut-before"},
    {ServiceFault::kCutAfter, "cut-after"},
    {ServiceFault::kRunLate, "run-late"},
    {ServiceFault::kAnswerLate, "answer-late"},
});

/// Stand-in for a booking service: counts how often each body was run.
/// POST /.../holds runs a hold, with the fault named by Fake-Fault and the
/// delay of Fake-Delay-Ms; GET /runs?BODY returns how often it ran; PUT
/// /leaving makes /health answer that the service is leaving.
class FakeService {
 public:
  FakeService(EventLoop& loop, const StandinOptions& options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller);

 private:
  using Caller = std::shared_ptr<HttpServerSession>;

  bool HandleControl(const HttpRequest& request, const Caller& caller);
  void HandleHold(const HttpRequest& request, const Caller& caller);
  HttpResponse RunHold(const std::string& body);
  void ScheduleCall(const HttpRequest& request, std::function<void()> call);

  EventLoop& loop_;
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t next_hold_ = 1;
  bool leaving_ = false;
  std::map<std::uint64_t, LoopTimerPtr> timers_;
  std::uint64_t next_timer_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_SERVICE_H_
