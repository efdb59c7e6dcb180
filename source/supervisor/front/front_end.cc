#include "supervisor/front/front_end.h"

#include <utility>

#include "supervisor/context/metrics_page.h"
#include "supervisor/front/caller_answer.h"
#include "supervisor/front/model_session.h"
#include "supervisor/front/service_session.h"
#include "wire/completion_codec.h"
#include "wire/digest.h"

namespace wisteriayoke {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
/// How often a stop looks whether all outcomes are recorded.
constexpr Duration kClaimsCheckInterval = std::chrono::milliseconds(10);
constexpr auto kWorkspaceField = "Wisteriayoke-Workspace";

HttpServerLimits LimitsOf(const Settings& settings) {
  HttpServerLimits limits;
  limits.connections = settings.Count(SettingKey::kMaxConnections);
  limits.message.header_bytes =
      static_cast<std::uint32_t>(settings.Count(SettingKey::kMaxHeaderBytes));
  limits.message.body_bytes = settings.Count(SettingKey::kMaxBodyBytes);
  limits.request_timeout = settings.Milliseconds(SettingKey::kRequestTimeout);
  limits.idle_timeout = settings.Milliseconds(SettingKey::kIdleTimeout);
  limits.write_timeout = settings.Milliseconds(SettingKey::kWriteTimeout);
  return limits;
}

HttpResponse BuildProbeAnswer(bool good, std::string_view text) {
  return {
      {good ? kStatusOk : kStatusUnavailable, {{"Content-Type", "text/plain"}}},
      std::string(text) + "\n"};
}

}  // namespace

FrontEnd::FrontEnd(DaemonContext context, PlatformFinder platform,
                   FailureHandler on_failure)
    : context_(context),
      platform_(std::move(platform)),
      on_failure_(std::move(on_failure)) {}

bool FrontEnd::Start(LastReason& reason) {
  server_ = HttpServer::Create(
      context_.loop, context_.settings.EndpointOf(SettingKey::kFrontAddress),
      LimitsOf(context_.settings),
      [weak = weak_from_this()](HttpRequest request, const CallerPtr& caller) {
        if (const auto self = weak.lock()) {
          return self->Handle(std::move(request), caller);
        }
        caller->Respond(BuildErrorAnswer({}, ResultCode::kDraining,
                                         "the front end is restarting"));
      },
      [&metrics = context_.state.metrics](const LastReason& why) {
        metrics.CountAnswer(why.code());
        return BuildErrorAnswer({}, why.code(), why.message());
      },
      reason);
  if (!server_) return false;
  FollowSuspects();
  return true;
}

/// Hands what peers tell of suspects to the quarantine.
void FrontEnd::FollowSuspects() {
  rumours_ = context_.state.rumours.Subscribe(
      [context = context_](const Rumour& rumour) {
        Quarantine& quarantine = context.state.quarantine;
        const TimePoint now = context.loop.Now();
        if (const auto* suspect = std::get_if<SuspectRumour>(&rumour)) {
          quarantine.Learn(*suspect, now);
        }
        if (const auto* trial = std::get_if<TrialRumour>(&rumour)) {
          quarantine.Learn(*trial, now);
        }
      });
}

void FrontEnd::Stop(std::function<void()> done) {
  server_->StopAccepting();
  server_->Drain([self = shared_from_this(), done = std::move(done)] {
    self->WaitForClaims(done);
  });
}

void FrontEnd::WaitForClaims(std::function<void()> done) {
  if (cut_ || context_.state.open_claims == 0) return done();
  claims_timer_ = context_.loop.Schedule(
      kClaimsCheckInterval,
      [this, done = std::move(done)] { WaitForClaims(done); });
}

void FrontEnd::CutSessions() {
  cut_ = true;
  server_->CutSessions();
}

void FrontEnd::Handle(HttpRequest request, const CallerPtr& caller) {
  if (HandleProbe(PathOf(request.target), caller)) return;
  RouteRequest(std::move(request), caller);
}

bool FrontEnd::HandleProbe(std::string_view path, const CallerPtr& caller) {
  if (path == "/livez") {
    caller->Respond(BuildProbeAnswer(true, "alive"));
    return true;
  }
  if (path == "/metrics") {
    caller->Respond(BuildMetricsPage(context_.state));
    return true;
  }
  if (path == "/readyz") {
    const bool ready = context_.state.ready();
    caller->Respond(BuildProbeAnswer(ready, ready ? "ready" : "not ready"));
    return true;
  }
  return false;
}

RequestId FrontEnd::NextRequestId() {
  const std::uint64_t number = ++context_.state.requests_started;
  return RequestId(
      context_.settings.Text(SettingKey::kDaemonName) + "-" +
      std::to_string(context_.loop.Now().time_since_epoch().count()) + "-" +
      std::to_string(number));
}

void FrontEnd::RouteRequest(HttpRequest request, const CallerPtr& caller) {
  const RequestId id = NextRequestId();
  const auto refuse = [this, &id, &caller](ResultCode code,
                                           std::string_view why) {
    context_.state.metrics.CountAnswer(code);
    caller->Respond(BuildErrorAnswer(id, code, why));
  };
  const DaemonState& state = context_.state;
  if (!state.tables) {
    return refuse(ResultCode::kNotReady, "no tables are in force yet");
  }
  if (state.draining) {
    return refuse(ResultCode::kDraining, "this daemon is stopping");
  }
  const WorkspaceName workspace(
      std::string(FindField(request.fields, kWorkspaceField)));
  if (state.tables->FindWorkspace(workspace) == nullptr) {
    return refuse(ResultCode::kUnknownWorkspace,
                  "no workspace \"" + workspace.text() + "\"");
  }
  const Route* route = state.tables->FindRoute(PathOf(request.target));
  if (route == nullptr) {
    return refuse(ResultCode::kUnknownRoute,
                  "no route matches " + request.target);
  }
  if (route->kind == RouteKind::kModel) {
    return StartModelSession(*route, request, id, caller);
  }
  StartServiceSession(*route, std::move(request), id, caller);
}

void FrontEnd::StartServiceSession(const Route& route, HttpRequest request,
                                   const RequestId& id,
                                   const CallerPtr& caller) {
  const WorkspaceName workspace(
      std::string(FindField(request.fields, kWorkspaceField)));
  const auto session =
      ServiceSession::Create(context_, platform_,
                             {context_.state.tables, route, workspace, id,
                              std::move(request), caller});
  if (session) session->Start();
}

void FrontEnd::StartModelSession(const Route& route, const HttpRequest& request,
                                 const RequestId& id, const CallerPtr& caller) {
  const bool chat = PathOf(request.target).ends_with("/chat/completions");
  LastReason reason;
  auto completion = ParseCompletion(request.body, chat, reason);
  if (!completion) {
    context_.state.metrics.CountAnswer(reason.code());
    return caller->Respond(
        BuildErrorAnswer(id, reason.code(), reason.message()));
  }
  const std::string workspace(FindField(request.fields, kWorkspaceField));
  std::string fingerprint =
      ComputeDigest(workspace + "\n" + route.name.text() + "\n" + request.body);
  std::make_shared<ModelSession>(context_, context_.state.tables, route, id,
                                 std::move(fingerprint), std::move(*completion),
                                 caller)
      ->Start();
}

}  // namespace wisteriayoke
