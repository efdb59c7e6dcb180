#include "decisions/segment_quarantine.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <utility>

namespace wisteriayoke {
namespace {

/// Reports of one upstream's crash that are closer than this are one crash.
constexpr Duration kSameCrashWindow = std::chrono::milliseconds(500);
/// A block that begins later by at most this much is the same block.
constexpr Duration kRenewalWindow = std::chrono::seconds(2);
/// Time after its end for which a block that nothing tried is kept, as a
/// multiple of its length.
constexpr int kKeptFactor = 4;

std::set<SegmentId> TakeFirst(const std::vector<SegmentId>& segments) {
  const std::size_t count =
      std::min(segments.size(), SegmentQuarantine::kMaxSegments);
  return {segments.begin(),
          segments.begin() + static_cast<std::ptrdiff_t>(count)};
}

}  // namespace

std::optional<SegmentId> SegmentQuarantine::FindBlocked(
    const std::vector<SegmentId>& segments, const RequestId& request,
    TimePoint now) {
  for (const auto& segment : segments) {
    const auto found = blocks_.find(segment);
    if (found == blocks_.end()) continue;
    Block& block = found->second;
    if (now < EndOf(segment, block)) return segment;
    if (block.probe.value_or(request) != request) return segment;
    block.probe = request;
  }
  return std::nullopt;
}

bool SegmentQuarantine::MustStop(const std::vector<SegmentId>& segments,
                                 const RequestId& request) const {
  return std::any_of(segments.begin(), segments.end(),
                     [this, &request](const SegmentId& segment) {
                       const auto found = blocks_.find(segment);
                       return found != blocks_.end() &&
                              found->second.probe != request;
                     });
}

std::vector<GossipUpdate> SegmentQuarantine::RecordCrash(
    const std::vector<SegmentId>& segments, const RequestId& request,
    const UpstreamName& upstream, TimePoint sent_at, TimePoint now) {
  RecordEnd(request);
  Witness witness{.request = request,
                  .upstream = upstream,
                  .segments = TakeFirst(segments),
                  .sent_at = sent_at,
                  .crashed_at = now};
  if (witness.segments.empty() || IsKnown(witness)) return {};
  GossipUpdates updates{SegmentCrashUpdate{
      .request = request,
      .upstream = upstream,
      .segments = {witness.segments.begin(), witness.segments.end()},
      .running = now - sent_at}};
  for (auto& update : AddWitness(std::move(witness), now)) {
    updates.push_back(std::move(update));
  }
  return updates;
}

bool SegmentQuarantine::IsKnown(const Witness& witness) const {
  return std::any_of(witnesses_.begin(), witnesses_.end(),
                     [&witness](const Witness& other) {
                       return other.request == witness.request &&
                              other.upstream == witness.upstream;
                     });
}

std::size_t SegmentQuarantine::CountWitnesses() const {
  return static_cast<std::size_t>(std::count_if(
      witnesses_.begin(), witnesses_.end(),
      [](const Witness& witness) { return !witness.segments.empty(); }));
}

bool SegmentQuarantine::SameCrash(const Witness& a, const Witness& b) {
  return a.upstream == b.upstream &&
         std::max(a.crashed_at, b.crashed_at) -
                 std::min(a.crashed_at, b.crashed_at) <
             kSameCrashWindow;
}

void SegmentQuarantine::InsertWitness(Witness witness) {
  const auto later = std::find_if(
      witnesses_.begin(), witnesses_.end(), [&witness](const Witness& other) {
        return other.crashed_at > witness.crashed_at;
      });
  witnesses_.insert(later, std::move(witness));
  if (witnesses_.size() > kMaxWitnesses) witnesses_.erase(witnesses_.begin());
}

/// Records that a blocked segment caused the crash that `witness` saw.
void SegmentQuarantine::ExplainCrash(const Witness& witness) {
  for (auto& other : witnesses_) {
    if (!SameCrash(other, witness)) continue;
    other.explained = true;
    other.segments.clear();
  }
}

SegmentQuarantine::GossipUpdates SegmentQuarantine::AddWitness(Witness witness,
                                                               TimePoint now) {
  DropExpired(now);
  auto explaining = ExplainByBlocks(witness, now);
  if (explaining) ExplainCrash(witness);
  witness.explained =
      explaining ||
      std::any_of(witnesses_.begin(), witnesses_.end(),
                  [&witness](const Witness& other) {
                    return other.explained && SameCrash(other, witness);
                  });
  std::erase_if(witness.segments, [this, &witness](const SegmentId& segment) {
    return witness.explained || WasClearedSince(segment, witness.crashed_at);
  });
  witness.answers_before = answers_;
  InsertWitness(std::move(witness));
  return explaining ? *explaining : BlockGuilty(now);
}

/// Returns the blocks that explain a crash, to tell the daemon that may not
/// know them, or nothing if none does. A crash of a request that was let
/// through renews its block.
std::optional<SegmentQuarantine::GossipUpdates>
SegmentQuarantine::ExplainByBlocks(const Witness& witness, TimePoint now) {
  GossipUpdates updates;
  for (const auto& segment : witness.segments) {
    const auto found = blocks_.find(segment);
    if (found == blocks_.end()) continue;
    if (witness.sent_at >= EndOf(segment, found->second)) {
      AddBlock(segment, 2 * found->second.length, now);
    }
    updates.push_back(MakeUpdate(segment, found->second, now));
  }
  if (updates.empty()) return std::nullopt;
  return updates;
}

SegmentQuarantine::Suspicion SegmentQuarantine::AssessSegment(
    const SegmentId& segment) const {
  Suspicion suspicion;
  std::vector<const Witness*> holders;
  for (const auto& witness : witnesses_) {
    if (!witness.segments.contains(segment)) continue;
    const bool counted = std::any_of(holders.begin(), holders.end(),
                                     [&witness](const Witness* holder) {
                                       return SameCrash(*holder, witness);
                                     });
    if (!counted) ++suspicion.crashes;
    holders.push_back(&witness);
    suspicion.requests.insert(witness.request);
    suspicion.other_answers =
        std::max(suspicion.other_answers,
                 group_size_ * (answers_ - witness.answers_before));
    if (suspicion.rounds > 0 && witness.sent_at < suspicion.last_crash) {
      continue;
    }
    ++suspicion.rounds;
    suspicion.last_crash = witness.crashed_at;
  }
  for (const auto& witness : witnesses_) {
    if (holders.empty() || witness.explained) continue;
    if (witness.crashed_at < holders.front()->crashed_at) continue;
    const bool by_segment = std::any_of(holders.begin(), holders.end(),
                                        [&witness](const Witness* holder) {
                                          return SameCrash(*holder, witness);
                                        });
    if (!by_segment) ++suspicion.other_losses;
  }
  return suspicion;
}

/// Estimates by other requests how likely one is lost in a crash; each request
/// with a harmless segment is lost with that probability. The repeats of one
/// request aren't independent of each other.
bool SegmentQuarantine::Suspicion::IsSufficient() const {
  if (rounds < kRounds || requests.size() < kRequests) return false;
  const auto lost = static_cast<double>(other_losses + 1);
  const double share = lost / (lost + static_cast<double>(other_answers));
  const auto trials = static_cast<double>(std::min(rounds, requests.size()));
  return std::pow(share, trials) <= kMaxChance;
}

/// Returns the segments with enough witnesses to be assessed.
std::vector<SegmentId> SegmentQuarantine::ListOftenSeen() const {
  std::map<SegmentId, std::size_t> counts;
  for (const auto& witness : witnesses_) {
    for (const auto& segment : witness.segments) ++counts[segment];
  }
  std::vector<SegmentId> often;
  for (const auto& [segment, count] : counts) {
    if (count >= kRounds) often.push_back(segment);
  }
  return often;
}

/// Returns the segment that was in most crashes, if that suffices;
/// others may only have been beside it. Returns several only if they can't be
/// told apart.
std::vector<SegmentId> SegmentQuarantine::FindGuilty() const {
  std::vector<SegmentId> guilty;
  Suspicion worst;
  for (const auto& segment : ListOftenSeen()) {
    Suspicion suspicion = AssessSegment(segment);
    if (suspicion.crashes < worst.crashes) continue;
    if (suspicion.crashes > worst.crashes) guilty.clear();
    guilty.push_back(segment);
    worst = std::move(suspicion);
  }
  const bool tied =
      guilty.size() > 1 &&
      std::min(worst.rounds, worst.requests.size()) < kTiedRequests;
  if (tied || !worst.IsSufficient()) return {};
  return guilty;
}

SegmentQuarantine::GossipUpdates SegmentQuarantine::BlockGuilty(TimePoint now) {
  GossipUpdates updates;
  for (auto guilty = FindGuilty(); !guilty.empty(); guilty = FindGuilty()) {
    for (const auto& segment : guilty) {
      AddBlock(segment, kFirstBlock, now);
      updates.push_back(MakeUpdate(segment, blocks_[segment], now));
    }
  }
  return updates;
}

/// Blocks `segment`. It explains the crashes of the requests that hold it, so
/// none of the requests that were lost in them speaks against another segment.
void SegmentQuarantine::AddBlock(const SegmentId& segment, Duration length,
                                 TimePoint since) {
  if (!blocks_.contains(segment) && blocks_.size() >= kMaxBlocks) {
    blocks_.erase(std::min_element(blocks_.begin(), blocks_.end(),
                                   [](const auto& a, const auto& b) {
                                     return a.second.since < b.second.since;
                                   }));
  }
  blocks_[segment] = {.since = since,
                      .length = std::min(length, kLongestBlock)};
  const std::vector<Witness> witnesses = witnesses_;
  for (const auto& witness : witnesses) {
    if (witness.segments.contains(segment)) ExplainCrash(witness);
  }
}

GossipUpdate SegmentQuarantine::MakeUpdate(const SegmentId& segment,
                                           const Block& block,
                                           TimePoint now) const {
  return SegmentBlockUpdate{
      .segment = segment, .length = block.length, .elapsed = now - block.since};
}

std::vector<GossipUpdate> SegmentQuarantine::RecordBegun(
    const std::vector<SegmentId>& segments, TimePoint now) {
  ++answers_;
  DropExpired(now);
  GossipUpdates updates;
  for (const auto& segment : TakeFirst(segments)) {
    RememberCleared(segment, now);
    if (Clear(segment, now)) {
      updates.emplace_back(SegmentClearedUpdate{.segment = segment});
    }
  }
  for (auto& update : BlockGuilty(now)) updates.push_back(std::move(update));
  return updates;
}

/// Removes what spoke against `segment` up to `begun_at`. Returns whether there
/// was anything.
bool SegmentQuarantine::Clear(const SegmentId& segment, TimePoint begun_at) {
  bool cleared = false;
  const auto block = blocks_.find(segment);
  if (block != blocks_.end() && block->second.since <= begun_at) {
    blocks_.erase(block);
    cleared = true;
  }
  for (auto& witness : witnesses_) {
    if (witness.crashed_at > begun_at) continue;
    cleared = witness.segments.erase(segment) > 0 || cleared;
  }
  return cleared;
}

void SegmentQuarantine::RememberCleared(const SegmentId& segment,
                                        TimePoint begun_at) {
  TimePoint& latest = cleared_[segment];
  latest = std::max(latest, begun_at);
  if (cleared_.size() <= kMaxCleared) return;
  cleared_.erase(std::min_element(
      cleared_.begin(), cleared_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

bool SegmentQuarantine::WasClearedSince(const SegmentId& segment,
                                        TimePoint time) const {
  const auto found = cleared_.find(segment);
  return found != cleared_.end() && found->second >= time;
}

void SegmentQuarantine::RecordEnd(const RequestId& request) {
  for (auto& [segment, block] : blocks_) {
    if (block.probe == request) block.probe.reset();
  }
}

std::vector<GossipUpdate> SegmentQuarantine::RepeatBlocks(TimePoint now) {
  GossipUpdates updates;
  const std::size_t count = std::min(kRepeatedBlocks, blocks_.size());
  auto next = blocks_.upper_bound(last_repeated_);
  while (updates.size() < count) {
    if (next == blocks_.end()) next = blocks_.begin();
    updates.push_back(MakeUpdate(next->first, next->second, now));
    last_repeated_ = next->first;
    ++next;
  }
  return updates;
}

std::vector<GossipUpdate> SegmentQuarantine::Apply(
    const SegmentCrashUpdate& update, TimePoint now) {
  if (update.age >= kWitnessLifetime) return {};
  Witness witness{.request = update.request,
                  .upstream = update.upstream,
                  .segments = TakeFirst(update.segments),
                  .sent_at = now - update.age - update.running,
                  .crashed_at = now - update.age};
  if (witness.segments.empty() || IsKnown(witness)) return {};
  return AddWitness(std::move(witness), now);
}

void SegmentQuarantine::Apply(const SegmentClearedUpdate& update,
                              TimePoint now) {
  RememberCleared(update.segment, now - update.age);
  Clear(update.segment, now - update.age);
}

void SegmentQuarantine::Apply(const SegmentBlockUpdate& update, TimePoint now) {
  const TimePoint since = now - update.age - update.elapsed;
  if (WasClearedSince(update.segment, since)) return;
  const auto found = blocks_.find(update.segment);
  if (found == blocks_.end() || found->second.length < update.length) {
    return AddBlock(update.segment, update.length, since);
  }
  Block& block = found->second;
  if (block.length > update.length) return;
  if (block.since + kRenewalWindow < since) {
    return AddBlock(update.segment, update.length, since);
  }
  // The time on the way makes a block look younger than it is.
  if (since + kRenewalWindow >= block.since) {
    block.since = std::min(block.since, since);
  }
}

void SegmentQuarantine::DropExpired(TimePoint now) {
  std::erase_if(witnesses_, [now](const Witness& witness) {
    return witness.crashed_at + kWitnessLifetime <= now;
  });
  std::erase_if(blocks_, [now](const auto& item) {
    return item.second.since + kKeptFactor * item.second.length <= now;
  });
}

/// Returns the end of a block on this daemon: after up to twice its length, so
/// that seldom two daemons try the segment again at a time.
TimePoint SegmentQuarantine::EndOf(const SegmentId& segment,
                                   const Block& block) const {
  constexpr std::size_t kSteps = 1000;
  const auto step = static_cast<Duration::rep>(
      std::hash<std::string>{}(self_.text() + " " + segment.text()) % kSteps);
  return block.since + block.length +
         block.length * step / static_cast<Duration::rep>(kSteps);
}

}  // namespace wisteriayoke
