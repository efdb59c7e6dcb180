#ifndef WISTERIAYOKE_DECISIONS_SEGMENT_QUARANTINE_H_
#define WISTERIAYOKE_DECISIONS_SEGMENT_QUARANTINE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/gossip_update.h"

namespace wisteriayoke {

/// Finds prompt segments that crash the upstreams that answer them, although
/// the requests that hold them are all different.
///
/// A request whose answer had not begun when its upstream crashed is a witness
/// against its segments. An answer that begins clears the segments of its
/// request, since a segment that crashes upstreams lets no answer begin. A
/// segment is blocked after crashes in several rounds, each of a request that
/// was sent after the crash of the round before: the loss of many upstreams at
/// once is a single round. The more requests are lost in crashes that the
/// segment doesn't explain, the more rounds are needed. While other segments
/// are as suspect, none is blocked; once one is, the crashes that it explains
/// count against no other.
///
/// A block expires on each daemon at another time. Then one request at a time
/// is let through: an answer that begins lifts the block everywhere, a crash
/// renews it for twice the time. Daemons share witnesses, clearances and blocks
/// by gossip, and repeat the blocks for daemons that start later; the caller
/// posts the updates that the functions return.
class SegmentQuarantine {
 public:
  /// Least rounds of crashes after which a segment is blocked.
  static constexpr std::size_t kRounds = 3;
  /// Requests that must be among the witnesses against a segment.
  static constexpr std::size_t kRequests = 2;
  /// The same for segments that are equally suspect, to block them together.
  static constexpr std::size_t kTiedRequests = 5;
  /// Most probability with which chance may have lost a harmless segment's
  /// requests in all rounds.
  static constexpr double kMaxChance = 0.0002;
  /// Time for which a witness counts.
  static constexpr Duration kWitnessLifetime = std::chrono::minutes(5);
  static constexpr Duration kFirstBlock = std::chrono::minutes(1);
  static constexpr Duration kLongestBlock = std::chrono::hours(1);
  /// Bounds on memory; beyond them the oldest entry is dropped.
  static constexpr std::size_t kMaxWitnesses = 256;
  static constexpr std::size_t kMaxBlocks = 256;
  static constexpr std::size_t kMaxCleared = 1024;
  /// Blocks in one repeat, so that their number doesn't set the traffic.
  static constexpr std::size_t kRepeatedBlocks = 4;
  /// Segments of one request that are looked at.
  static constexpr std::size_t kMaxSegments = 8;

  explicit SegmentQuarantine(DaemonName self = {}) : self_(std::move(self)) {}

  /// Sets the number of daemons, which see about as many answers each.
  void set_group_size(std::size_t size) { group_size_ = size; }

  /// Returns the first of `segments` that a request must not hold to be sent
  /// now. A segment whose block has expired is reserved for `request`.
  std::optional<SegmentId> FindBlocked(const std::vector<SegmentId>& segments,
                                       const RequestId& request, TimePoint now);

  /// Returns whether `request` must end its attempt, since its answer hasn't
  /// begun and one of its segments was blocked meanwhile.
  bool MustStop(const std::vector<SegmentId>& segments,
                const RequestId& request) const;

  /// Records that `upstream` crashed before the answer to `request`, sent there
  /// at `sent_at`, began.
  std::vector<GossipUpdate> RecordCrash(const std::vector<SegmentId>& segments,
                                        const RequestId& request,
                                        const UpstreamName& upstream,
                                        TimePoint sent_at, TimePoint now);

  /// Records that the answer to a request began.
  std::vector<GossipUpdate> RecordBegun(const std::vector<SegmentId>& segments,
                                        TimePoint now);

  /// Records that the attempt of `request` ended without a crash and before its
  /// answer began.
  void RecordEnd(const RequestId& request);

  /// Returns some of the blocks, in turn, for daemons that don't know them.
  std::vector<GossipUpdate> RepeatBlocks(TimePoint now);

  /// Applies a gossip update of a peer; may block a segment.
  std::vector<GossipUpdate> Apply(const SegmentCrashUpdate& update,
                                  TimePoint now);
  void Apply(const SegmentClearedUpdate& update, TimePoint now);
  void Apply(const SegmentBlockUpdate& update, TimePoint now);

  bool IsBlocked(const SegmentId& segment) const {
    return blocks_.contains(segment);
  }

  /// Returns how many requests speak against any segment.
  std::size_t CountWitnesses() const;

 private:
  /// A request that waited for its answer on an upstream that crashed.
  struct Witness {
    RequestId request;
    UpstreamName upstream;
    /// Those not cleared since; empty once a block explains the crash.
    std::set<SegmentId> segments;
    TimePoint sent_at;
    TimePoint crashed_at;
    /// Answers that had begun on this daemon when it learnt of the crash.
    std::size_t answers_before = 0;
    bool explained = false;  ///< Whether a blocked segment caused the crash.
  };

  struct Block {
    TimePoint since;
    Duration length{};
    /// Request that was let through after the block had expired.
    std::optional<RequestId> probe;
  };

  /// What speaks against one segment.
  struct Suspicion {
    std::size_t rounds = 0;
    std::size_t crashes = 0;
    std::set<RequestId> requests;
    TimePoint last_crash;
    /// Estimate of the answers of all daemons that have begun since the first
    /// crash; all lack the segment.
    std::size_t other_answers = 0;
    /// Requests lost since then in crashes that neither this segment nor a
    /// blocked one explains.
    std::size_t other_losses = 0;

    bool IsSufficient() const;
  };

  using GossipUpdates = std::vector<GossipUpdate>;

  static bool SameCrash(const Witness& a, const Witness& b);
  bool IsKnown(const Witness& witness) const;
  void InsertWitness(Witness witness);
  void ExplainCrash(const Witness& witness);
  GossipUpdates AddWitness(Witness witness, TimePoint now);
  std::optional<GossipUpdates> ExplainByBlocks(const Witness& witness,
                                               TimePoint now);
  Suspicion AssessSegment(const SegmentId& segment) const;
  std::vector<SegmentId> ListOftenSeen() const;
  std::vector<SegmentId> FindGuilty() const;
  GossipUpdates BlockGuilty(TimePoint now);
  void AddBlock(const SegmentId& segment, Duration length, TimePoint since);
  GossipUpdate MakeUpdate(const SegmentId& segment, const Block& block,
                          TimePoint now) const;
  bool Clear(const SegmentId& segment, TimePoint begun_at);
  void RememberCleared(const SegmentId& segment, TimePoint begun_at);
  bool WasClearedSince(const SegmentId& segment, TimePoint time) const;
  void DropExpired(TimePoint now);
  TimePoint EndOf(const SegmentId& segment, const Block& block) const;

  DaemonName self_;
  std::size_t group_size_ = 1;
  std::vector<Witness> witnesses_;  ///< In the order of their crashes.
  std::map<SegmentId, Block> blocks_;
  /// When an answer last proved a segment harmless, by this daemon or a peer,
  /// so that late updates about earlier crashes count no more.
  std::map<SegmentId, TimePoint> cleared_;
  std::size_t answers_ = 0;  ///< Answers that have begun on this daemon.
  SegmentId last_repeated_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_SEGMENT_QUARANTINE_H_
