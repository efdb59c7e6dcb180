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

/// The other daemons known to one daemon, and the order in which it probes
/// them.
class MemberTable {
 public:
  /// How long an absent member is kept, so that it can be contacted again.
  static constexpr Duration kAbsentRetention = std::chrono::hours(1);

  explicit MemberTable(std::uint64_t seed)
      : round_robin_next_(seed % kFirstIndexBound), random_(seed) {}

  /// Stores `record` if it supersedes the known one or is the first of a
  /// present member. Returns whether it was stored.
  bool Merge(const Member& record, TimePoint now);

  /// Returns the member called `name`, or null.
  const Member* Find(const DaemonName& name) const;

  /// Returns the present member after `name` in order of names, starting again
  /// with the first after the last, or null if there is none.
  const Member* FindNext(const DaemonName& name) const;

  /// Returns the member at `endpoint`, or null.
  const Member* FindAt(const Endpoint& endpoint) const;

  /// Records that a datagram came from the member called `name`.
  void RecordContact(const DaemonName& name, TimePoint now);

  /// Returns whether a datagram came from the member called `name` at `since`
  /// or later.
  bool HasContactSince(const DaemonName& name, TimePoint since) const;

  /// Makes the suspected member called `name` alive at its incarnation. Returns
  /// whether it was suspected.
  bool Reinstate(const DaemonName& name, TimePoint now);

  /// Returns the next present member to probe, in rounds of random order, or
  /// null if there is none. Members that sent nothing since `silent_since` come
  /// before members that did.
  const Member* NextToProbe(TimePoint silent_since);

  /// Returns at most `count` present members, chosen at random, but not the
  /// member at `excluded`.
  std::vector<Member> Sample(std::size_t count, const Endpoint& excluded = {});

  /// Returns a random dead member, or null if there is none.
  const Member* SampleDead();

  /// Returns the next `count` present members, or all if there are fewer, in
  /// order of their names, starting again with the first after the last.
  std::vector<Member> TakeRoundRobin(std::size_t count);

  /// Removes members that have been absent for `kAbsentRetention`.
  void Expire(TimePoint now);

  std::vector<Member> ListPresent() const;
  std::size_t CountPresent() const { return present_; }

 private:
  /// Exclusive bound of the first round-robin index. The index is derived from
  /// the seed, so daemons that start together begin at different members.
  static constexpr std::size_t kFirstIndexBound = 1000;

  struct Entry {
    Member member;
    TimePoint changed;
    TimePoint last_contact;  ///< When the last datagram came from the member.
  };

  void Shuffle();
  /// Returns the next present entry of the round; there must be a present one.
  const Entry& NextInRound();

  std::map<DaemonName, Entry> entries_;
  std::map<Endpoint, DaemonName> by_endpoint_;
  std::vector<DaemonName> round_;
  std::size_t next_in_round_ = 0;
  std::size_t round_robin_next_;
  std::size_t present_ = 0;
  std::mt19937_64 random_;
};

/// Returns whether `candidate` replaces `known`; the two records must be of the
/// same member.
bool Supersedes(const Member& candidate, const Member& known);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MEMBER_TABLE_H_
