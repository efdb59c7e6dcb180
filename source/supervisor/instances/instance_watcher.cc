#include "supervisor/instances/instance_watcher.h"

#include <utility>

#include "decisions/poll_interval.h"
#include "supervisor/context/leaving_handler.h"
#include "supervisor/context/log.h"
#include "wire/instance_list_codec.h"

namespace wisteriayoke {

InstanceWatcher::InstanceWatcher(DaemonContext context,
                                 TableServiceFinder table_service,
                                 PeerFinder peers, FailureHandler on_failure)
    : context_(context),
      table_service_(std::move(table_service)),
      peers_(std::move(peers)),
      on_failure_(std::move(on_failure)) {}

bool InstanceWatcher::Start(LastReason& /*reason*/) {
  leaving_updates_ =
      context_.state.gossip.Subscribe([this](const GossipUpdate& update) {
        if (const auto* leaving = std::get_if<LeavingUpdate>(&update)) {
          HandleLeavingEvent(context_, LeavingUpdateReceived{*leaving});
        }
      });
  Tick();
  Poll();
  return true;
}

void InstanceWatcher::Stop(const std::function<void()>& done) {
  stopped_ = true;
  leaving_updates_.reset();
  poll_timer_.reset();
  tick_timer_.reset();
  done();
}

void InstanceWatcher::Tick() {
  HandleLeavingEvent(context_, LeavingTick{});
  tick_timer_ =
      context_.loop.Schedule(LeavingTracker::kTickInterval, [this] { Tick(); });
}

void InstanceWatcher::Poll() {
  const auto peers = peers_();
  const Duration interval = SharedPollInterval(
      context_.settings.Milliseconds(SettingKey::kInstancePollInterval),
      peers ? peers->group_size() : 1, context_.state.random);
  poll_timer_ = context_.loop.Schedule(interval, [this] { Poll(); });
  const auto table_service = table_service_();
  if (!table_service) return;
  table_service->ReadInstances(
      [self = shared_from_this()](const StoreReply& reply) {
        if (!self->stopped_) self->HandleList(reply);
      });
}

void InstanceWatcher::HandleList(const StoreReply& reply) {
  // A lagging replica may return an older list or the same one again.
  if (reply.code != ResultCode::kOk || reply.version <= revision_) return;
  LastReason reason;
  auto list = ParseInstanceList(reply.value, reason);
  if (!list) {
    context_.state.timeline.Record(
        LogLevel::kError, EventKind::kInstanceListRefused, reason.code(),
        {{"reason", reason.message()}});
    return;
  }
  revision_ = reply.version;
  if (!list->refused.empty()) {
    context_.state.timeline.Record(
        LogLevel::kWarning, EventKind::kEntryRefused, ResultCode::kFieldInvalid,
        {{"instances", std::to_string(list->refused.size())},
         {"reason", list->refused.front()},
         {"version", std::to_string(revision_)}});
  }
  if (const auto peers = peers_()) peers->SetListedPeers(list->daemons);
  HandleLeavingEvent(
      context_, InstanceListRead{reply.version, std::move(list->upstreams)});
}

}  // namespace wisteriayoke
