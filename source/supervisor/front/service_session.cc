#include "supervisor/front/service_session.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/overloaded.h"
#include "supervisor/context/log.h"
#include "supervisor/front/caller_answer.h"
#include "supervisor/front/request_termination.h"
#include "wire/ledger_codec.h"

namespace wisteriayoke {
namespace {

constexpr std::string_view kKeyField = "Idempotency-Key";
constexpr std::string_view kSendField = "Wisteriayoke-Send";
constexpr std::string_view kReplayedField = "Wisteriayoke-Replayed";
/// Time beyond twice the route's deadline that the owner of a claim may need
/// until its outcome is recorded.
constexpr WallTime kRecordingAllowance = std::chrono::seconds(5);
constexpr Duration kMinCallTime = std::chrono::milliseconds(1);

/// Returns the number of the caller's send of the key, from 1; 0 if none is
/// given. Fails with kFieldInvalid.
std::optional<std::uint32_t> ReadSendNumber(const HttpFields& fields,
                                            LastReason& reason) {
  const std::string_view text = FindField(fields, kSendField);
  std::uint32_t number = 0;
  if (text.empty()) return number;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec == std::errc() && parsed.ptr == end && number > 0) {
    return number;
  }
  reason.Set(ResultCode::kFieldInvalid,
             "Wisteriayoke-Send must be 1 for the first send of a key, 2 for "
             "the second, and so on");
  return std::nullopt;
}

/// Returns the caller's key, or a new one if none is given. Fails with
/// kIdempotencyKeyInvalid.
std::optional<IdempotencyKey> ReadKey(const HttpFields& fields, WallTime now,
                                      LastReason& reason) {
  const std::string_view text = FindField(fields, kKeyField);
  if (!text.empty()) return IdempotencyKey::Create(std::string(text), reason);
  return IdempotencyKey::Create(MakeTimedKey(now), reason);
}

std::optional<LedgerRequest> MakeLedgerRequest(
    const DaemonContext& context, const ServiceSession::Input& input,
    LastReason& reason) {
  const HttpFields& fields = input.request.fields;
  const WallTime now = ReadClocks(context.loop).wall;
  auto key = ReadKey(fields, now, reason);
  if (!key) return std::nullopt;
  const auto send_number = ReadSendNumber(fields, reason);
  if (!send_number) return std::nullopt;
  const auto deadline =
      std::chrono::duration_cast<WallTime>(input.route.deadline);
  return LedgerRequest{
      .key = std::move(*key),
      .claim = MakeClaimId(),
      .daemon = DaemonName(context.settings.Text(SettingKey::kDaemonName)),
      .request = input.id,
      .digest = ComputeRequestDigest(input.request),
      .send_number = *send_number,
      .finish_limit = 2 * deadline + kRecordingAllowance};
}

}  // namespace

std::shared_ptr<ServiceSession> ServiceSession::Create(
    DaemonContext context, const TableServiceFinder& table_service,
    Input input) {
  if (input.route.idempotent) {
    return std::make_shared<ServiceSession>(context, std::move(input),
                                            ServiceRequest::ForIdempotent(),
                                            std::nullopt);
  }
  LastReason reason;
  auto request = MakeLedgerRequest(context, input, reason);
  if (!request) {
    context.state.metrics.CountAnswer(reason.code());
    input.caller->Respond(
        BuildErrorAnswer(input.id, reason.code(), reason.message()));
    return nullptr;
  }
  LedgerStore ledger(
      table_service,
      LedgerRecordName(input.workspace, input.route.name, request->key));
  auto decider = ServiceRequest::ForOnce(
      std::move(*request), LedgerLimitsOf(context.settings),
      context.loop.Now() + input.route.deadline);
  return std::make_shared<ServiceSession>(
      context, std::move(input), std::move(decider), std::move(ledger));
}

ServiceSession::ServiceSession(DaemonContext context, Input input,
                               ServiceRequest decider,
                               std::optional<LedgerStore> ledger)
    : context_(context),
      input_(std::move(input)),
      pool_(*input_.tables->FindPool(input_.route.pool)),
      request_timer_(context.state.metrics, input_.ticket->arrival()),
      decider_(std::move(decider)),
      ledger_(std::move(ledger)),
      deadline_(context.loop.Now() + input_.route.deadline) {
  if (ledger_) ++context_.state.open_claims;
}

ServiceSession::~ServiceSession() {
  if (ledger_) --context_.state.open_claims;
}

void ServiceSession::Start() {
  request_timer_.RecordAdmission(context_.loop.Now());
  input_.caller->set_on_terminate([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->AnswerTerminated();
  });
  Feed(ServiceAdmitted{});
}

/// Answers a caller whose request is terminated by a stop. The call itself goes
/// on for as long as the process does, so that its outcome may still be
/// recorded.
void ServiceSession::AnswerTerminated() {
  RecordTermination(context_, input_.id);
  input_.caller->Respond(BuildErrorAnswer(input_.id, ResultCode::kShutdownCut,
                                          kTerminationMessage));
}

void ServiceSession::Feed(const ServiceRequestEvent& event) {
  const auto self = shared_from_this();
  for (const auto& action : decider_.Handle(event, ReadClocks(context_.loop))) {
    Execute(action);
  }
}

