#include "decisions/quarantine.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Reports of one upstream's crash that are closer than this are one crash.
constexpr Duration kSameCrashWindow = std::chrono::seconds(2);
constexpr Duration kRenewInterval = std::chrono::milliseconds(500);
/// Time before the end of a suspicion from which it isn't repeated, so that no
/// peer keeps it for longer.
constexpr Duration kRepeatMargin = std::chrono::seconds(60);
/// One in so many repeats is of a content whose turn it is.
constexpr unsigned kTurnInterval = 4;

}  // namespace

RunPermit Quarantine::PermitOf(const std::string& fingerprint,
                               TimePoint now) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return RunPermit::kShared;
  const Suspect& suspect = found->second;
  if (suspect.crashes.empty() ||
      suspect.crashes.back().time + limits_.lifetime <= now) {
    return RunPermit::kShared;
  }
  if (IsRefused(suspect)) return RunPermit::kRefused;
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
      RecordRefusal(fingerprint, now);
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

/// Returns whether both are reports of one crash, as far as their times tell.
bool Quarantine::IsSameCrash(const Crash& a, const Crash& b) {
  // An isolated run starts after an earlier crash, so its crash is another.
  return a.upstream == b.upstream && a.isolated_run == b.isolated_run &&
         a.time < b.time + b.uncertainty + kSameCrashWindow &&
         b.time < a.time + a.uncertainty + kSameCrashWindow;
}

void Quarantine::AddCrash(const std::string& fingerprint, const Crash& crash) {
  Suspect& suspect = FindOrAdd(fingerprint);
  if (suspect.answered_at && crash.time < *suspect.answered_at) return;
  auto& crashes = suspect.crashes;
  const auto known = std::find_if(
      crashes.begin(), crashes.end(),
      [&crash](const Crash& other) { return IsSameCrash(other, crash); });
  if (known == crashes.end()) {
    crashes.push_back(crash);
    suspect.cleared = false;
  } else if (crash.uncertainty < known->uncertainty) {
    *known = crash;
  } else if (crash.uncertainty == known->uncertainty) {
    known->time = std::min(known->time, crash.time);
  }
  std::stable_sort(
      crashes.begin(), crashes.end(),
      [](const Crash& a, const Crash& b) { return a.time < b.time; });
  if (crashes.size() > limits_.crashes) crashes.erase(crashes.begin());
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
  const auto found = suspects_.find(fingerprint);
  if (found != suspects_.end()) ClearUntil(found->second, now);
  return EndIsolatedRun(fingerprint, request, now);
}

void Quarantine::ClearUntil(Suspect& suspect, TimePoint answered_at) {
  if (suspect.answered_at && *suspect.answered_at >= answered_at) return;
  suspect.answered_at = answered_at;
  std::erase_if(suspect.crashes, [answered_at](const Crash& crash) {
    return crash.time <= answered_at;
  });
  if (suspect.crashes.empty()) suspect.crash_token = 0;
}

void Quarantine::RecordRefusal(const std::string& fingerprint, TimePoint now) {
  const auto found = suspects_.find(fingerprint);
  if (found != suspects_.end()) found->second.last_refused = now;
}

/// Returns the refused contents that peers may be told of, in order of the last
/// refusal or crash, the latest first.
std::vector<Quarantine::Suspects::const_iterator> Quarantine::ListRepeatable(
    TimePoint now) const {
  std::vector<Suspects::const_iterator> refused;
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();
       ++suspect) {
    const auto& crashes = suspect->second.crashes;
    const bool repeatable =
        IsRefused(suspect->second) &&
        crashes.back().time + limits_.lifetime > now + kRepeatMargin &&
        std::all_of(crashes.begin(), crashes.end(), [](const Crash& crash) {
          return crash.uncertainty == Duration::zero();
        });
    if (repeatable) refused.push_back(suspect);
  }
  const auto last_use = [](Suspects::const_iterator suspect) {
    return std::max(suspect->second.last_refused,
                    suspect->second.crashes.back().time);
  };
  std::stable_sort(refused.begin(), refused.end(),
                   [&](auto a, auto b) { return last_use(a) > last_use(b); });
  return refused;
}

