#include "supervisor/context/suspect_guard.h"

#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr auto kOwnSource = "own";
constexpr auto kPeerSource = "peer";

bool IsRefused(const DaemonContext& context, const std::string& fingerprint) {
  return context.state.quarantine.PermitOf(fingerprint, context.loop.Now()) ==
         RunPermit::kRefused;
}

void RecordContentRefused(const DaemonContext& context,
                          const std::string& fingerprint, const char* source) {
  context.state.timeline.Record(
      LogLevel::kWarning, EventKind::kContentRefused, ResultCode::kQuarantined,
      {{"fingerprint", fingerprint}, {"source", source}});
}

/// Applies a peer's report of a crash, and answers it if it is outdated.
void ApplySuspect(const DaemonContext& context, const SuspectUpdate& update) {
  const bool refused = IsRefused(context, update.fingerprint);
  const auto answers =
      context.state.quarantine.Apply(update, context.loop.Now());
  for (const auto& answer : answers) context.state.gossip.Post(answer);
  if (refused || !IsRefused(context, update.fingerprint)) return;
  RecordContentRefused(context, update.fingerprint, kPeerSource);
}

}  // namespace

GossipExchange::Subscription FollowSuspects(const DaemonContext& context) {
  return context.state.gossip.Subscribe([context](const GossipUpdate& update) {
    Quarantine& quarantine = context.state.quarantine;
    const TimePoint now = context.loop.Now();
    std::visit(Overloaded{[&](const SuspectUpdate& suspect) {
                            ApplySuspect(context, suspect);
                          },
                          [&](const SuspectClearedUpdate& cleared) {
                            quarantine.Apply(cleared, now);
                          },
                          [&](const IsolatedRunUpdate& isolated_run) {
                            quarantine.Apply(isolated_run, now);
                          },
                          [](const auto&) {}},
               update);
  });
}

SuspectGuard::SuspectGuard(DaemonContext context, std::string fingerprint,
                           RequestId request)
    : context_(context),
      fingerprint_(std::move(fingerprint)),
      request_(std::move(request)) {}

bool SuspectGuard::Blocks() const {
  if (!IsRefused(context_, fingerprint_)) return false;
  context_.state.quarantine.RecordRefusal(fingerprint_, context_.loop.Now());
  return true;
}

RunDecision SuspectGuard::DecideRun(const ChainChooser& choose) {
  DaemonState& state = context_.state;
  RunDecision decision = state.quarantine.DecideRun(
      fingerprint_, request_, choose, context_.loop.Now());
  Post(decision.updates);
  if (decision.isolated_run) {
    state.timeline.Record(
        LogLevel::kInfo, EventKind::kTrialStarted, ResultCode::kOk,
        {{"request", request_.text()},
         {"fingerprint", fingerprint_},
         {"upstream", decision.chain.front().upstream.text()}});
  }
  if (decision.step == RunStep::kRefuse) {
    state.timeline.Record(
        LogLevel::kWarning, EventKind::kRequestQuarantined,
        ResultCode::kQuarantined,
        {{"request", request_.text()}, {"fingerprint", fingerprint_}});
  }
  return decision;
}

void SuspectGuard::HandleAttemptFailure(const UpstreamName& failed_upstream,
                                        ResultCode code, TokenIndex delivered) {
  if (!IsCrash(failed_upstream, code)) return EndIsolatedRun();
  DaemonState& state = context_.state;
  state.timeline.Record(LogLevel::kWarning, EventKind::kUpstreamCrashed, code,
                        {{"request", request_.text()},
                         {"fingerprint", fingerprint_},
                         {"upstream", failed_upstream.text()}});
  const bool refused = IsRefused(context_, fingerprint_);
  Post(state.quarantine.RecordCrash(fingerprint_, request_, failed_upstream,
                                    delivered, context_.loop.Now()));
  if (!refused && IsRefused(context_, fingerprint_)) {
    RecordContentRefused(context_, fingerprint_, kOwnSource);
  }
}

/// A connection that broke in the middle of an answer is treated as a crash,
/// unless the upstream is leaving.
bool SuspectGuard::IsCrash(const UpstreamName& failed_upstream,
                           ResultCode code) const {
  return code == ResultCode::kConnectionBroken && !failed_upstream.empty() &&
         context_.state.upstreams.HealthOf(
             failed_upstream, context_.loop.Now()) != UpstreamHealth::kLeaving;
}

bool SuspectGuard::HandleToken(TokenIndex delivered) {
  Quarantine& quarantine = context_.state.quarantine;
  const TimePoint now = context_.loop.Now();
  Post(quarantine.RecordToken(fingerprint_, request_, delivered, now));
  return quarantine.MustStop(fingerprint_, request_, now);
}

void SuspectGuard::HandleAnswered() {
  Post(context_.state.quarantine.RecordAnswered(fingerprint_, request_,
                                                context_.loop.Now()));
}

void SuspectGuard::EndIsolatedRun() {
  Post(context_.state.quarantine.EndIsolatedRun(fingerprint_, request_,
                                                context_.loop.Now()));
}

void SuspectGuard::Post(const std::vector<GossipUpdate>& updates) {
  for (const auto& update : updates) context_.state.gossip.Post(update);
}

}  // namespace wisteriayoke
