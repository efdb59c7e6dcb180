#include "supervisor/front/model_session.h"

#include <utility>

#include "base/overloaded.h"
#include "decisions/chain.h"
#include "supervisor/context/log.h"
#include "supervisor/front/request_termination.h"

namespace wisteriayoke {
namespace {

/// Longest silence of an engine before the first token of an attempt.
constexpr Duration kFirstTokenTimeout = std::chrono::seconds(2);
/// Longest silence of an engine between tokens.
constexpr Duration kTokenTimeout = std::chrono::milliseconds(800);
constexpr Duration kCancelTimeout = std::chrono::milliseconds(500);
/// Longest line of an engine that is accepted.
constexpr std::size_t kMaxLineBytes = 64 * 1024;
/// Longest prompt whose time to the first token is recorded for admission, so
/// that times are comparable.
constexpr std::size_t kComparablePromptBytes = 1024;
constexpr int kStatusOk = 200;

/// Returns the result code for an engine's refusal: whether the request, the
/// engine's load or the engine is at fault.
ResultCode CodeOfStatus(int status) {
  switch (status) {
    case 400:
    case 413:
    case 422:
      return ResultCode::kFieldInvalid;
    case 429:
    case 503:
      return ResultCode::kUpstreamRefused;
    default:
      return ResultCode::kUpstreamFailed;
  }
}

}  // namespace

ModelSession::ModelSession(DaemonContext context, TableSetPtr tables,
                           const Route& route, RequestId id,
                           std::string fingerprint, CompletionRequest request,
                           std::shared_ptr<HttpServerSession> caller,
                           AdmissionTicketPtr ticket)
    : context_(context),
      tables_(std::move(tables)),
      route_(route),
      pool_(*tables_->FindPool(route.pool)),
      id_(std::move(id)),
      request_(std::move(request)),
      caller_(std::move(caller)),
      writer_(id_, request_, caller_),
      request_timer_(context.state.metrics, ticket->arrival()),
      ticket_(std::move(ticket)),
      decider_({pool_.layer_count, request_.max_tokens}),
      guard_(context, std::move(fingerprint), id_) {}

void ModelSession::Start() {
  request_timer_.RecordAdmission(context_.loop.Now());
  caller_->set_on_closed(
      [self = shared_from_this()] { self->Feed(CallerDisconnected{}); });
  caller_->set_on_terminate([self = shared_from_this()] {
    RecordTermination(self->context_, self->id_);
    self->Feed(RequestRefused{ResultCode::kShutdownCut, kTerminationMessage});
  });
  caller_->set_on_writable([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->call_) self->call_->Resume();
  });
  deadline_ = context_.loop.Now() + route_.deadline;
  deadline_timer_ = context_.loop.Schedule(route_.deadline,
                                           [this] { Feed(DeadlinePassed{}); });
  const auto feed_if_alive =
      [weak = weak_from_this()](const ModelRequestEvent& event) {
        if (const auto self = weak.lock()) self->Feed(event);
      };
  ticket_->set_on_suspend([this, feed_if_alive] {
    context_.state.timeline.Record(LogLevel::kInfo, EventKind::kSuspended,
                                   ResultCode::kOk, {{"request", id_.text()}});
    feed_if_alive(ModelSuspended{});
  });
  ticket_->set_on_resume([feed_if_alive] { feed_if_alive(ModelResumed{}); });
  Feed(ModelAdmitted{});
}

void ModelSession::Feed(const ModelRequestEvent& event) {
  const auto self = shared_from_this();
  for (const auto& action : decider_.Handle(event)) {
    std::visit(
        Overloaded{
            [this](const RequestChain& next) { ChooseAndFeedChain(next); },
            [this](const WaitForChain& wait) { WaitForChainAgain(wait); },
            [this](const StartAttempt& start) { StartCall(start); },
            [this](const CancelAttempt& cancel) { CancelCall(cancel); },
            [this](const DeliverToken& token) { SendToken(token); },
            [this](const CompleteAnswer& answer) { Complete(answer); },
            [this](const FailAnswer& failure) { Fail(failure); },
        },
        action);
  }
}

