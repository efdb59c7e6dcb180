#include "supervisor/relay/segment_guard.h"

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

void RecordUpdate(const DaemonContext& context, const GossipUpdate& update,
                  const char* source) {
  Timeline& timeline = context.state.timeline;
  std::visit(
      Overloaded{[&](const SegmentBlockUpdate& block) {
                   timeline.Record(
                       LogLevel::kWarning, EventKind::kSegmentBlocked,
                       ResultCode::kQuarantined,
                       {{"segment", block.segment.text()},
                        {"length_us", std::to_string(block.length.count())},
                        {"age_us",
                         std::to_string((block.elapsed + block.age).count())},
                        {"source", source}});
                 },
                 [&](const SegmentClearedUpdate& cleared) {
                   timeline.Record(LogLevel::kInfo, EventKind::kSegmentCleared,
                                   ResultCode::kOk,
                                   {{"segment", cleared.segment.text()},
                                    {"source", source}});
                 },
                 [](const auto&) {}},
      update);
}

/// Returns whether `update` only repeats a block.
bool IsRepeat(const GossipUpdate& update) {
  const auto* block = std::get_if<SegmentBlockUpdate>(&update);
  return block != nullptr && block->elapsed > Duration::zero();
}

/// Sends and records what this daemon found out.
void Publish(const DaemonContext& context,
             const std::vector<GossipUpdate>& updates) {
  for (const auto& update : updates) {
    if (!IsRepeat(update)) RecordUpdate(context, update, "own");
    context.state.gossip.Post(update);
  }
}

}  // namespace

GossipExchange::Subscription FollowSegments(const DaemonContext& context) {
  return context.state.gossip.Subscribe([context](const GossipUpdate& update) {
    SegmentQuarantine& segments = context.state.relay.segments;
    const TimePoint now = context.loop.Now();
    std::visit(Overloaded{[&](const SegmentCrashUpdate& crash) {
                            Publish(context, segments.Apply(crash, now));
                          },
                          [&](const SegmentClearedUpdate& cleared) {
                            segments.Apply(cleared, now);
                          },
                          [&](const SegmentBlockUpdate& block) {
                            const bool known =
                                segments.IsBlocked(block.segment);
                            segments.Apply(block, now);
                            if (known) return;
                            RecordUpdate(context, update, "peer");
                          },
                          [](const auto&) {}},
               update);
  });
}

SegmentGuard::SegmentGuard(DaemonContext context, const RelayedRequest& request)
    : context_(context),
      // Callers may send no id, or the same one twice.
      request_(std::to_string(context.state.random())),
      attempt_id_(request.fields.attempt_id) {
  // Another pool's upstreams may take the same segment.
  for (const auto& segment : request.fields.prompt_segments) {
    if (segments_.size() == SegmentQuarantine::kMaxSegments) break;
    segments_.emplace_back(request.pool.text() + "/" + segment.text());
  }
}

bool SegmentGuard::Blocks() {
  const auto blocked =
      Segments().FindBlocked(segments_, request_, context_.loop.Now());
  if (!blocked) return false;
  context_.state.timeline.Record(
      LogLevel::kInfo, EventKind::kRequestQuarantined, ResultCode::kQuarantined,
      {{"request", attempt_id_}, {"segment", blocked->text()}});
  return true;
}

bool SegmentGuard::MustStop() const {
  return Segments().MustStop(segments_, request_);
}

void SegmentGuard::HandleCrash(const UpstreamName& upstream,
                               TimePoint sent_at) {
  Publish(context_, Segments().RecordCrash(segments_, request_, upstream,
                                           sent_at, context_.loop.Now()));
}

void SegmentGuard::HandleBegun() {
  Publish(context_, Segments().RecordBegun(segments_, context_.loop.Now()));
}

void SegmentGuard::HandleEnd() { Segments().RecordEnd(request_); }

}  // namespace wisteriayoke
