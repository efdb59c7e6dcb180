#include "supervisor/root/root_supervisor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "supervisor/context/child_path.h"
#include "supervisor/context/child_record.h"
#include "supervisor/context/log.h"
#include "supervisor/context/server_limits.h"

namespace wisteriayoke {
namespace {

/// Time to send the last answers after the longest route deadline.
constexpr Duration kDrainMargin = std::chrono::seconds(5);
/// Time between terminating the remaining requests and the end of the grace
/// period, at which the process is killed.
constexpr Duration kKillMargin = std::chrono::milliseconds(700);
/// Upstreams that a relayed request may crash before it is refused; the relay
/// makes no isolated runs, and connections break for other reasons as well.
constexpr std::size_t kRelayCrashes = 3;

}  // namespace

RootSupervisor::RootSupervisor(EventLoop& loop, const Settings& settings,
                               EndHandler on_end)
    : loop_(loop),
      settings_(settings),
      on_end_(std::move(on_end)),
      children_(loop, MakeChildObserver(state_.timeline),
                [this](const LastReason& reason) { End(reason); }) {
  const ProcessLimits limits = ReadProcessLimits(settings);
  loop.memory().SetLimits(limits.memory_bytes, limits.descriptors);
  QuarantineLimits suspects{
      .lifetime = settings.Milliseconds(SettingKey::kSuspectLifetime)};
  if (settings.Interface() == FrontInterface::kRelay) {
    suspects.crashes = kRelayCrashes;
  }
  state_.quarantine =
      Quarantine(DaemonName(settings.Text(SettingKey::kDaemonName)), suspects);
  state_.relay.segments =
      SegmentQuarantine(DaemonName(settings.Text(SettingKey::kDaemonName)));
  state_.relay.freshness = Freshness(
      {.revocation = settings.Milliseconds(SettingKey::kRevocationTime)});
}

void RootSupervisor::Reload(const Settings& settings) {
  if (const auto peers = children_.Find<PeerLink>()) {
    peers->SetListedPeers(settings.EndpointsOf(SettingKey::kPeerSeeds));
  }
  state_.timeline.Record(LogLevel::kInfo, EventKind::kReloaded, ResultCode::kOk,
                         {{"seeds", settings.Text(SettingKey::kPeerSeeds)}});
}

TableServiceFinder RootSupervisor::MakeTableServiceFinder() {
  return [this] { return children_.Find<TableServiceClient>(); };
}

PeerFinder RootSupervisor::MakePeerFinder() {
  return [this] { return children_.Find<PeerLink>(); };
}

OperatorsHooks RootSupervisor::MakeOperatorsHooks() {
  return {.describe = [this] { return DescribeStatus(); },
          .request_stop = [this] { RequestStop(StopSource::kOperator); },
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
  if (const auto tables = children_.Find<TableManager>()) {
    return tables->Announce(number, content, reason);
  }
  reason.Set(ResultCode::kNotReady, "the tables' child is restarting");
  return false;
}

bool RootSupervisor::Start(LastReason& reason) {
  switch (settings_.Interface()) {
    case FrontInterface::kRelay:
      return StartRelay(reason);
    case FrontInterface::kCompletions:
      break;
  }
  return StartCompletions(reason);
}

template <typename Kind>
bool RootSupervisor::AddChild(const std::string& name, LastReason& reason) {
  return children_.Add({.name = name,
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<Kind>(
                                  Context(), std::move(on_failure)));
                            }},
                       reason);
}

bool RootSupervisor::AddOperators(LastReason& reason) {
  return children_.Add(
      {.name = "operators",
       .create =
           [this](FailureHandler on_failure) {
             return Child(std::make_shared<OperatorsServer>(
                 Context(), MakeOperatorsHooks(), std::move(on_failure)));
           }},
      reason);
}

bool RootSupervisor::AddPeers(LastReason& reason) {
  return AddChild<PeerLink>("peers", reason);
}

bool RootSupervisor::AddStoreFollower(LastReason& reason) {
  return children_.Add({.name = "store-follower",
                        .create =
                            [this](const FailureHandler& on_failure) {
                              return Child(std::make_shared<StoreFollower>(
                                  Context(), MakePeerFinder(), on_failure));
                            }},
                       reason);
}

bool RootSupervisor::StartRelay(LastReason& reason) {
  return AddOperators(reason) && AddPeers(reason) && AddStoreFollower(reason) &&
         AddChild<LayerPlacement>("layer-placement", reason) &&
         AddChild<ReadinessServer>("ready", reason) &&
         AddChild<RelayFrontEnd>("relay", reason);
}

