#include "supervisor/relay/passed_session.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"
#include "supervisor/relay/relay_refusal.h"
#include "wire/passed_request.h"

namespace wisteriayoke {
namespace {

/// Peers that are tried for one request.
constexpr std::size_t kMostPeers = 4;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Longest time for a request whose caller doesn't say how long it waits.
constexpr Duration kLongestWait = std::chrono::seconds(60);
constexpr std::string_view kEventStream = "text/event-stream";

}  // namespace

PassedSession::PassedSession(DaemonContext context, HttpRequest request,
                             std::shared_ptr<HttpServerSession> caller)
    : context_(context),
      request_(std::move(request)),
      fields_(ReadCallerFields(request_)),
      caller_(std::move(caller)),
      arrived_(context.loop.Now()) {}

Duration PassedSession::TimeLeft() const {
  return fields_.deadline.value_or(kLongestWait) -
         (context_.loop.Now() - arrived_);
}

void PassedSession::Start() {
  const std::weak_ptr<PassedSession> weak = weak_from_this();
  caller_->set_on_closed([weak] {
    if (const auto self = weak.lock()) self->End(ResultCode::kCancelled);
  });
  caller_->set_on_terminate([weak] {
    if (const auto self = weak.lock()) self->Fail(ResultCode::kShutdownCut);
  });
  caller_->set_on_writable([weak] {
    const auto self = weak.lock();
    if (self && self->call_) self->call_->Resume();
  });
  TryNext();
}

void PassedSession::TryNext() {
  DaemonState& state = context_.state;
  const auto peer = state.relay.pass_targets.Choose(tried_, state.random(),
                                                    context_.loop.Now());
  if (!peer || tried_.size() >= kMostPeers || TimeLeft() <= Duration::zero()) {
    return Fail(ResultCode::kNoUpstream);
  }
  peer_ = *peer;
  tried_.insert(peer_);
  answer_.reset();
  HttpCallLimits limits;
  limits.message.allow_close_delimited = true;
  limits.connect_timeout = std::min(kConnectTimeout, TimeLeft());
  limits.idle_timeout = TimeLeft();
  limits.reset_on_close = true;
  call_ = HttpClientCall::Start(
      context_.loop, peer_, BuildPassedRequest(request_, TimeLeft()), limits,
      [self = shared_from_this()](CallEvent event) {
        self->HandleCall(std::move(event));
      });
}

void PassedSession::HandleCall(CallEvent event) {
  if (ended_) return;
  std::visit(Overloaded{
                 [this](const CallHead& head) { HandleHead(head); },
                 [this](const CallBodyData& body) { HandleBody(body); },
                 [this](const CallEnd&) { HandleEnd(); },
                 [this](const CallFailure& failure) { HandleFailure(failure); },
             },
             event);
}

void PassedSession::HandleHead(const CallHead& event) {
  if (event.head.status == kStatusPassedInVain) return Decline();
  answer_ = HttpResponse{event.head, ""};
  answer_->head.fields = BuildForwardedFields(event.head.fields);
  streaming_ =
      FindField(event.head.fields, "Content-Type").starts_with(kEventStream);
  if (streaming_) caller_->StartStream(answer_->head);
}

void PassedSession::HandleBody(const CallBodyData& event) {
  if (!answer_) return;
  if (!streaming_) {
    answer_->body += event.data;
    return;
  }
  caller_->WriteChunk(event.data);
  if (!ended_ && caller_->ShouldPause()) call_->Pause();
}

void PassedSession::HandleEnd() {
  if (!answer_) return;
  if (streaming_) {
    caller_->EndStream();
  } else {
    caller_->Respond(*answer_);
  }
  End(ResultCode::kOk);
}

void PassedSession::HandleFailure(const CallFailure& failure) {
  if (!failure.sent) return Decline();
  Fail(failure.code == ResultCode::kTimedOut ? ResultCode::kDeadlineExceeded
                                             : ResultCode::kUpstreamFailed);
}

/// Tries another peer, since the last one didn't take the request.
void PassedSession::Decline() {
  if (const auto call = std::exchange(call_, nullptr)) call->Cancel();
  context_.state.relay.pass_targets.RecordDecline(peer_, context_.loop.Now());
  TryNext();
}

void PassedSession::Fail(ResultCode code) {
  if (ended_) return;
  if (streaming_) {
    caller_->BreakStream();
  } else {
    const bool refused = code == ResultCode::kNoUpstream;
    // What was sent to a peer may have run there.
    const ResultCode told =
        code == ResultCode::kShutdownCut ? ResultCode::kUpstreamFailed : code;
    caller_->Respond(BuildRefusal(fields_.attempt_id, told,
                                  refused ? kRetryAfter : Duration::zero()));
  }
  End(code);
}

void PassedSession::End(ResultCode code) {
  if (std::exchange(ended_, true)) return;
  if (const auto call = std::exchange(call_, nullptr)) call->Cancel();
  DaemonState& state = context_.state;
  state.metrics.CountAnswer(code);
  state.relay.metrics.CountAnswer({}, {}, code);
  const bool good = code == ResultCode::kOk || code == ResultCode::kCancelled;
  state.timeline.Record(
      good ? LogLevel::kInfo : LogLevel::kWarning,
      good ? EventKind::kRequestPassedOn : EventKind::kRequestFailed, code,
      {{"request", fields_.attempt_id},
       {"host", fields_.host},
       {"peer", tried_.empty() ? "" : peer_.ToString()},
       {"peers", std::to_string(tried_.size())},
       {"age_us", std::to_string((context_.loop.Now() - arrived_).count())}});
}

}  // namespace wisteriayoke
