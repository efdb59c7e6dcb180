#ifndef WISTERIAYOKE_DECISIONS_MEMBER_TABLE_H_
#define WISTERIAYOKE_DECISIONS_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/time_types.h"
#include "decisions/member.h"

namespace wisteriayoke {

/// The other daemons that one daemon knows, and the order in which it probes
/// them.
class MemberTable {
 public:
  /// How long an absent member is kept, so that it can be found again.
  static constexpr Duration kAbsentMemory = std::chrono::hours(1);

  explicit MemberTable(std::uint64_t seed)
      : next_turn_(seed % kLargestFirstTurn), random_(seed) {}

  /// Takes `record` if it is newer than what is known. Returns whether it is.
  bool Merge(const Member& record, TimePoint now);

  /// Returns the member called `name`, or null.
  const Member* Find(const DaemonName& name) const;

  /// Returns the member at `endpoint`, or null.
  const Member* FindAt(const Endpoint& endpoint) const;

  /// Notes that a datagram came from the member called `name`.
  void RecordHeard(const DaemonName& name, TimePoint now);

  /// Returns the next present member to probe, in rounds of random order; null
  /// if there is none. One that sent nothing since `silent_since` comes before
  /// all that did.
  const Member* NextToProbe(TimePoint silent_since);

  /// Returns at most `count` present members, chosen at random, without the
  /// one at `excluded`.
  std::vector<Member> Sample(std::size_t count, const Endpoint& excluded = {});

  /// Returns one member that is dead, at random, or null.
  const Member* SampleDead();

  /// Returns the next `count` present members, or all if there are fewer, in
  /// the order of their names and from the first again after the last.
  std::vector<Member> TakeInTurn(std::size_t count);

  /// Forgets members that have been absent for long.
  void Expire(TimePoint now);

  std::vector<Member> ListPresent() const;
  std::size_t CountPresent() const { return present_; }

 private:
  /// Bound on where the turns begin: daemons that start together begin at
  /// different members.
  static constexpr std::size_t kLargestFirstTurn = 1000;

  struct Entry {
    Member member;
    TimePoint changed;
    TimePoint heard;  ///< When the last datagram came from it.
  };

  void Shuffle();
  /// Returns the next present entry of the round; there must be one.
  const Entry& NextInRound();

  std::map<DaemonName, Entry> entries_;
  std::map<Endpoint, DaemonName> by_endpoint_;
  std::vector<DaemonName> round_;
  std::size_t next_in_round_ = 0;
  std::size_t next_turn_;
  std::size_t present_ = 0;
  std::mt19937_64 random_;
};

/// Tells whether `candidate` replaces `known`, two records of one member.
bool Supersedes(const Member& candidate, const Member& known);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MEMBER_TABLE_H_