void ModelSession::ChooseAndFeedChain(const RequestChain& request) {
  if (!MayStartAttempt()) return Feed(ChainUnavailable{});
  RunDecision decision = guard_.DecideRun(
      [this, &request](const std::set<UpstreamName>& avoided, bool idle_only) {
        return Choose(request, avoided, idle_only);
      });
  switch (decision.step) {
    case RunStep::kRun:
      return Feed(ChainChosen{std::move(decision.chain)});
    case RunStep::kWait:
      return Feed(ChainPending{});
    case RunStep::kUnavailable:
      return Feed(ChainUnavailable{});
    case RunStep::kRefuse:
      return Feed(RequestRefused{decider_.may_have_run()
                                     ? ResultCode::kQuarantinedAfterRun
                                     : ResultCode::kQuarantined,
                                 "the request crashed upstreams that ran it"});
  }
}

std::optional<Chain> ModelSession::Choose(const RequestChain& request,
                                          const std::set<UpstreamName>& avoided,
                                          bool idle_only) const {
  const DaemonState& state = context_.state;
  const TimePoint now = context_.loop.Now();
  std::set<UpstreamName> excluded = request.excluded;
  excluded.insert(avoided.begin(), avoided.end());
  auto usable = state.upstreams.ListUsable(pool_, excluded, now);
  if (idle_only) {
    std::erase_if(usable, [&](const UpstreamSpec* upstream) {
      return state.upstreams.CountInFlight(upstream->name, state.peer_loads) >
             0;
    });
  }
  return ChooseChain(
      pool_, usable,
      {state.upstreams, state.peer_loads, state.speeds, request.warm, now});
}

/// Returns whether the next attempt may start. An attempt that follows a
/// failure is charged to the retry budget; while that is spent, the request
/// waits as it does for engines.
bool ModelSession::MayStartAttempt() {
  if (!retry_needed_ || !ticket_) return true;
  const RetryRequest retry{.idempotent = true, .may_have_run = true};
  if (ticket_->TakeRetry(retry) != RetryDecision::kAllowed) return false;
  retry_needed_ = false;
  return true;
}

void ModelSession::WaitForChainAgain(const WaitForChain& action) {
  wait_timer_ = context_.loop.Schedule(
      action.delay,
      [self = shared_from_this()] { self->Feed(ChainWaitOver{}); });
}

void ModelSession::StartCall(const StartAttempt& action) {
  chain_ = action.chain;
  attempt_ = action.attempt;
  attempt_delivered_ = false;
  line_buffer_.clear();
  GenerateRequest generate{.request = id_,
                           .attempt = action.attempt,
                           .model = pool_.model,
                           .prompt = request_.prompt,
                           .max_tokens = request_.max_tokens,
                           .first_token = action.first_token,
                           .prefix = action.prefix,
                           .next_stages = {},
                           .kv = action.kv,
                           .time_left = deadline_ - context_.loop.Now()};
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
      {.idle_timeout = kFirstTokenTimeout},
      [self = shared_from_this(), attempt = action.attempt](CallEvent event) {
        self->HandleCall(attempt, std::move(event));
      });
  PauseIfCallerIsSlow();
}

void ModelSession::HandleCall(AttemptNumber attempt, CallEvent event) {
  const auto self = shared_from_this();
  if (attempt != attempt_ || !call_) return;
  std::visit(
      Overloaded{
          [&](const CallHead& head) { HandleHead(attempt, head); },
          [&](const CallBodyData& body) { HandleBodyData(attempt, body.data); },
          [&](const CallEnd&) {
            FailAttempt(attempt, chain_.front().upstream,
                        ResultCode::kStreamBroken);
          },
          [&](const CallFailure& failure) {
            FailAttempt(attempt, chain_.front().upstream, failure.code);
          },
      },
      event);
}