std::vector<GossipUpdate> Quarantine::RepeatRefused(std::size_t count,
                                                    TimePoint now) {
  DropExpired(now);
  auto refused = ListRepeatable(now);
  const bool is_turn = ++repeats_ % kTurnInterval == 0;
  const std::size_t in_turn =
      std::max<std::size_t>(count / kTurnInterval, is_turn ? 1 : 0);
  const std::size_t recent = std::min(count - in_turn, refused.size());
  // Sorts the others by fingerprint, from the one after the last repeated.
  const auto rest = refused.begin() + static_cast<std::ptrdiff_t>(recent);
  std::sort(rest, refused.end(), [this](auto a, auto b) {
    return std::pair(a->first <= last_repeated_, a->first) <
           std::pair(b->first <= last_repeated_, b->first);
  });
  refused.resize(std::min(count, refused.size()));
  GossipUpdates updates;
  for (std::size_t i = 0; i < refused.size(); ++i) {
    for (auto& update : DescribeCrashes(refused[i], now)) {
      updates.push_back(std::move(update));
    }
    if (i >= recent) last_repeated_ = refused[i]->first;
  }
  return updates;
}

std::vector<GossipUpdate> Quarantine::DescribeCrashes(
    Suspects::const_iterator found, TimePoint now) const {
  GossipUpdates updates;
  for (const auto& crash : found->second.crashes) {
    updates.emplace_back(SuspectUpdate{.fingerprint = found->first,
                                       .upstream = crash.upstream,
                                       .age = now - crash.time,
                                       .delivered = found->second.crash_token,
                                       .isolated_run = crash.isolated_run});
  }
  return updates;
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

std::vector<GossipUpdate> Quarantine::Apply(const SuspectUpdate& update,
                                            TimePoint now) {
  const Duration age = update.age + update.uncertainty;
  if (age >= limits_.lifetime) return {};
  const auto found = suspects_.find(update.fingerprint);
  if (found != suspects_.end() && found->second.answered_at &&
      now - age < *found->second.answered_at) {
    // The first news of a crash may have crossed the answer.
    if (update.age < kSameCrashWindow) return {};
    return {SuspectClearedUpdate{.fingerprint = update.fingerprint,
                                 .age = now - *found->second.answered_at}};
  }
  AddCrash(update.fingerprint, {update.upstream, now - age, update.isolated_run,
                                update.uncertainty});
  RaiseCrashToken(update.fingerprint, update.delivered);
  return {};
}

void Quarantine::Apply(const SuspectClearedUpdate& update, TimePoint now) {
  if (update.age >= limits_.lifetime) return;
  ClearUntil(FindOrAdd(update.fingerprint), now - update.age);
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
    return LastEventOf(entry.second) + limits_.lifetime <= now;
  });
  std::erase_if(peer_isolated_runs_, [&](const auto& entry) {
    return entry.second.reported_at + kIsolatedRunLifetime <= now;
  });
}

/// Returns the time of the latest crash or answer.
TimePoint Quarantine::LastEventOf(const Suspect& suspect) {
  const TimePoint answered_at = suspect.answered_at.value_or(TimePoint());
  if (suspect.crashes.empty()) return answered_at;
  return std::max(answered_at, suspect.crashes.back().time);
}

Quarantine::Suspect& Quarantine::FindOrAdd(const std::string& fingerprint) {
  const auto found = suspects_.find(fingerprint);
  if (found != suspects_.end()) return found->second;
  DropOldestIfFull();
  return suspects_[fingerprint];
}

/// Drops several at once, so that each costs little.
void Quarantine::DropOldestIfFull() {
  constexpr std::size_t kDroppedPart = 8;
  if (suspects_.size() < limits_.suspects) return;
  const auto rank = [this](Suspects::const_iterator suspect) {
    return std::pair(IsRefused(suspect->second), LastEventOf(suspect->second));
  };
  std::vector<Suspects::const_iterator> oldest;
  for (auto it = suspects_.cbegin(); it != suspects_.cend(); ++it) {
    oldest.push_back(it);
  }
  const std::size_t count =
      std::max<std::size_t>(1, limits_.suspects / kDroppedPart);
  std::nth_element(
      oldest.begin(), oldest.begin() + static_cast<std::ptrdiff_t>(count - 1),
      oldest.end(), [&rank](auto a, auto b) { return rank(a) < rank(b); });
  for (std::size_t i = 0; i < count; ++i) suspects_.erase(oldest[i]);
}

std::size_t Quarantine::CountSuspects() const {
  return static_cast<std::size_t>(std::count_if(
      suspects_.begin(), suspects_.end(),
      [](const auto& entry) { return !entry.second.crashes.empty(); }));
}

}  // namespace wisteriayoke
