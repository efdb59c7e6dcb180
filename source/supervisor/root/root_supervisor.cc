#include "supervisor/root/root_supervisor.h"

#include <utility>

#include "supervisor/context/child_record.h"
#include "supervisor/context/log.h"

namespace wisteriayoke {

RootSupervisor::RootSupervisor(EventLoop& loop, const Settings& settings,
                               EndHandler on_end)
    : loop_(loop),
      settings_(settings),
      on_end_(std::move(on_end)),
      children_(loop, MakeChildObserver(state_.timeline),
                [this](const LastReason& reason) { End(reason); }) {
  state_.quarantine = Quarantine(
      DaemonName(settings.Text(SettingKey::kDaemonName)),
      {.lifetime = settings.Milliseconds(SettingKey::kSuspectLifetime)});
}

PlatformFinder RootSupervisor::MakePlatformFinder() {
  return [this] { return children_.Find<PlatformClient>(); };
}

PeerFinder RootSupervisor::MakePeerFinder() {
  return [this] { return children_.Find<PeerLink>(); };
}

bool RootSupervisor::Start(LastReason& reason) {
  return children_.Add({.name = "platform",
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<PlatformClient>(
                                  Context(), std::move(on_failure)));
                            }},
                       reason) &&
         children_.Add({.name = "peers",
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<PeerLink>(
                                  Context(), std::move(on_failure)));
                            }},
                       reason) &&
         children_.Add(
             {.name = "tables",
              .create =
                  [this](FailureHandler on_failure) {
                    return Child(std::make_shared<TableKeeper>(
                        Context(), MakePlatformFinder(), MakePeerFinder(),
                        [this] { HandleTablesChanged(); },
                        std::move(on_failure)));
                  }},
             reason) &&
         children_.Add(
             {.name = "upstreams",
              .create =
                  [this](FailureHandler on_failure) {
                    return Child(std::make_shared<UpstreamsSupervisor>(
                        Context(), std::move(on_failure)));
                  }},
             reason) &&
         children_.Add({.name = "front",
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<FrontEnd>(
                                  Context(), MakePlatformFinder(),
                                  std::move(on_failure)));
                            }},
                       reason);
}

void RootSupervisor::HandleTablesChanged() {
  const auto upstreams = children_.Find<UpstreamsSupervisor>();
  if (!upstreams) return;
  LastReason reason;
  if (!upstreams->FollowTables(reason)) {
    children_.FailChild("upstreams", reason);
  }
}

void RootSupervisor::RequestStop() {
  if (state_.draining) return CutRequests();
  state_.draining = true;
  state_.timeline.Record(LogLevel::kInfo, EventKind::kStopRequested,
                         ResultCode::kOk, {});
  drain_timer_ =
      loop_.Schedule(settings_.Milliseconds(SettingKey::kDrainDeadline),
                     [this] { CutRequests(); });
  children_.Stop([this] { End({}); });
}

void RootSupervisor::CutRequests() {
  if (const auto front = children_.Find<FrontEnd>()) front->CutSessions();
}

void RootSupervisor::End(const LastReason& reason) { on_end_(reason); }

}  // namespace wisteriayoke