void ModelSession::HandleHead(AttemptNumber attempt, const CallHead& head) {
  if (head.head.status == kStatusOk) return;
  FailAttempt(attempt, chain_.front().upstream, CodeOfStatus(head.head.status));
}

void ModelSession::HandleBodyData(AttemptNumber attempt,
                                  const std::string& data) {
  line_buffer_ += data;
  std::size_t start = 0;
  for (std::size_t end = line_buffer_.find('\n'); end != std::string::npos;
       end = line_buffer_.find('\n', start)) {
    const std::string line = line_buffer_.substr(start, end - start);
    start = end + 1;
    HandleLine(attempt, line);
    if (!call_ || attempt != attempt_) return;
  }
  line_buffer_.erase(0, start);
  if (line_buffer_.size() > kMaxLineBytes) {
    FailAttempt(attempt, chain_.front().upstream, ResultCode::kMalformedJson);
  }
}

void ModelSession::HandleLine(AttemptNumber attempt, std::string_view text) {
  LastReason reason;
  const auto line = ParseEngineLine(text, reason);
  if (!line || line->request != id_) {
    const ResultCode code =
        line ? ResultCode::kAnswerMisdirected : reason.code();
    return FailAttempt(attempt, chain_.front().upstream, code);
  }
  std::visit(Overloaded{
                 [this](const TokenArrived& token) { HandleToken(token); },
                 [this](const StreamEnded& end) { Feed(end); },
                 [this](const EngineFailure& failure) {
                   HandleEngineFailure(failure);
                 },
             },
             line->content);
}

void ModelSession::HandleToken(const TokenArrived& token) {
  call_->set_idle_timeout(kTokenTimeout);
  if (token.attempt == attempt_) RecordTimings(token.timings);
  const TokenIndex before = decider_.delivered_tokens();
  Feed(token);
  const TokenIndex delivered = decider_.delivered_tokens();
  if (delivered == before) return;
  attempt_delivered_ = true;
  if (guard_.HandleToken(delivered)) Feed(AttemptPreempted{attempt_});
}

void ModelSession::RecordTimings(const std::vector<StageTiming>& timings) {
  if (timings.size() != chain_.size()) return;
  ChainSpeeds& speeds = context_.state.speeds;
  for (std::size_t i = 0; i < chain_.size(); ++i) {
    const UpstreamSpec* stage = FindUpstream(chain_[i].upstream);
    speeds.RecordCompute(*stage, timings[i].compute);
    if (i + 1 == chain_.size()) break;
    const UpstreamSpec* next = FindUpstream(chain_[i + 1].upstream);
    speeds.RecordLink(stage->data_centre, next->data_centre, timings[i].link);
  }
}

const UpstreamSpec* ModelSession::FindUpstream(const UpstreamName& name) const {
  for (const auto& upstream : pool_.upstreams) {
    if (upstream.name == name) return &upstream;
  }
  return nullptr;
}

void ModelSession::HandleEngineFailure(const EngineFailure& error) {
  UpstreamName failed;
  for (const auto& hop : chain_) {
    if (hop.endpoint.ToString() == error.failed_address) failed = hop.upstream;
  }
  // The first stage reported the failure, so it runs. A stage that ran tokens
  // of this attempt and can't be reached any more crashed between two of them.
  const bool crashed =
      error.code == ResultCode::kConnectionBroken ||
      (error.code == ResultCode::kConnectFailed && attempt_delivered_);
  FailAttempt(
      error.attempt, failed,
      crashed ? ResultCode::kConnectionBroken : ResultCode::kUpstreamFailed);
}

void ModelSession::FailAttempt(AttemptNumber attempt,
                               const UpstreamName& failed_upstream,
                               ResultCode code) {
  Feed(AttemptBroke{attempt, failed_upstream, code});
}

