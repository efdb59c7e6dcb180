#include "decisions/quarantine.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Reports of one upstream's crash that are closer than this are one crash.
constexpr Duration kSameCrashWindow = std::chrono::seconds(2);
constexpr Duration kRenewInterval = std::chrono::milliseconds(500);

Duration Distance(TimePoint a, TimePoint b) { return a < b ? b - a : a - b; }

}  // namespace

RunPermit Quarantine::Judge(const std::string& fingerprint,
                            TimePoint now) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return RunPermit::kShared;
  const Suspect& suspect = found->second;
  if (suspect.crashes.back().time + limits_.lifetime <= now) {
    return RunPermit::kShared;
  }
  if (suspect.crashes.size() >= limits_.crashes) return RunPermit::kRefused;
  return suspect.cleared ? RunPermit::kShared : RunPermit::kTrial;
}

bool Quarantine::MustStop(const std::string& fingerprint,
                          const RequestId& request, TimePoint now) const {
  switch (Judge(fingerprint, now)) {
    case RunPermit::kShared:
      return false;
    case RunPermit::kRefused:
      return true;
    case RunPermit::kTrial:
      break;
  }
  const auto trial = trials_.find(fingerprint);
  return trial == trials_.end() || trial->second.request != request;
}

TrialDecision Quarantine::Advance(const std::string& fingerprint,
                                  const RequestId& request,
                                  const TrialChainChooser& choose,
                                  TimePoint now) {
  Forget(now);
  switch (Judge(fingerprint, now)) {
    case RunPermit::kRefused:
      return {.step = TrialStep::kRefuse,
              .updates = EndTrial(fingerprint, request, now)};
    case RunPermit::kShared: {
      auto chain = choose(ListTrialUpstreams(now), false);
      if (!chain) chain = choose({}, false);
      if (!chain) return {};
      return {.step = TrialStep::kRun, .chain = std::move(*chain)};
    }
    case RunPermit::kTrial:
      break;
  }
  Trial* trial = FindTrial(fingerprint, request);
  if (trial != nullptr) return ContinueTrial(fingerprint, *trial, now);
  if (RunsElsewhere(fingerprint, now)) return {.step = TrialStep::kWait};
  return BeginTrial(fingerprint, request, choose, now);
}

TrialDecision Quarantine::BeginTrial(const std::string& fingerprint,
                                     const RequestId& request,
                                     const TrialChainChooser& choose,
                                     TimePoint now) {
  const std::set<UpstreamName> taken = ListTrialUpstreams(now);
  auto chain = choose(taken, true);
  if (!chain) chain = choose(taken, false);
  if (!chain) {
    return {.step = taken.empty() ? TrialStep::kUnavailable : TrialStep::kWait};
  }
  Trial& trial = trials_[fingerprint];
  trial = {request, std::move(*chain), now, now};
  return {.step = TrialStep::kWait, .updates = Tell(fingerprint, trial, false)};
}

TrialDecision Quarantine::ContinueTrial(const std::string& fingerprint,
                                        Trial& trial, TimePoint now) {
  if (!trial.running && LosesToPeer(fingerprint, trial, now)) {
    const RequestId request = trial.request;
    return {.step = TrialStep::kWait,
            .updates = EndTrial(fingerprint, request, now)};
  }
  if (now < trial.begun + kSettleTime) return {.step = TrialStep::kWait};
  trial.running = true;
  trial.told = now;
  return {.step = TrialStep::kRun,
          .chain = trial.chain,
          .trial = true,
          .updates = Tell(fingerprint, trial, false)};
}

std::vector<GossipUpdate> Quarantine::RecordCrash(
    const std::string& fingerprint, const RequestId& request,
    const UpstreamName& upstream, TokenIndex delivered, TimePoint now) {
  const Trial* trial = FindTrial(fingerprint, request);
  const bool on_trial = trial != nullptr && trial->running;
  AddCrash(fingerprint, {upstream, now, on_trial});
  RaiseCrashToken(fingerprint, delivered);
  GossipUpdates updates = EndTrial(fingerprint, request, now);
  updates.emplace_back(
      SuspectUpdate{fingerprint, upstream, {}, delivered, on_trial});
  return updates;
}

void Quarantine::RaiseCrashToken(const std::string& fingerprint,
                                 TokenIndex delivered) {
  auto& crash_token = suspects_[fingerprint].crash_token;
  crash_token = std::max(crash_token, delivered);
}

