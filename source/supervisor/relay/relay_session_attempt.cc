// Attempts of a request: sending, and what ends them early.
#include <algorithm>
#include <utility>

#include "base/overloaded.h"
#include "supervisor/relay/relay_session.h"

namespace wisteriayoke {
namespace {

/// Longest time to connect to an upstream; upstreams are a few milliseconds
/// away, and one that is down never answers.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

}  // namespace

void RelaySession::Send(const RelayTarget& target) {
  attempt_.emplace(context_, target, request_);
  answer_.reset();
  stall_.RecordProgress(attempt_->sent_at());
  keep_recorded_ = false;
  ++attempts_;
  path_ = target.Describe();
  decider_.RecordSent();
  HttpCallLimits limits;
  limits.message.allow_close_delimited = true;
  limits.connect_timeout = std::min(kConnectTimeout, TimeLeft());
  limits.idle_timeout = TimeLeft();
  limits.reset_on_close = true;
  attempt_->set_call(HttpClientCall::Start(
      context_.loop, target.endpoint,
      BuildAttempt(request_, target, TimeLeft(), last_event_id_), limits,
      [self = shared_from_this()](CallEvent event) {
        self->HandleCall(std::move(event));
      }));
}

void RelaySession::HandleCall(CallEvent event) {
  if (ended_) return;
  std::visit(Overloaded{
                 [this](const CallHead& head) { HandleHead(head); },
                 [this](const CallBodyData& body) { HandleBodyData(body); },
                 [this](const CallEnd&) { HandleEnd(); },
                 [this](const CallFailure& failure) { HandleFailure(failure); },
             },
             event);
}

void RelaySession::HandleHead(const CallHead& event) {
  context_.state.relay.reach.RecordAnswer(attempt_->sent_at());
  answer_.emplace(event.head, request_.is_stream());
  if (!request_.is_stream()) RecordProgress();
  const AnswerFields fields = ReadAnswerFields(event.head);
  attempt_->RecordSigns(fields, request_.fields.attempt_id);
  if (fields.not_run) {
    const UpstreamName failed_upstream = attempt_->FindFailedUpstream(fields);
    if (attempt_->on_chain() || answer_->IsMisdirected()) {
      context_.state.upstreams.RecordDecline(failed_upstream,
                                             context_.loop.Now());
    }
    return RejectAttempt(ResultCode::kUpstreamRefused, failed_upstream);
  }
  const bool genuine = fields.has_receipt && !fields.has_content_encoding &&
                       fields.attempt_id == request_.fields.attempt_id;
  if (!genuine) LoseAttempt(ResultCode::kUpstreamFailed, false);
}

void RelaySession::HandleBodyData(const CallBodyData& body) {
  if (answer_->is_stream()) {
    ForwardEvents(body.data);
  } else {
    RecordProgress();
    answer_->PushBody(body.data);
  }
  if (attempt_ && answer_->overflowed()) {
    LoseAttempt(ResultCode::kMalformedHttp, false);
  }
}

void RelaySession::HandleFailure(const CallFailure& failure) {
  const UpstreamName upstream = attempt_->target().upstream;
  if (!failure.sent) {
    context_.state.relay.reach.RecordFailure(upstream, attempt_->sent_at());
    context_.state.upstreams.Eject(upstream, context_.loop.Now());
    return RejectAttempt(failure.code, upstream);
  }
  const bool on_chain = attempt_->on_chain();
  if (failure.code == ResultCode::kConnectionBroken) RecordCrash(upstream);
  guard_.HandleAttemptFailure(
      upstream, failure.code,
      static_cast<TokenIndex>(last_event_id_.value_or(0)));
  LoseAttempt(failure.code, false);
  if (on_chain) on_stall_({upstream});
}

bool RelaySession::RunsOn(const UpstreamName& upstream) const {
  return !ended_ && attempt_ && attempt_->RunsOn(upstream);
}

void RelaySession::HandleUpstreamDown(const UpstreamName& upstream) {
  if (!RunsOn(upstream)) return;
  RecordCrash(upstream);
  search_.Exclude(upstream);
  LoseAttempt(ResultCode::kUpstreamFailed,
              upstream == attempt_->target().upstream);
}

void RelaySession::LoseAttempt(ResultCode code, bool upstream_dead) {
  if (!attempt_->on_chain()) search_.Exclude(attempt_->target().upstream);
  EndAttempt(UpstreamFeedback::kPoor);
  Feed(AttemptLost{code, upstream_dead});
}

/// Records the crash of a stage. A request whose answer has begun is no
/// suspect, so that few are among the many on one upstream.
void RelaySession::RecordCrash(const UpstreamName& upstream) {
  const UpstreamHealth health =
      context_.state.upstreams.HealthOf(upstream, context_.loop.Now());
  const bool suspect = attempt_->on_chain() && !times_.begun() &&
                       health != UpstreamHealth::kLeaving;
  if (suspect) segment_guard_.HandleCrash(upstream, attempt_->sent_at());
}

void RelaySession::RejectAttempt(ResultCode code,
                                 const UpstreamName& failed_upstream) {
  search_.HandleRejection(failed_upstream, times_.begun());
  EndAttempt(UpstreamFeedback::kNone);
  Feed(AttemptRejected{code});
}

void RelaySession::EndAttempt(UpstreamFeedback feedback) {
  if (!attempt_) return;
  attempt_->End(feedback, request_.route.timeout);
  attempt_.reset();
}

}  // namespace wisteriayoke
