#include "supervisor/root/root_supervisor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "supervisor/context/child_path.h"
#include "supervisor/context/child_record.h"
#include "supervisor/context/log.h"

namespace wisteriayoke {
namespace {

/// Time for the last answers to leave after the longest deadline.
constexpr Duration kDrainMargin = std::chrono::seconds(5);

}  // namespace

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

OperatorsHooks RootSupervisor::MakeOperatorsHooks() {
  return {.describe = [this] { return DescribeStatus(); },
          .request_stop = [this] { RequestStop(); },
          .restart_child =
              [this](const std::string& path, LastReason& reason) {
                return RestartChild(path, reason);
              },
          .announce_tables =
              [this](std::uint64_t number, const std::string& content,
                     LastReason& reason) {
                return AnnounceTables(number, content, reason);
              }};
}

bool RootSupervisor::AnnounceTables(std::uint64_t number,
                                    const std::string& content,
                                    LastReason& reason) {
  if (const auto tables = children_.Find<TableKeeper>()) {
    return tables->Announce(number, content, reason);
  }
  reason.Set(ResultCode::kNotReady, "the tables' child is restarting");
  return false;
}

bool RootSupervisor::Start(LastReason& reason) {
  return children_.Add({.name = "operators",
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<OperatorsPort>(
                                  Context(), MakeOperatorsHooks(),
                                  std::move(on_failure)));
                            }},
                       reason) &&
         children_.Add({.name = "platform",
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
         children_.Add({.name = "instances",
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<InstanceWatcher>(
                                  Context(), MakePlatformFinder(),
                                  MakePeerFinder(), std::move(on_failure)));
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
         StartPlacement(reason) &&
         children_.Add({.name = "front",
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<FrontEnd>(
                                  Context(), MakePlatformFinder(),
                                  std::move(on_failure)));
                            }},
                       reason);
}

bool RootSupervisor::StartPlacement(LastReason& reason) {
  return children_.Add(
      {.name = "placement",
       .create =
           [this](FailureHandler on_failure) {
             return Child(std::make_shared<PlacementSupervisor>(
                 Context(), MakePlatformFinder(), std::move(on_failure)));
           }},
      reason);
}

void RootSupervisor::HandleTablesChanged() {
  for (const auto& upstream : state_.leaving.ListLeaving()) {
    state_.upstreams.SetLeaving(upstream, true);
  }
  LastReason reason;
  const auto upstreams = children_.Find<UpstreamsSupervisor>();
  if (upstreams && !upstreams->FollowTables(reason)) {
    children_.FailChild("upstreams", reason);
  }
  const auto placement = children_.Find<PlacementSupervisor>();
  if (placement && !placement->FollowTables(reason)) {
    children_.FailChild("placement", reason);
  }
}

void RootSupervisor::RequestStop() {
  if (state_.draining) return CutRequests();
  state_.draining = true;
  state_.timeline.Record(LogLevel::kInfo, EventKind::kStopRequested,
                         ResultCode::kOk, {});
  drain_timer_ = loop_.Schedule(DrainDeadline(), [this] { CutRequests(); });
  children_.Stop([this] { EndStop(); });
}

/// Returns the longest time for which requests in flight are waited for:
/// unless it is set, as long as any route lets them run.
Duration RootSupervisor::DrainDeadline() const {
  const Duration set = settings_.Milliseconds(SettingKey::kDrainDeadline);
  if (set > Duration::zero() || !state_.tables) return set;
  Duration longest{};
  for (const auto& route : state_.tables->spec().routes) {
    longest = std::max(longest, route.deadline);
  }
  return longest + kDrainMargin;
}

void RootSupervisor::EndStop() {
  LastReason reason;
  if (state_.requests_cut > 0) {
    reason.Set(ResultCode::kShutdownCut,
               std::to_string(state_.requests_cut) +
                   " requests were cut; see the time line.");
  }
  End(reason);
}

void RootSupervisor::CutRequests() {
  for (const auto& front : children_.FindAll<FrontEnd>()) front->CutSessions();
  for (const auto& port : children_.FindAll<OperatorsPort>()) {
    port->CutSessions();
  }
}

DaemonStatus RootSupervisor::DescribeStatus() {
  DaemonStatus status = BuildDaemonStatus(Context());
  for (const auto& child : children_.Describe()) {
    status.children.push_back({child.name, child.running, child.restarts});
  }
  if (const auto upstreams = children_.Find<UpstreamsSupervisor>()) {
    upstreams->DescribeChildren("upstreams/", status.children);
  }
  return status;
}

bool RootSupervisor::RestartChild(const std::string& path, LastReason& reason) {
  const auto [name, rest] = SplitChildPath(path);
  LastReason asked;
  asked.Set(ResultCode::kCancelled, "an operator asked for a restart");
  bool found = false;
  if (rest.empty()) {
    found = children_.FailChild(name, asked);
  } else if (const auto upstreams =
                 children_.FindNamed<UpstreamsSupervisor>(name)) {
    found = upstreams->FailChild(rest, asked);
  }
  if (!found) {
    reason.Set(ResultCode::kUnknownChild,
               "no child \"" + path + "\" runs; the status lists them");
  }
  return found;
}

void RootSupervisor::End(const LastReason& reason) { on_end_(reason); }

}  // namespace wisteriayoke
