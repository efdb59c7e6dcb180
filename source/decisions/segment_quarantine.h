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
/// once is a single round. While other segments are as suspect, none is
/// blocked; once one is, its crashes count against no other.
///
/// A block expires on each daemon at another time. Then one request at a time
/// is let through: an answer that begins lifts the block everywhere, a crash
/// renews it for twice the time. Daemons share witnesses, clearances and blocks
/// by gossip, and repeat the blocks for daemons that start later; the caller
/// posts the updates that the functions return.
class SegmentQuarantine {
 public:
  /// Rounds of crashes after which a segment is blocked.
  static constexpr std::size_t kRounds = 3;
  /// Rounds after which equally suspect segments are blocked together.
  static constexpr std::size_t kMostRounds = 5;
  /// Requests that must be among the witnesses against a segment.
  static constexpr std::size_t kRequests = 2;
  /// Answers without the segment that must have begun since its first crash;
  /// without any, the upstreams are to blame.
  static constexpr std::size_t kOtherAnswers = 5;
  /// Time for which a witness counts.
  static constexpr Duration kWitnessLifetime = std::chrono::minutes(5);
  static constexpr Duration kFirstBlock = std::chrono::minutes(1);
  static constexpr Duration kLongestBlock = std::chrono::hours(1);
  /// Bounds on memory; beyond them the oldest entry is dropped.
  static constexpr std::size_t kMaxWitnesses = 128;
  static constexpr std::size_t kMaxBlocks = 256;
  /// Blocks in one repeat, so that their number doesn't set the traffic.
  static constexpr std::size_t kRepeatedBlocks = 4;
  /// Segments of one request that are looked at.
  static constexpr std::size_t kMaxSegments = 8;

  explicit SegmentQuarantine(DaemonName self = {}) : self_(std::move(self)) {}

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
  std::size_t CountWitnesses() const { return witnesses_.size(); }

 private:
  /// A request that waited for its answer on an upstream that crashed.
  struct Witness {
    RequestId request;
    UpstreamName upstream;
    std::set<SegmentId> segments;  ///< Those not cleared since.
    TimePoint sent_at;
    TimePoint crashed_at;
    /// Answers that had begun on this daemon when it learnt of the crash.
    std::size_t answers_before = 0;
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
    std::size_t witnesses = 0;
    std::set<RequestId> requests;
    TimePoint last_crash;
    /// Answers that have begun since the first crash; all lack the segment.
    std::size_t other_answers = 0;

    bool IsSufficient() const {
      return rounds >= kRounds && requests.size() >= kRequests &&
             other_answers >= kOtherAnswers;
    }
  };

  using GossipUpdates = std::vector<GossipUpdate>;

  bool IsKnown(const Witness& witness) const;
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
  void DropExpired(TimePoint now);
  TimePoint EndOf(const SegmentId& segment, const Block& block) const;

  DaemonName self_;
  std::vector<Witness> witnesses_;  ///< In the order of their crashes.
  std::map<SegmentId, Block> blocks_;
  /// When blocks were lifted, so that old updates don't bring them back.
  std::map<SegmentId, TimePoint> lifted_;
  std::size_t answers_ = 0;  ///< Answers that have begun on this daemon.
  SegmentId last_repeated_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_SEGMENT_QUARANTINE_H_
