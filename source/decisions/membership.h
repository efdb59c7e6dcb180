#ifndef WISTERIAYOKE_DECISIONS_MEMBERSHIP_H_
#define WISTERIAYOKE_DECISIONS_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "decisions/gossip_queue.h"
#include "decisions/member_table.h"
#include "decisions/peer_message.h"

namespace wisteriayoke {

/// Time has passed; fed every `Membership::kTickInterval`.
struct PeerTick {};

/// A datagram came from the daemon at `from`.
struct PeerMessageArrived {
  PeerMessage message;
  Endpoint from;
};

/// Addresses at which other daemons may be found, by the settings or by the
/// platform's list.
struct SeedsChanged {
  std::vector<Endpoint> seeds;
};

/// This daemon has something to tell all others.
struct GossipUpdatePosted {
  GossipUpdate update;
};

/// This daemon's own in-flight counts, to be told to some others.
struct InFlightCountsPosted {
  InFlightCounts counts;
};

/// Other tables are in force in this daemon.
struct TableHeadChanged {
  TableVersion head;
};

/// This daemon is about to stop.
struct LeaveRequested {};

using PeerEvent =
    std::variant<PeerTick, PeerMessageArrived, SeedsChanged, GossipUpdatePosted,
                 InFlightCountsPosted, TableHeadChanged, LeaveRequested>;

/// Send `message` to the daemon at `to`.
struct SendPeerMessage {
  Endpoint to;
  PeerMessage message;
};

/// A member joined, was suspected, refuted, died or left.
struct MemberChanged {
  Member member;
};

/// A peer told something new.
struct GossipUpdateReceived {
  GossipUpdate update;
  Endpoint source;
};

/// A peer told of the tables that it has in force.
struct TableHeadReceived {
  TableVersion head;
  Endpoint source;
};

/// A peer told its in-flight counts.
struct InFlightCountsReceived {
  DaemonName daemon;
  InFlightCounts counts;
};

using PeerAction =
    std::variant<SendPeerMessage, MemberChanged, GossipUpdateReceived,
                 TableHeadReceived, InFlightCountsReceived>;

/// Keeps the group of daemons: each probes one other in a period, asks others
/// to probe one that doesn't answer, suspects it, and declares it dead unless
/// it refutes. The cost for each daemon doesn't grow with the group.
class Membership {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(30);
  /// Time between two probes.
  static constexpr Duration kPeriod = std::chrono::milliseconds(150);
  /// Wait for an answer before others are asked to probe.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(60);
  /// Members that are asked to probe one that doesn't answer.
  static constexpr std::size_t kIndirectProbes = 3;
  /// Members that are told of something new at once.
  static constexpr std::size_t kFanout = 3;
  /// Members that are told of this daemon's in-flight counts at a time; the
  /// others take turns.
  static constexpr std::size_t kCountReceivers = 4;
  /// Most in-flight counts in one message, which a datagram holds; the smallest
  /// are left out.
  static constexpr std::size_t kMaxCounts = 200;
  /// Records of random members in each message, against lost news.
  static constexpr std::size_t kRandomRecords = 2;
  /// Records in each part of the list that a joining daemon gets.
  static constexpr std::size_t kRecordsInList = 12;
  /// Time in which a daemon that asked to join gets the list of members.
  static constexpr Duration kJoinTime = std::chrono::seconds(1);
  /// Periods between tries to reach a dead member or a seed.
  static constexpr unsigned kContactPeriods = 5;

  /// `self` carries an incarnation above that of any former run of the daemon;
  /// `seed` makes the random choices.
  Membership(Member self, std::vector<Endpoint> seeds, std::uint64_t seed);

  /// Handles one event at `now` and returns what to do, in order.
  std::vector<PeerAction> Handle(const PeerEvent& event, TimePoint now);

  const Member& self() const { return self_; }
  const MemberTable& members() const { return members_; }
  /// Returns the address of a present member, at random, if there is any.
  std::optional<Endpoint> SampleMember();
  /// Present members whose names come before this daemon's.
  std::size_t RankByName() const;
  /// Members that are present, this one included.
  std::size_t group_size() const { return members_.CountPresent() + 1; }

 private:
  /// The probe of the current period.
  struct Probe {
    Member target;
    std::uint32_t sequence = 0;
    TimePoint started;
    bool indirect = false;
    bool answered = false;
  };
  /// A ping that another daemon asked for.
  struct Relay {
    Endpoint requester;
    std::uint32_t sequence = 0;
    TimePoint started;
  };

  void HandleTick();
  void HandleMessage(const PeerMessageArrived& event);
  void HandlePing(const Ping& ping, const Endpoint& from);
  void HandleRequest(const PingRequest& request, const Endpoint& from);
  void HandleAck(const Ack& ack);
  void HandleRumour(const GossipUpdate& update, const Endpoint& source);
  void HandleLoads(const InFlightCountsPosted& event);
  void HandleLeave();

  void ContinueProbe();
  void StartProbe();
  void ContactAbsent();
  void ExpireSuspects();
  /// Takes a record; one `from_list` is news for this daemon alone.
  void Learn(const Member& record, bool from_list = false);
  void Refute(const Member& record);
  void Suspect(const Member& member);
  void TellAtOnce(const Endpoint& excluded);
  void SendMemberList(const Endpoint& to);
  void Send(const Endpoint& to, PeerContent content);
  PeerMessage Envelope(PeerContent content) const;
  Duration SuspicionTime() const;

  Member self_;
  std::vector<Endpoint> seeds_;
  std::mt19937_64 random_;
  MemberTable members_;
  GossipQueue gossip_;
  TableVersion head_;
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Relay> relays_;
  std::map<DaemonName, TimePoint> suspects_;  ///< When each is declared dead.
  std::uint32_t next_sequence_ = 1;
  unsigned periods_ = 0;
  TimePoint joined_{-kJoinTime};  ///< Latest try to join.
  TimePoint now_;
  std::vector<PeerAction> actions_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MEMBERSHIP_H_
