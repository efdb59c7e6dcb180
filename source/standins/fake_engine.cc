#include "standins/fake_engine.h"

#include <utility>

#include "runtime/http_client_call.h"
#include "standins/fake_generation.h"
#include "wire/engine_codec.h"

namespace wisteriayoke {

FakeEngine::FakeEngine(EventLoop& loop, const StandinOptions& options)
    : loop_(loop), options_(options) {}

void FakeEngine::Handle(const HttpRequest& request,
                        const std::shared_ptr<HttpServerSession>& caller) {
  if (request.target == "/generate") return Generate(request, caller);
  if (request.target == "/forward") return Forward(request, caller);
  caller->Respond({{200, {}}, "ok"});
}

void FakeEngine::Generate(const HttpRequest& request,
                          const std::shared_ptr<HttpServerSession>& caller) {
  LastReason reason;
  auto generate = ParseGenerate(request.body, reason);
  if (!generate) return caller->Respond({{400, {}}, reason.message()});
  std::make_shared<FakeGeneration>(loop_, options_, std::move(*generate),
                                   caller)
      ->Start();
}

void FakeEngine::Forward(const HttpRequest& request,
                         const std::shared_ptr<HttpServerSession>& caller) {
  LastReason reason;
  auto forward = ParseForward(request.body, reason);
  if (!forward) return caller->Respond({{400, {}}, reason.message()});
  forward->passed.push_back(options_.layers);
  if (forward->next_stages.empty()) {
    return caller->Respond({{200, {}}, EncodeForward(*forward)});
  }
  SendForward(loop_, std::move(*forward), [caller](const FetchResult& result) {
    const bool good = result.code == ResultCode::kOk;
    caller->Respond({{good ? result.response.head.status : 502, {}},
                     good ? result.response.body : result.message});
  });
}

}  // namespace wisteriayoke
