#include "supervisor/relay/readiness_server.h"

namespace wisteriayoke {
namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

}  // namespace

ReadinessServer::ReadinessServer(DaemonContext context,
                                 const FailureHandler& /*on_failure*/)
    : context_(context) {}

bool ReadinessServer::Start(LastReason& reason) {
  server_ = HttpServer::Create(
      context_.loop, context_.settings.EndpointOf(SettingKey::kReadyAddress),
      {.connections = kMaxConnections, .reserved = true},
      [weak = weak_from_this()](
          const HttpRequest& /*request*/,
          const std::shared_ptr<HttpServerSession>& session) {
        const auto self = weak.lock();
        const bool ready = self && self->IsReady();
        session->Respond({{ready ? kStatusOk : kStatusUnavailable, {}},
                          ready ? "ready\n" : "not ready\n"});
      },
      [](const LastReason&) {
        return HttpResponse{{kStatusUnavailable, {}}, ""};
      },
      reason);
  return server_ != nullptr;
}

void ReadinessServer::Stop(const std::function<void()>& done) {
  server_->StopAccepting();
  server_->TerminateSessions();
  done();
}

bool ReadinessServer::IsReady() const {
  const DaemonState& state = context_.state;
  return state.relay.tables && state.relay.fleet_known && !state.draining &&
         !state.relay.reach.lost() &&
         state.relay.freshness.HasMargin(context_.loop.BootNow());
}

}  // namespace wisteriayoke