bool RootSupervisor::StartCompletions(LastReason& reason) {
  return AddOperators(reason) &&
         AddChild<TableServiceClient>("table-service", reason) &&
         AddPeers(reason) &&
         children_.Add({.name = "instances",
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<InstanceWatcher>(
                                  Context(), MakeTableServiceFinder(),
                                  MakePeerFinder(), std::move(on_failure)));
                            }},
                       reason) &&
         children_.Add(
             {.name = "tables",
              .create =
                  [this](FailureHandler on_failure) {
                    return Child(std::make_shared<TableManager>(
                        Context(), MakeTableServiceFinder(), MakePeerFinder(),
                        [this] { HandleTablesChanged(); },
                        std::move(on_failure)));
                  }},
             reason) &&
         AddChild<UpstreamsSupervisor>("upstreams", reason) &&
         StartPlacement(reason) &&
         children_.Add({.name = "front",
                        .create =
                            [this](FailureHandler on_failure) {
                              return Child(std::make_shared<FrontEnd>(
                                  Context(), MakeTableServiceFinder(),
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
                 Context(), MakeTableServiceFinder(), std::move(on_failure)));
           }},
      reason);
}

void RootSupervisor::HandleTablesChanged() {
  for (const auto& upstream : state_.leaving.ListLeaving()) {
    state_.upstreams.SetLeaving(upstream, true);
  }
  LastReason reason;
  const auto upstreams = children_.Find<UpstreamsSupervisor>();
  if (upstreams && !upstreams->ApplyTables(reason)) {
    children_.FailChild("upstreams", reason);
  }
  const auto placement = children_.Find<PlacementSupervisor>();
  if (placement && !placement->ApplyTables(reason)) {
    children_.FailChild("placement", reason);
  }
}

void RootSupervisor::RequestStop(StopSource source) {
  const StopStep step = stop_sequence_.Handle(source);
  state_.timeline.Record(
      LogLevel::kInfo, EventKind::kStopRequested, ResultCode::kOk,
      {{"source", std::string(kStopSourceNames.NameOf(source))},
       {"step", std::string(kStopStepNames.NameOf(step))}});
  switch (step) {
    case StopStep::kBegin:
      state_.draining = true;
      StartDrainTimer();
      return children_.Stop([this] { EndStop(); });
    case StopStep::kExtend:
      return StartDrainTimer();
    case StopStep::kTerminate:
      return TerminateRequests();
    case StopStep::kIgnore:
      return;
  }
}

void RootSupervisor::StartDrainTimer() {
  drain_timer_ =
      loop_.Schedule(DrainDeadline(), [this] { TerminateRequests(); });
}

/// Returns how long a stop waits for requests in flight: the grace period less
/// kKillMargin for the relay, else the setting or, if that is 0, the longest
/// route deadline and kDrainMargin.
Duration RootSupervisor::DrainDeadline() const {
  if (settings_.Interface() == FrontInterface::kRelay) {
    const std::chrono::duration<double> grace(
        settings_.Decimal(SettingKey::kStopGrace));
    return std::chrono::duration_cast<Duration>(grace) - kKillMargin;
  }
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
  if (state_.requests_terminated > 0) {
    reason.Set(ResultCode::kShutdownCut,
               std::to_string(state_.requests_terminated) +
                   " requests were terminated by the stop; see the timeline.");
  }
  End(reason);
}

void RootSupervisor::TerminateRequests() {
  for (const auto& it : children_.FindAll<FrontEnd>()) it->TerminateSessions();
  for (const auto& front : children_.FindAll<RelayFrontEnd>()) {
    front->TerminateSessions();
  }
  for (const auto& server : children_.FindAll<OperatorsServer>()) {
    server->TerminateSessions();
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
  LastReason cause;
  cause.Set(ResultCode::kCancelled, "an operator requested a restart");
  bool found = false;
  if (rest.empty()) {
    found = children_.FailChild(name, cause);
  } else if (const auto upstreams =
                 children_.FindNamed<UpstreamsSupervisor>(name)) {
    found = upstreams->FailChild(rest, cause);
  }
  if (!found) {
    reason.Set(ResultCode::kUnknownChild,
               "no child \"" + path + "\" runs; the status lists them");
  }
  return found;
}

void RootSupervisor::End(const LastReason& reason) { on_end_(reason); }

}  // namespace wisteriayoke
