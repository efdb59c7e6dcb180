#include "supervisor/front/model_session.h"

#include <utility>

#include "base/overloaded.h"
#include "decisions/chain.h"
#include "supervisor/context/log.h"
#include "supervisor/front/caller_answer.h"

namespace wisteriayoke {
namespace {

/// Longest silence of an engine in the middle of an answer.
constexpr Duration kTokenTimeout = std::chrono::seconds(2);
constexpr int kStatusOk = 200;

}  // namespace

ModelSession::ModelSession(DaemonContext context, TableSetPtr tables,
                           const Route& route, RequestId id,
                           CompletionRequest request,
                           std::shared_ptr<HttpServerSession> caller)
    : context_(context),
      tables_(std::move(tables)),
      route_(route),
      pool_(*tables_->FindPool(route.pool)),
      id_(std::move(id)),
      request_(std::move(request)),
      caller_(std::move(caller)),
      decider_(pool_.layer_count) {}

void ModelSession::Start() {
  caller_->set_on_closed(
      [self = shared_from_this()] { self->Feed(CallerLeft{}); });
  deadline_timer_ = context_.loop.Schedule(route_.deadline,
                                           [this] { Feed(DeadlinePassed{}); });
  Feed(ModelAdmitted{});
}

void ModelSession::Feed(const ModelRequestEvent& event) {
  const auto self = shared_from_this();
  for (const auto& action : decider_.Handle(event)) {
    std::visit(Overloaded{
                   [this](const RequestChain& next) {
                     ChooseAndFeedChain(next.excluded);
                   },
                   [this](const StartAttempt& start) { StartCall(start); },
                   [this](const CancelAttempt&) { CancelCall(); },
                   [this](const DeliverToken& token) { SendToken(token); },
                   [this](const CompleteAnswer& answer) { Complete(answer); },
                   [this](const FailAnswer& failure) { Fail(failure); },
               },
               action);
  }
}

void ModelSession::ChooseAndFeedChain(const std::set<UpstreamName>& excluded) {
  const UpstreamBook& book = context_.state.upstreams;
  const auto usable = book.ListUsable(pool_, excluded, context_.loop.Now());
  auto chain = ChooseChain(pool_, usable, book);
  if (!chain) return Feed(ChainUnavailable{});
  Feed(ChainChosen{std::move(*chain)});
}

void ModelSession::StartCall(const StartAttempt& action) {
  chain_ = action.chain;
  line_buffer_.clear();
  GenerateRequest generate{.request = id_,
                           .attempt = action.attempt,
                           .model = pool_.model,
                           .prompt = request_.prompt,
                           .max_tokens = request_.max_tokens,
                           .first_token = action.first_token,
                           .prefix = action.prefix,
                           .next_stages = {}};
  for (const auto& stage : chain_) {
    context_.state.upstreams.RecordStart(stage.upstream);
    if (&stage != &chain_.front()) {
      generate.next_stages.push_back(stage.endpoint);
    }
  }
  call_ = HttpClientCall::Start(
      context_.loop, chain_.front().endpoint,
      {.method = "POST",
       .target = "/generate",
       .fields = {{"Content-Type", "application/json"}},
       .body = EncodeGenerate(generate)},
      {.idle_timeout = kTokenTimeout},
      [self = shared_from_this(), attempt = action.attempt](CallEvent event) {
        self->HandleCall(attempt, std::move(event));
      });
}

void ModelSession::HandleCall(AttemptNumber attempt, CallEvent event) {
  const auto self = shared_from_this();
  std::visit(
      Overloaded{
          [&](const CallHead& head) { HandleHead(attempt, head); },
          [&](const CallPiece& piece) { HandlePiece(attempt, piece.data); },
          [&](const CallEnd&) {
            Break(attempt, {}, ResultCode::kStreamBroken);
          },
          [&](const CallFailure& failure) {
            Break(attempt, chain_.front().upstream, failure.code);
          },
      },
      event);
}

void ModelSession::HandleHead(AttemptNumber attempt, const CallHead& head) {
  if (head.head.status == kStatusOk) return;
  Break(attempt, chain_.front().upstream, ResultCode::kUpstreamFailed);
}

void ModelSession::HandlePiece(AttemptNumber attempt, const std::string& data) {
  line_buffer_ += data;
  std::size_t start = 0;
  for (std::size_t end = line_buffer_.find('\n'); end != std::string::npos;
       end = line_buffer_.find('\n', start)) {
    const std::string line = line_buffer_.substr(start, end - start);
    start = end + 1;
    HandleLine(attempt, line);
    if (!call_) return;
  }
  line_buffer_.erase(0, start);
}

void ModelSession::HandleLine(AttemptNumber attempt, std::string_view text) {
  LastReason reason;
  const auto line = ParseEngineLine(text, reason);
  if (!line || line->request != id_) {
    const ResultCode code =
        line ? ResultCode::kAnswerMisdirected : reason.code();
    return Break(attempt, chain_.front().upstream, code);
  }
  std::visit(Overloaded{
                 [this](const TokenArrived& token) { Feed(token); },
                 [this](const StreamEnded& end) { Feed(end); },
                 [this](const EngineFailure& failure) {
                   HandleEngineFailure(failure);
                 },
             },
             line->content);
}

void ModelSession::HandleEngineFailure(const EngineFailure& failure) {
  UpstreamName culprit;
  for (const auto& stage : chain_) {
    if (stage.endpoint.ToString() == failure.culprit) culprit = stage.upstream;
  }
  Break(failure.attempt, culprit, ResultCode::kUpstreamFailed);
}

void ModelSession::Break(AttemptNumber attempt, const UpstreamName& culprit,
                         ResultCode code) {
  if (!call_) return;
  context_.state.timeline.Record(LogLevel::kWarning, EventKind::kAttemptBroke,
                                 code,
                                 {{"request", id_.text()},
                                  {"attempt", std::to_string(attempt)},
                                  {"culprit", culprit.text()}});
  ReleaseChain(culprit);
  Feed(AttemptBroke{attempt, culprit, code});
}

void ModelSession::ReleaseChain(const UpstreamName& culprit) {
  UpstreamBook& book = context_.state.upstreams;
  for (const auto& stage : chain_) {
    if (stage.upstream == culprit) {
      book.RecordFailure(stage.upstream, context_.loop.Now());
    } else {
      book.RecordEnd(stage.upstream);
    }
  }
  chain_.clear();
}

void ModelSession::CancelCall() {
  ReleaseChain({});
  if (call_) call_->Cancel();
  call_.reset();
}

void ModelSession::StartStreamOnce() {
  if (stream_started_) return;
  stream_started_ = true;
  HttpResponseHead head;
  AddOutcomeFields(id_, ResultCode::kOk, head.fields);
  head.fields.push_back({"Content-Type", "text/event-stream"});
  head.fields.push_back({"Cache-Control", "no-cache"});
  caller_->StartStream(head);
}

void ModelSession::SendToken(const DeliverToken& action) {
  text_ += action.text;
  if (!request_.stream) return;
  StartStreamOnce();
  caller_->WritePiece(
      EncodeTokenEvent(id_.text(), request_.model, action.text, request_.chat));
}

void ModelSession::Complete(const CompleteAnswer& action) {
  deadline_timer_.reset();
  for (const auto& stage : chain_) {
    context_.state.upstreams.RecordSuccess(stage.upstream);
  }
  chain_.clear();
  if (call_) call_->Cancel();
  call_.reset();
  if (request_.stream) {
    StartStreamOnce();
    caller_->WritePiece(EncodeEndEvents(id_.text(), request_.model,
                                        action.finish_reason, request_.chat));
    return caller_->EndStream();
  }
  HttpResponse response;
  AddOutcomeFields(id_, ResultCode::kOk, response.head.fields);
  response.head.fields.push_back({"Content-Type", "application/json"});
  response.body =
      EncodeCompletion({.id = id_.text(),
                        .model = request_.model,
                        .text = text_,
                        .finish_reason = action.finish_reason,
                        .completion_tokens = decider_.delivered_tokens()},
                       request_.chat);
  caller_->Respond(response);
}

void ModelSession::Fail(const FailAnswer& action) {
  deadline_timer_.reset();
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kRequestFailed, action.code,
      {{"request", id_.text()}, {"reason", action.message}});
  if (!stream_started_) {
    return caller_->Respond(BuildErrorAnswer(id_, action.code, action.message));
  }
  caller_->WritePiece(EncodeErrorEvent(action.code, action.message));
  caller_->BreakStream();
}

}  // namespace wisteriayoke
