#include "supervisor/front/front_end.h"

#include <utility>

#include "supervisor/context/metrics_page.h"
#include "supervisor/context/server_limits.h"
#include "supervisor/front/caller_answer.h"
#include "supervisor/front/model_session.h"
#include "supervisor/front/service_session.h"
#include "wire/completion_codec.h"
#include "wire/digest.h"

namespace wisteriayoke {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
/// Time between checks by a stop whether all outcomes are recorded.
constexpr Duration kClaimsCheckInterval = std::chrono::milliseconds(10);
constexpr auto kWorkspaceField = "Wisteriayoke-Workspace";

HttpResponse BuildProbeAnswer(bool good, std::string_view text) {
  return {
      {good ? kStatusOk : kStatusUnavailable, {{"Content-Type", "text/plain"}}},
      std::string(text) + "\n"};
}

/// Returns whether an earlier send of the request may have run, as far as the
/// request shows without the ledger.
bool MayHaveRunBefore(const Route& route, const HttpRequest& request) {
  return !route.idempotent &&
         !FindField(request.fields, "Idempotency-Key").empty() &&
         FindField(request.fields, "Wisteriayoke-Send") != "1";
}

HttpResponse BuildRefusal(const RequestId& id, const RefuseRequest& refusal,
                          bool may_have_run) {
  if (!may_have_run) {
    return BuildErrorAnswer(id, refusal.code, "the pool's queue is full",
                            refusal.retry_after);
  }
  return BuildErrorAnswer(id, ResultCode::kOutcomeUnknown,
                          "this send was not run, but an earlier send of the "
                          "key may have been; resend it later",
                          refusal.retry_after);
}

}  // namespace

FrontEnd::FrontEnd(DaemonContext context, TableServiceFinder table_service,
                   FailureHandler on_failure)
    : context_(context),
      table_service_(std::move(table_service)),
      on_failure_(std::move(on_failure)) {}

bool FrontEnd::Start(LastReason& reason) {
  if (!context_.state.admission) {
    context_.state.admission = std::make_shared<AdmissionGate>(context_);
  }
  server_ = HttpServer::Create(
      context_.loop, context_.settings.EndpointOf(SettingKey::kFrontAddress),
      ReadServerLimits(context_.settings),
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
  suspect_updates_ = FollowSuspects(context_);
  return true;
}

void FrontEnd::Stop(std::function<void()> done) {
  server_->StopAccepting();
  server_->Drain([self = shared_from_this(), done = std::move(done)] {
    self->WaitForClaims(done);
  });
}

void FrontEnd::WaitForClaims(std::function<void()> done) {
  if (terminated_ || context_.state.open_claims == 0) return done();
  claims_timer_ = context_.loop.Schedule(
      kClaimsCheckInterval,
      [this, done = std::move(done)] { WaitForClaims(done); });
}

void FrontEnd::TerminateSessions() {
  terminated_ = true;
  server_->TerminateSessions();
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
    caller->Respond(BuildMetricsPage(context_));
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
  const Workspace* known = state.tables->FindWorkspace(workspace);
  if (known == nullptr) {
    return refuse(ResultCode::kUnknownWorkspace,
                  "no workspace \"" + workspace.text() + "\"");
  }
  const Route* route = state.tables->FindRoute(PathOf(request.target));
  if (route == nullptr) {
    return refuse(ResultCode::kUnknownRoute,
                  "no route matches " + request.target);
  }
  RoutedRequest routed{state.tables,       *known, *route, id,
                       std::move(request), caller};
  if (route->kind == RouteKind::kModel) {
    return StartModelSession(routed);
  }
  StartServiceSession(std::move(routed));
}

void FrontEnd::Admit(const RoutedRequest& routed, std::uint32_t max_tokens,
                     std::function<void(AdmissionTicketPtr)> start) {
  PendingRequest pending;
  pending.pool = routed.route.pool;
  pending.request.workspace = routed.workspace.name;
  pending.request.weight = routed.workspace.weight;
  pending.request.priority = routed.route.priority;
  pending.request.latest_start = context_.loop.Now() + routed.route.deadline;
  pending.max_tokens = max_tokens;
  pending.arrival = context_.loop.Now();
  pending.start = std::move(start);
  const bool may_have_run = MayHaveRunBefore(routed.route, routed.request);
  pending.refuse = [&metrics = context_.state.metrics, id = routed.id,
                    caller = routed.caller,
                    may_have_run](const RefuseRequest& refusal) {
    metrics.CountAnswer(may_have_run ? ResultCode::kOutcomeUnknown
                                     : refusal.code);
    caller->Respond(BuildRefusal(id, refusal, may_have_run));
  };
  const auto gate = context_.state.admission;
  const TicketNumber ticket = gate->Offer(std::move(pending));
  if (!gate->IsWaiting(routed.route.pool, ticket)) return;
  routed.caller->set_on_closed([gate, pool = routed.route.pool, ticket] {
    gate->Withdraw(pool, ticket);
  });
}

void FrontEnd::StartServiceSession(RoutedRequest routed) {
  auto shared = std::make_shared<RoutedRequest>(std::move(routed));
  Admit(
      *shared, 0,
      [context = context_, table_service = table_service_,
       shared](AdmissionTicketPtr ticket) {
        const auto session = ServiceSession::Create(
            context, table_service,
            {shared->tables, shared->route, shared->workspace.name, shared->id,
             std::move(shared->request), shared->caller, std::move(ticket)});
        if (session) session->Start();
      });
}

void FrontEnd::StartModelSession(const RoutedRequest& routed) {
  const bool chat =
      PathOf(routed.request.target).ends_with("/chat/completions");
  LastReason reason;
  auto completion = ParseCompletion(routed.request.body, chat, reason);
  if (!completion) {
    context_.state.metrics.CountAnswer(reason.code());
    return routed.caller->Respond(
        BuildErrorAnswer(routed.id, reason.code(), reason.message()));
  }
  std::string fingerprint =
      ComputeDigest(routed.workspace.name.text() + "\n" +
                    routed.route.name.text() + "\n" + routed.request.body);
  const std::uint32_t max_tokens = completion->max_tokens;
  Admit(routed, max_tokens,
        [context = context_, routed, fingerprint = std::move(fingerprint),
         completion = std::move(*completion)](AdmissionTicketPtr ticket) {
          std::make_shared<ModelSession>(context, routed.tables, routed.route,
                                         routed.id, fingerprint, completion,
                                         routed.caller, std::move(ticket))
              ->Start();
        });
}

}  // namespace wisteriayoke
