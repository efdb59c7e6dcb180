#include "decisions/quarantine.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Reports of one upstream's crash that are closer than this are one crash.
constexpr Duration kSameCrashWindow = std::chrono::seconds(2);
constexpr Duration kRenewInterval = std::chrono::milliseconds(500);

Duration Distance(TimePoint a, TimePoint b) { return a < b ? b - a : a - b; }

}  // namespace

RunPermit Quarantine::PermitOf(const std::string& fingerprint,
                               TimePoint now) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return RunPermit::kShared;
  const Suspect& suspect = found->second;
  if (suspect.crashes.back().time + limits_.lifetime <= now) {
    return RunPermit::kShared;
  }
  if (suspect.crashes.size() >= limits_.crashes) return RunPermit::kRefused;
  return suspect.cleared ? RunPermit::kShared : RunPermit::kIsolated;
}

bool Quarantine::MustStop(const std::string& fingerprint,
                          const RequestId& request, TimePoint now) const {
  switch (PermitOf(fingerprint, now)) {
    case RunPermit::kShared:
      return false;
    case RunPermit::kRefused:
      return true;
    case RunPermit::kIsolated:
      break;
  }
  const auto run = isolated_runs_.find(fingerprint);
  return run == isolated_runs_.end() || run->second.request != request;
}

RunDecision Quarantine::DecideRun(const std::string& fingerprint,
                                  const RequestId& request,
                                  const ChainChooser& choose, TimePoint now) {
  DropExpired(now);
  switch (PermitOf(fingerprint, now)) {
    case RunPermit::kRefused:
      return {.step = RunStep::kRefuse,
              .updates = EndIsolatedRun(fingerprint, request, now)};
    case RunPermit::kShared: {
      auto chain = choose(ListIsolatedRunUpstreams(now), false);
      if (!chain) chain = choose({}, false);
      if (!chain) return {};
      return {.step = RunStep::kRun, .chain = std::move(*chain)};
    }
    case RunPermit::kIsolated:
      break;
  }
  IsolatedRun* run = FindIsolatedRun(fingerprint, request);
  if (run != nullptr) return ContinueIsolatedRun(fingerprint, *run, now);
  if (HasOtherIsolatedRun(fingerprint, now)) return {.step = RunStep::kWait};
  return BeginIsolatedRun(fingerprint, request, choose, now);
}

RunDecision Quarantine::BeginIsolatedRun(const std::string& fingerprint,
                                         const RequestId& request,
                                         const ChainChooser& choose,
                                         TimePoint now) {
  const std::set<UpstreamName> taken = ListIsolatedRunUpstreams(now);
  auto chain = choose(taken, true);
  if (!chain) chain = choose(taken, false);
  if (!chain) {
    return {.step = taken.empty() ? RunStep::kUnavailable : RunStep::kWait};
  }
  IsolatedRun& run = isolated_runs_[fingerprint];
  run = {request, std::move(*chain), now, now};
  return {.step = RunStep::kWait,
          .updates = MakeUpdates(fingerprint, run, false)};
}

RunDecision Quarantine::ContinueIsolatedRun(const std::string& fingerprint,
                                            IsolatedRun& run, TimePoint now) {
  if (!run.running && YieldsToPeer(fingerprint, run, now)) {
    const RequestId request = run.request;
    return {.step = RunStep::kWait,
            .updates = EndIsolatedRun(fingerprint, request, now)};
  }
  if (now < run.announced_at + kSettleTime) return {.step = RunStep::kWait};
  run.running = true;
  run.renewed_at = now;
  return {.step = RunStep::kRun,
          .chain = run.chain,
          .isolated_run = true,
          .updates = MakeUpdates(fingerprint, run, false)};
}

std::vector<GossipUpdate> Quarantine::RecordCrash(
    const std::string& fingerprint, const RequestId& request,
    const UpstreamName& upstream, TokenIndex delivered, TimePoint now) {
  const IsolatedRun* run = FindIsolatedRun(fingerprint, request);
  const bool isolated = run != nullptr && run->running;
  AddCrash(fingerprint, {upstream, now, isolated});
  RaiseCrashToken(fingerprint, delivered);
  GossipUpdates updates = EndIsolatedRun(fingerprint, request, now);
  updates.emplace_back(
      SuspectUpdate{fingerprint, upstream, {}, delivered, isolated});
  return updates;
}

void Quarantine::RaiseCrashToken(const std::string& fingerprint,
                                 TokenIndex delivered) {
  auto& crash_token = suspects_[fingerprint].crash_token;
  crash_token = std::max(crash_token, delivered);
}

void Quarantine::AddCrash(const std::string& fingerprint, const Crash& crash) {
  if (!suspects_.contains(fingerprint)) DropOldestIfFull();
  Suspect& suspect = suspects_[fingerprint];
  for (auto& known : suspect.crashes) {
    // An isolated run starts after an earlier crash, so its crash is another.
    if (known.upstream != crash.upstream ||
        known.isolated_run != crash.isolated_run) {
      continue;
    }
    if (Distance(known.time, crash.time) < kSameCrashWindow) return;
  }
  const auto later = std::find_if(
      suspect.crashes.begin(), suspect.crashes.end(),
      [&crash](const Crash& known) { return known.time > crash.time; });
  suspect.crashes.insert(later, crash);
  suspect.cleared = false;
}