void ServiceSession::Execute(const ServiceRequestAction& action) {
  const auto feed_ledger = [self = shared_from_this()](LedgerEvent event) {
    self->Feed(std::move(event));
  };
  std::visit(
      Overloaded{
          [this](const RequestUpstream& next) {
            ChooseAndFeedUpstream(next.excluded);
          },
          [this](const SendCall& send) { StartCall(send); },
          [this](const ReturnAnswer&) { ReturnToCaller(answer_, false); },
          [this](const FailCall& failure) { Fail(failure); },
          [&](const ReadLedger& read) { ledger_->Read(read, feed_ledger); },
          [&](const WriteLedger& write) { ledger_->Write(write, feed_ledger); },
          [this](const StartClaimTimer& timer) {
            ScheduleClaimTimer(timer.delay);
          },
          [this](const ReplayAnswer& replay) { Replay(replay); },
      },
      action);
}

void ServiceSession::ScheduleClaimTimer(Duration delay) {
  claim_timer_ = context_.loop.Schedule(delay, [self = shared_from_this()] {
    const LoopTimerPtr running = std::move(self->claim_timer_);
    self->Feed(LedgerEvent(ClaimTimerFired{}));
  });
}

void ServiceSession::ChooseAndFeedUpstream(
    const std::set<UpstreamName>& excluded) {
  if (!excluded.empty() && !MayRetry()) return Feed(UpstreamUnavailable{});
  DaemonState& state = context_.state;
  const auto candidates = ListCandidates(excluded);
  const auto daemons =
      static_cast<std::uint32_t>(state.peer_loads.CountPeers() + 1);
  const auto choice = ChooseUpstream(state.routing, candidates,
                                     {.daemons = daemons}, state.random);
  if (!choice) return Feed(UpstreamUnavailable{});
  Feed(UpstreamChosen{candidates[*choice].upstream->name});
}

/// Lists the upstreams that may get the call. A call that must not be repeated
/// goes to an upstream that isn't healthy only if there is no other.
std::vector<RoutingCandidate> ServiceSession::ListCandidates(
    const std::set<UpstreamName>& excluded) const {
  const DaemonState& state = context_.state;
  const TimePoint now = context_.loop.Now();
  auto candidates =
      BuildCandidates(state.upstreams.ListUsable(pool_, excluded, now),
                      state.upstreams, state.peer_loads, now);
  if (input_.route.idempotent) return candidates;
  auto healthy = candidates;
  std::erase_if(healthy, [&](const RoutingCandidate& candidate) {
    return state.upstreams.HealthOf(candidate.upstream->name, now) !=
           UpstreamHealth::kHealthy;
  });
  return healthy.empty() ? candidates : healthy;
}

/// Returns whether the retry budget allows another send. The decider sends
/// again only calls that weren't sent or are idempotent.
bool ServiceSession::MayRetry() {
  const RetryRequest retry{.idempotent = input_.route.idempotent,
                           .may_have_run = input_.route.idempotent};
  return !input_.ticket ||
         input_.ticket->TakeRetry(retry) == RetryDecision::kAllowed;
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
  call_start_ = context_.loop.Now();
  HttpRequest request{.method = input_.request.method,
                      .target = input_.request.target,
                      .fields = {{"Wisteriayoke-Request", input_.id.text()}},
                      .body = input_.request.body};
  for (const auto& field : input_.request.fields) {
    if (!IsHopByHop(field.name)) request.fields.push_back(field);
  }
  const Duration left = std::max(deadline_ - context_.loop.Now(), kMinCallTime);
  FetchResponse(context_.loop, FindUpstream(action.upstream)->endpoint,
                std::move(request), {.idle_timeout = left},
                [self = shared_from_this(), action](FetchResult result) {
                  self->HandleResult(action, std::move(result));
                });
}

void ServiceSession::HandleResult(const SendCall& call, FetchResult result) {
  UpstreamTracker& tracker = context_.state.upstreams;
  if (result.code != ResultCode::kOk) {
    tracker.RecordFailure(call.upstream, context_.loop.Now());
    return Feed(CallBroke{call.attempt, result.sent, result.code});
  }
  const TimePoint now = context_.loop.Now();
  tracker.RecordSuccess(call.upstream, now - call_start_, now);
  answer_ = std::move(result.response);
  Feed(CallAnswered{call.attempt, ledger_ ? EncodeKeptAnswer(answer_) : ""});
}

void ServiceSession::ReturnToCaller(const HttpResponse& answer, bool replayed) {
  request_timer_.RecordOutcome(ResultCode::kOk, context_.loop.Now());
  input_.ticket.reset();
  HttpResponse response;
  response.head.status = answer.head.status;
  AddOutcomeFields(input_.id, ResultCode::kOk, response.head.fields);
  if (replayed) {
    response.head.fields.push_back({std::string(kReplayedField), "true"});
  }
  for (const auto& field : answer.head.fields) {
    if (!IsHopByHop(field.name)) response.head.fields.push_back(field);
  }
  response.body = answer.body;
  input_.caller->Respond(response);
}

void ServiceSession::Replay(const ReplayAnswer& action) {
  LastReason reason;
  const auto stored = ParseKeptAnswer(action.answer, reason);
  if (stored) return ReturnToCaller(*stored, true);
  Fail({ResultCode::kAnswerNotKept,
        "the request ran; its kept answer is damaged: " + reason.message()});
}

void ServiceSession::Fail(const FailCall& action) {
  request_timer_.RecordOutcome(action.code, context_.loop.Now());
  input_.ticket.reset();
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kRequestFailed, action.code,
      {{"request", input_.id.text()}, {"reason", action.message}});
  input_.caller->Respond(
      BuildErrorAnswer(input_.id, action.code, action.message));
}

}  // namespace wisteriayoke