/// Ends this request's use of each engine. Only `failed_upstream` is recorded
/// as failed; a refusal is no failure.
void ModelSession::ReleaseChain(const UpstreamName& failed_upstream,
                                ResultCode code) {
  UpstreamTracker& tracker = context_.state.upstreams;
  for (const auto& stage : chain_) {
    if (stage.upstream == failed_upstream &&
        code != ResultCode::kUpstreamRefused) {
      tracker.RecordFailure(stage.upstream, context_.loop.Now());
    } else {
      tracker.RecordEnd(stage.upstream);
    }
  }
}

void ModelSession::CancelCall(const CancelAttempt& action) {
  guard_.HandleAttemptFailure(action.failed_upstream, action.code,
                              decider_.delivered_tokens());
  ReleaseChain(action.failed_upstream, action.code);
  const bool intact = action.code == ResultCode::kOk;
  if (action.final || intact) CancelOrCheckEngines(action);
  if (!action.final && !intact) {
    retry_needed_ = true;
    context_.state.timeline.Record(
        LogLevel::kWarning, EventKind::kAttemptBroke, action.code,
        {{"request", id_.text()},
         {"attempt", std::to_string(action.attempt)},
         {"culprit", action.failed_upstream.text()}});
  }
  chain_.clear();
  if (call_) call_->Cancel();
  call_.reset();
}

/// Cancels the request at its engines if it is over, or checks their health if
/// an intact attempt was stopped. An engine that can't be reached crashed while
/// it ran the request.
void ModelSession::CancelOrCheckEngines(const CancelAttempt& action) {
  HttpRequest request{.method = "GET", .target = "/health"};
  if (action.final) {
    request = {.method = "POST", .target = "/cancel/" + id_.text()};
  }
  const TokenIndex delivered = decider_.delivered_tokens();
  for (const auto& stage : chain_) {
    if (stage.upstream == action.failed_upstream) continue;
    FetchResponse(context_.loop, stage.endpoint, request,
                  {.idle_timeout = kCancelTimeout},
                  [self = shared_from_this(), upstream = stage.upstream,
                   delivered](const FetchResult& result) {
                    if (result.code != ResultCode::kConnectFailed &&
                        result.code != ResultCode::kConnectionBroken) {
                      return;
                    }
                    self->guard_.HandleAttemptFailure(
                        upstream, ResultCode::kConnectionBroken, delivered);
                  });
  }
}

void ModelSession::SendToken(const DeliverToken& action) {
  request_timer_.RecordToken(context_.loop.Now());
  if (ticket_ && request_.prompt.size() <= kComparablePromptBytes) {
    ticket_->RecordFirstToken();
  }
  writer_.WriteToken(action.text);
  PauseIfCallerIsSlow();
}

/// Stops reading from the engine while the caller reads too slowly, so that the
/// data buffered for the caller stays bounded.
void ModelSession::PauseIfCallerIsSlow() {
  if (call_ && caller_->ShouldPause()) call_->Pause();
}

void ModelSession::Complete(const CompleteAnswer& action) {
  request_timer_.RecordOutcome(ResultCode::kOk, context_.loop.Now());
  ticket_.reset();
  deadline_timer_.reset();
  wait_timer_.reset();
  guard_.HandleAnswered();
  for (const auto& stage : chain_) {
    const UpstreamSpec* upstream = FindUpstream(stage.upstream);
    context_.state.upstreams.RecordSuccess(
        stage.upstream, context_.state.speeds.ComputeTimeOf(*upstream),
        context_.loop.Now());
  }
  chain_.clear();
  if (call_) call_->Cancel();
  call_.reset();
  writer_.Complete(action.finish_reason);
}

void ModelSession::Fail(const FailAnswer& action) {
  request_timer_.RecordOutcome(action.code, context_.loop.Now());
  ticket_.reset();
  deadline_timer_.reset();
  wait_timer_.reset();
  guard_.EndIsolatedRun();
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kRequestFailed, action.code,
      {{"request", id_.text()}, {"reason", action.message}});
  writer_.Fail(action.code, action.message);
}

}  // namespace wisteriayoke
