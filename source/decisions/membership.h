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

/// Time has passed; sent every `Membership::kTickInterval`.
struct PeerTick {};

/// A datagram came from the daemon at `from`.
struct PeerMessageArrived {
  PeerMessage message;
  Endpoint from;
};

/// Addresses where other daemons may be found, from the settings or from the
/// platform's list.
struct SeedsChanged {
  std::vector<Endpoint> seeds;
};

/// This daemon has a gossip update for all others.
struct GossipUpdatePosted {
  GossipUpdate update;
};

/// This daemon's own in-flight counts, to be sent to some others.
struct InFlightCountsPosted {
  InFlightCounts counts;
};

/// Another version of the tables is in force in this daemon.
struct TableHeadChanged {
  TableVersion head;
};

/// This daemon's messages say something new, which some peers should know now.
struct AnnounceRequested {};

/// This daemon is about to stop.
struct LeaveRequested {};

using PeerEvent =
    std::variant<PeerTick, PeerMessageArrived, SeedsChanged, GossipUpdatePosted,
                 InFlightCountsPosted, TableHeadChanged, AnnounceRequested,
                 LeaveRequested>;

/// Send `message` to the daemon at `to`.
struct SendPeerMessage {
  Endpoint to;
  PeerMessage message;
};

/// A member's record changed: it joined, was suspected, refuted, died or left.
struct MemberChanged {
  Member member;
};

/// A peer sent a gossip update that is new to this daemon.
struct GossipUpdateReceived {
  GossipUpdate update;
  Endpoint source;
};

/// A peer reported the version of the tables it has in force.
struct TableHeadReceived {
  TableVersion head;
  Endpoint source;
};

/// A peer reported its in-flight counts.
struct InFlightCountsReceived {
  DaemonName daemon;
  InFlightCounts counts;
};

using PeerAction =
    std::variant<SendPeerMessage, MemberChanged, GossipUpdateReceived,
                 TableHeadReceived, InFlightCountsReceived>;

/// Maintains the group of daemons with the SWIM protocol. In each period a
/// daemon probes one other. If that one doesn't answer, the daemon requests
/// indirect probes from others, suspects it, and declares it dead unless it
/// refutes. The cost for each daemon doesn't grow with the group.
class Membership {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(30);
  /// Time between two probes.
  static constexpr Duration kPeriod = std::chrono::milliseconds(150);
  /// Time to wait for an answer before indirect probes are requested.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(60);
  /// Number of members requested to probe one that doesn't answer.
  static constexpr std::size_t kIndirectProbes = 3;
  /// Number of members that are sent new information at once.
  static constexpr std::size_t kFanout = 3;
  /// Number of members that are sent this daemon's in-flight counts each time,
  /// in round-robin order.
  static constexpr std::size_t kCountReceivers = 4;
  /// Maximum number of in-flight counts in one message, which fit in a
  /// datagram; the smallest counts are left out.
  static constexpr std::size_t kMaxCounts = 200;
  /// Records of random members added to each message, in case updates were
  /// lost.
  static constexpr std::size_t kRandomRecords = 2;
  /// Records in each part of the list that is sent to a joining daemon.
  static constexpr std::size_t kRecordsInList = 12;
  /// Time after a request to join within which the list of members arrives.
  static constexpr Duration kJoinTime = std::chrono::seconds(1);
  /// Periods between attempts to contact a dead member or a seed.
  static constexpr unsigned kContactPeriods = 5;

  /// The incarnation of `self` must be above that of any former run of the
  /// daemon; `seed` seeds the random choices.
  Membership(Member self, std::vector<Endpoint> seeds, std::uint64_t seed);

  /// Handles one event at `now` and returns the actions to take, in order.
  std::vector<PeerAction> Handle(const PeerEvent& event, TimePoint now);

  const Member& self() const { return self_; }
  const MemberTable& members() const { return members_; }
  /// Returns the address of a random present member, or nullopt.
  std::optional<Endpoint> SampleMember();
  /// Returns the number of present members with names before this daemon's.
  std::size_t RankByName() const;
  /// Returns the number of present members ordered before this daemon by the
  /// digests of their names, which spread over the data centres.
  std::size_t RankByDigest() const;
  /// Returns the number of present members, including this one.
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
  /// A ping sent on behalf of another daemon.
  struct RelayedPing {
    Endpoint requester;
    std::uint32_t sequence = 0;
    TimePoint started;
  };

  void HandleTick();
  void HandleMessage(const PeerMessageArrived& event);
  void HandlePing(const Ping& ping, const Endpoint& from);
  void HandlePingRequest(const PingRequest& request, const Endpoint& from);
  void HandleAck(const Ack& ack);
  void HandleUpdate(const GossipUpdate& update, const Endpoint& source);
  void HandleCounts(const InFlightCountsPosted& event);
  void HandleLeave();

  void ContinueProbe();
  void StartProbe();
  void ContactAbsent();
  void ExpireSuspects();
  /// Applies a member record. One `from_list` isn't passed on by gossip, since
  /// the other members know it.
  void ApplyRecord(const Member& record, bool from_list = false);
  void Refute(const Member& record);
  void Suspect(const Member& member);
  void GossipNow(const Endpoint& excluded);
  void SendMemberList(const Endpoint& to);
  void Send(const Endpoint& to, PeerContent content);
  PeerMessage MakeMessage(PeerContent content) const;
  Duration SuspicionTime() const;

  Member self_;
  std::vector<Endpoint> seeds_;
  std::mt19937_64 random_;
  MemberTable members_;
  GossipQueue gossip_;
  TableVersion head_;
  std::optional<Probe> probe_;
  std::map<std::uint32_t, RelayedPing> relayed_pings_;
  std::map<DaemonName, TimePoint> suspects_;  ///< When each is declared dead.
  std::uint32_t next_sequence_ = 1;
  unsigned periods_ = 0;
  TimePoint joined_{-kJoinTime};  ///< Time of the latest attempt to join.
  TimePoint now_;
  std::vector<PeerAction> actions_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MEMBERSHIP_H_
