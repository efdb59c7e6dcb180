#include "standins/fake_service.h"

namespace wisteriayoke {

FakeService::FakeService(EventLoop& /*loop*/,
                         const StandinOptions& /*options*/) {}

void FakeService::Handle(const HttpRequest& request,
                         const std::shared_ptr<HttpServerSession>& caller) {
  if (request.target == "/health") return caller->Respond({{200, {}}, "ok"});
  if (request.target.starts_with("/runs?")) {
    const std::string body =
        request.target.substr(request.target.find('?') + 1);
    return caller->Respond({{200, {}}, std::to_string(runs_[body])});
  }
  if (request.method == "POST") return caller->Respond(RunHold(request.body));
  caller->Respond(
      {{200, {{"Content-Type", "application/json"}}}, R"({"remaining":12})"});
}

HttpResponse FakeService::RunHold(const std::string& body) {
  ++runs_[body];
  return {{201, {{"Content-Type", "application/json"}}},
          R"({"hold":)" + std::to_string(next_hold_++) + "}"};
}

}  // namespace wisteriayoke