void Quarantine::AddCrash(const std::string& fingerprint, const Crash& crash) {
  if (!suspects_.contains(fingerprint)) ForgetOldest();
  Suspect& suspect = suspects_[fingerprint];
  for (auto& known : suspect.crashes) {
    // A trial begins after the crash before it, so that its own is another.
    if (known.upstream != crash.upstream || known.trial != crash.trial) {
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
  Trial* trial = FindTrial(fingerprint, request);
  if (trial == nullptr) return {};
  const auto found = suspects_.find(fingerprint);
  if (found != suspects_.end() &&
      delivered >= found->second.crash_token + kTrialTokens) {
    found->second.cleared = true;
    return EndTrial(fingerprint, request, now);
  }
  if (now < trial->told + kRenewInterval) return {};
  trial->told = now;
  return Tell(fingerprint, *trial, false);
}

std::vector<GossipUpdate> Quarantine::RecordAnswered(
    const std::string& fingerprint, const RequestId& request, TimePoint now) {
  suspects_.erase(fingerprint);
  return EndTrial(fingerprint, request, now);
}

std::vector<GossipUpdate> Quarantine::EndTrial(const std::string& fingerprint,
                                               const RequestId& request,
                                               TimePoint /*now*/) {
  const Trial* trial = FindTrial(fingerprint, request);
  if (trial == nullptr) return {};
  GossipUpdates updates = Tell(fingerprint, *trial, true);
  trials_.erase(fingerprint);
  return updates;
}

void Quarantine::Learn(const SuspectUpdate& update, TimePoint now) {
  if (update.age >= limits_.lifetime) return;
  AddCrash(update.fingerprint,
           {update.upstream, now - update.age, update.trial});
  RaiseCrashToken(update.fingerprint, update.delivered);
}

void Quarantine::Learn(const IsolatedRunUpdate& update, TimePoint now) {
  if (update.daemon == self_) return;
  const TimePoint said = now - update.age;
  const auto [known, first] =
      peer_trials_.try_emplace({update.upstream, update.daemon});
  PeerTrial& trial = known->second;
  // Rumours overtake each other; an older one says nothing of a later trial.
  const bool same = trial.fingerprint == update.fingerprint;
  const bool older = said < trial.seen ||
                     (said == trial.seen && (update.ended ? !same : same));
  if (!first && older) return;
  trial = {update.fingerprint, said, update.ended};
}

bool Quarantine::IsUnderWay(const PeerTrial& trial, TimePoint now) {
  return !trial.ended && now < trial.seen + kTrialLifetime;
}

std::set<UpstreamName> Quarantine::ListTrialUpstreams(TimePoint now) const {
  std::set<UpstreamName> upstreams;
  for (const auto& [fingerprint, trial] : trials_) {
    for (const auto& stage : trial.chain) upstreams.insert(stage.upstream);
  }
  for (const auto& [key, trial] : peer_trials_) {
    if (IsUnderWay(trial, now)) upstreams.insert(key.first);
  }
  return upstreams;
}

bool Quarantine::RunsElsewhere(const std::string& fingerprint,
                               TimePoint now) const {
  if (trials_.contains(fingerprint)) return true;
  return std::any_of(peer_trials_.begin(), peer_trials_.end(),
                     [&](const auto& entry) {
                       return entry.second.fingerprint == fingerprint &&
                              IsUnderWay(entry.second, now);
                     });
}

/// Tells whether a peer with a lesser name begins a trial of the same content
/// or on one of the same upstreams.
bool Quarantine::LosesToPeer(const std::string& fingerprint, const Trial& trial,
                             TimePoint now) const {
  for (const auto& [key, peer] : peer_trials_) {
    if (!IsUnderWay(peer, now) || self_ < key.second) continue;
    if (peer.fingerprint == fingerprint) return true;
    for (const auto& stage : trial.chain) {
      if (stage.upstream == key.first) return true;
    }
  }
  return false;
}

Quarantine::Trial* Quarantine::FindTrial(const std::string& fingerprint,
                                         const RequestId& request) {
  const auto found = trials_.find(fingerprint);
  if (found == trials_.end() || found->second.request != request) {
    return nullptr;
  }
  return &found->second;
}

std::vector<GossipUpdate> Quarantine::Tell(const std::string& fingerprint,
                                           const Trial& trial,
                                           bool ended) const {
  GossipUpdates updates;
  for (const auto& stage : trial.chain) {
    updates.emplace_back(
        IsolatedRunUpdate{fingerprint, stage.upstream, self_, ended, {}});
  }
  return updates;
}

void Quarantine::Forget(TimePoint now) {
  std::erase_if(suspects_, [&](const auto& entry) {
    return entry.second.crashes.back().time + limits_.lifetime <= now;
  });
  std::erase_if(peer_trials_, [&](const auto& entry) {
    return entry.second.seen + kTrialLifetime <= now;
  });
}

void Quarantine::ForgetOldest() {
  if (suspects_.size() < limits_.suspects) return;
  suspects_.erase(std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return a.second.crashes.back().time < b.second.crashes.back().time;
      }));
}

}  // namespace wisteriayoke