std::vector<GossipUpdate> Quarantine::RecordToken(
    const std::string& fingerprint, const RequestId& request,
    TokenIndex delivered, TimePoint now) {
  IsolatedRun* run = FindIsolatedRun(fingerprint, request);
  if (run == nullptr) return {};
  const auto found = suspects_.find(fingerprint);
  if (found != suspects_.end() &&
      delivered >= found->second.crash_token + kIsolatedRunTokens) {
    found->second.cleared = true;
    return EndIsolatedRun(fingerprint, request, now);
  }
  if (now < run->renewed_at + kRenewInterval) return {};
  run->renewed_at = now;
  return MakeUpdates(fingerprint, *run, false);
}

std::vector<GossipUpdate> Quarantine::RecordAnswered(
    const std::string& fingerprint, const RequestId& request, TimePoint now) {
  suspects_.erase(fingerprint);
  return EndIsolatedRun(fingerprint, request, now);
}

std::vector<GossipUpdate> Quarantine::EndIsolatedRun(
    const std::string& fingerprint, const RequestId& request,
    TimePoint /*now*/) {
  const IsolatedRun* run = FindIsolatedRun(fingerprint, request);
  if (run == nullptr) return {};
  GossipUpdates updates = MakeUpdates(fingerprint, *run, true);
  isolated_runs_.erase(fingerprint);
  return updates;
}

void Quarantine::Apply(const SuspectUpdate& update, TimePoint now) {
  if (update.age >= limits_.lifetime) return;
  AddCrash(update.fingerprint,
           {update.upstream, now - update.age, update.isolated_run});
  RaiseCrashToken(update.fingerprint, update.delivered);
}

void Quarantine::Apply(const IsolatedRunUpdate& update, TimePoint now) {
  if (update.daemon == self_) return;
  const TimePoint sent_at = now - update.age;
  const auto [known, first] =
      peer_isolated_runs_.try_emplace({update.upstream, update.daemon});
  PeerIsolatedRun& run = known->second;
  // Updates may overtake each other; an outdated one has no effect.
  const bool same = run.fingerprint == update.fingerprint;
  const bool older =
      sent_at < run.reported_at ||
      (sent_at == run.reported_at && (update.ended ? !same : same));
  if (!first && older) return;
  run = {update.fingerprint, sent_at, update.ended};
}

bool Quarantine::IsUnderWay(const PeerIsolatedRun& run, TimePoint now) {
  return !run.ended && now < run.reported_at + kIsolatedRunLifetime;
}

std::set<UpstreamName> Quarantine::ListIsolatedRunUpstreams(
    TimePoint now) const {
  std::set<UpstreamName> upstreams;
  for (const auto& [fingerprint, run] : isolated_runs_) {
    for (const auto& stage : run.chain) upstreams.insert(stage.upstream);
  }
  for (const auto& [key, run] : peer_isolated_runs_) {
    if (IsUnderWay(run, now)) upstreams.insert(key.first);
  }
  return upstreams;
}

bool Quarantine::HasOtherIsolatedRun(const std::string& fingerprint,
                                     TimePoint now) const {
  if (isolated_runs_.contains(fingerprint)) return true;
  return std::any_of(peer_isolated_runs_.begin(), peer_isolated_runs_.end(),
                     [&](const auto& entry) {
                       return entry.second.fingerprint == fingerprint &&
                              IsUnderWay(entry.second, now);
                     });
}

/// Returns whether a peer with a lesser name has an isolated run of the same
/// content or on one of the same upstreams.
bool Quarantine::YieldsToPeer(const std::string& fingerprint,
                              const IsolatedRun& run, TimePoint now) const {
  for (const auto& [key, peer] : peer_isolated_runs_) {
    if (!IsUnderWay(peer, now) || self_ < key.second) continue;
    if (peer.fingerprint == fingerprint) return true;
    for (const auto& stage : run.chain) {
      if (stage.upstream == key.first) return true;
    }
  }
  return false;
}

Quarantine::IsolatedRun* Quarantine::FindIsolatedRun(
    const std::string& fingerprint, const RequestId& request) {
  const auto found = isolated_runs_.find(fingerprint);
  if (found == isolated_runs_.end() || found->second.request != request) {
    return nullptr;
  }
  return &found->second;
}

std::vector<GossipUpdate> Quarantine::MakeUpdates(
    const std::string& fingerprint, const IsolatedRun& run, bool ended) const {
  GossipUpdates updates;
  for (const auto& stage : run.chain) {
    updates.emplace_back(
        IsolatedRunUpdate{fingerprint, stage.upstream, self_, ended, {}});
  }
  return updates;
}

void Quarantine::DropExpired(TimePoint now) {
  std::erase_if(suspects_, [&](const auto& entry) {
    return entry.second.crashes.back().time + limits_.lifetime <= now;
  });
  std::erase_if(peer_isolated_runs_, [&](const auto& entry) {
    return entry.second.reported_at + kIsolatedRunLifetime <= now;
  });
}

void Quarantine::DropOldestIfFull() {
  if (suspects_.size() < limits_.suspects) return;
  suspects_.erase(std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return a.second.crashes.back().time < b.second.crashes.back().time;
      }));
}

}  // namespace wisteriayoke
