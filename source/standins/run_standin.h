#ifndef WISTERIAYOKE_STANDINS_RUN_STANDIN_H_
#define WISTERIAYOKE_STANDINS_RUN_STANDIN_H_

#include <memory>
#include <utility>

#include "runtime/event_loop.h"
#include "runtime/http_server.h"
#include "standins/standin_options.h"

namespace wisteriayoke {

/// Runs a server that passes each request to `Standin::Handle` until a stop
/// signal arrives. Returns the exit status of the program.
template <typename Standin>
int RunStandin(const char* program, int argc, const char** argv) {
  LastReason reason;
  const auto options = ParseStandinOptions(program, argc, argv, reason);
  if (!options) return ReportStandinFailure(program, reason);
  EventLoop loop;
  Standin standin(loop, *options);
  const auto server = HttpServer::Create(
      loop, options->listen, {},
      [&standin](HttpRequest request,
                 const std::shared_ptr<HttpServerSession>& caller) {
        standin.Handle(std::move(request), caller);
      },
      [](const LastReason&) {
        return HttpResponse{{400, {}}, "bad request"};
      },
      reason);
  if (!server) return ReportStandinFailure(program, reason);
  loop.WatchStopSignals([&loop](int) { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_RUN_STANDIN_H_
