#include "supervisor/front/service_session.h"

#include <utility>

#include "base/overloaded.h"
#include "supervisor/context/log.h"
#include "supervisor/front/caller_answer.h"

namespace wisteriayoke {

ServiceSession::ServiceSession(DaemonContext context, TableSetPtr tables,
                               const Route& route, RequestId id,
                               HttpRequest request,
                               std::shared_ptr<HttpServerSession> caller)
    : context_(context),
      tables_(std::move(tables)),
      route_(route),
      pool_(*tables_->FindPool(route.pool)),
      id_(std::move(id)),
      request_(std::move(request)),
      caller_(std::move(caller)),
      decider_(route.idempotent) {}

void ServiceSession::Start() { Feed(ServiceAdmitted{}); }

void ServiceSession::Feed(const ServiceRequestEvent& event) {
  const auto self = shared_from_this();
  for (const auto& action : decider_.Handle(event)) {
    std::visit(Overloaded{
                   [this](const RequestUpstream& next) {
                     ChooseAndFeedUpstream(next.excluded);
                   },
                   [this](const SendCall& send) { StartCall(send); },
                   [this](const ReturnAnswer&) { ReturnToCaller(); },
                   [this](const FailCall& failure) { Fail(failure); },
               },
               action);
  }
}

void ServiceSession::ChooseAndFeedUpstream(
    const std::set<UpstreamName>& excluded) {
  const UpstreamBook& book = context_.state.upstreams;
  const UpstreamSpec* best = nullptr;
  for (const auto* upstream :
       book.ListUsable(pool_, excluded, context_.loop.Now())) {
    if (best == nullptr || book.StateOf(upstream->name).in_flight <
                               book.StateOf(best->name).in_flight) {
      best = upstream;
    }
  }
  if (best == nullptr) return Feed(UpstreamUnavailable{});
  Feed(UpstreamChosen{best->name});
}

const UpstreamSpec* ServiceSession::FindUpstream(
    const UpstreamName& name) const {
  for (const auto& upstream : pool_.upstreams) {
    if (upstream.name == name) return &upstream;
  }
  return nullptr;
}

void ServiceSession::StartCall(const SendCall& action) {
  context_.state.upstreams.RecordStart(action.upstream);
  HttpRequest request{.method = request_.method,
                      .target = request_.target,
                      .fields = {{"Wisteriayoke-Request", id_.text()}},
                      .body = request_.body};
  for (const auto& field : request_.fields) {
    if (!IsHopByHop(field.name)) request.fields.push_back(field);
  }
  FetchWhole(context_.loop, FindUpstream(action.upstream)->endpoint,
             std::move(request), {.idle_timeout = route_.deadline},
             [self = shared_from_this(), action](FetchResult result) {
               self->HandleResult(action, std::move(result));
             });
}

void ServiceSession::HandleResult(const SendCall& call, FetchResult result) {
  UpstreamBook& book = context_.state.upstreams;
  if (result.code != ResultCode::kOk) {
    book.RecordFailure(call.upstream, context_.loop.Now());
    return Feed(CallBroke{call.attempt, result.sent, result.code});
  }
  book.RecordSuccess(call.upstream);
  answer_ = std::move(result.response);
  Feed(CallAnswered{call.attempt});
}

void ServiceSession::ReturnToCaller() {
  HttpResponse response;
  response.head.status = answer_.head.status;
  AddOutcomeFields(id_, ResultCode::kOk, response.head.fields);
  for (const auto& field : answer_.head.fields) {
    if (!IsHopByHop(field.name)) response.head.fields.push_back(field);
  }
  response.body = std::move(answer_.body);
  caller_->Respond(response);
}

void ServiceSession::Fail(const FailCall& action) {
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kRequestFailed, action.code,
      {{"request", id_.text()}, {"reason", action.message}});
  caller_->Respond(BuildErrorAnswer(id_, action.code, action.message));
}

}  // namespace wisteriayoke
