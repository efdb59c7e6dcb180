#ifndef WISTERIAYOKE_DECISIONS_MEMBERSHIP_H_
#define WISTERIAYOKE_DECISIONS_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "decisions/gossip_queue.h"
#include "decisions/local_health.h"
#include "decisions/member_table.h"
#include "decisions/peer_message.h"
#include "decisions/probe_delays.h"
#include "decisions/receive_delay.h"
#include "decisions/send_allowance.h"
#include "decisions/suspicions.h"

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

/// This daemon repeats old updates, for daemons that missed them: to the one at
/// `to`, or else to some members with its next in-flight counts.
struct RepeatsPosted {
  std::vector<GossipUpdate> updates;
  std::optional<Endpoint> to;
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
                 RepeatsPosted, InFlightCountsPosted, TableHeadChanged,
                 AnnounceRequested, LeaveRequested>;

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

/// The daemon at `from` joins the group and knows nothing yet.
struct JoinRequested {
  Endpoint from;
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
                 JoinRequested, TableHeadReceived, InFlightCountsReceived>;

/// Maintains the group of daemons with the SWIM protocol. In each period a
/// daemon probes one other. If that one doesn't answer, the daemon requests
/// indirect probes from others, suspects it, and declares it dead unless it
/// gives a sign of life. A daemon that hears of a suspicion probes the member
/// itself, and suspects it only if it gets no answer either. The cost for each
/// daemon doesn't grow with the group.
class Membership {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(30);
  /// Time between two probes.
  static constexpr Duration kPeriod = std::chrono::milliseconds(150);
  /// Time without a message from the next member in order of names after which
  /// it is probed before all others, so that each member has one daemon that
  /// finds its death soon.
  static constexpr Duration kSuccessorSilence = kPeriod;
  /// Longest time of a suspicion that no other member confirms.
  static constexpr Duration kLongestSuspicion = std::chrono::milliseconds(3500);
  /// Number of other members whose suspicion makes the time shortest.
  static constexpr std::size_t kConfirmations = 3;
  /// Time after a message from a member in which suspicions and deaths that
  /// others report of it, at the same incarnation, don't count.
  static constexpr Duration kFreshContact = std::chrono::milliseconds(300);
  /// Least time of a probe that checks the suspicion of another member.
  static constexpr Duration kCheckTime = std::chrono::milliseconds(225);
  /// Maximum number of such probes at a time.
  static constexpr std::size_t kMaxChecks = 2;
  /// Suspects that are probed again in each period.
  static constexpr std::size_t kSuspectsProbed = 1;
  /// How long a probe is kept, so that a late answer is measured.
  static constexpr Duration kProbeRetention = std::chrono::seconds(2);
  /// Least time between two refutations.
  static constexpr Duration kRefuteInterval = std::chrono::milliseconds(500);
  /// Number of times in a period that changes of members are announced at once.
  /// They come in numbers under load, when each announcement causes others.
  static constexpr unsigned kAnnouncements = 1;
  /// Number of times in a period that other updates are sent at once. They are
  /// rare and don't cause each other, and daemons wait for some of them for no
  /// longer than `Quarantine::kSettleTime`.
  static constexpr unsigned kUpdateSpreads = 8;
  /// Number of members requested to probe one that doesn't answer.
  static constexpr std::size_t kIndirectProbes = 3;
  /// Number of members that are sent new information at once.
  static constexpr std::size_t kFanout = 3;
  /// Number of members that are sent this daemon's in-flight counts each time,
  /// in round-robin order.
  static constexpr std::size_t kCountReceivers = 4;
  /// Number of members that are sent repeated updates each time, and of updates
  /// that are sent to them.
  static constexpr std::size_t kRepeatReceivers = 2;
  static constexpr std::size_t kMaxRepeats = 4;
  /// Updates in each part of the repeats that are sent to a joining daemon.
  static constexpr std::size_t kRepeatsInList = 10;
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
  struct Probe {
    Member target;
    TimePoint started;
    bool check = false;     ///< Checks the suspicion of another member.
    bool indirect = false;  ///< Indirect probes were requested.
    bool failed = false;    ///< Only a late answer is awaited.
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
  void HandleAck(const Ack& ack, const Member& sender);
  void HandleUpdate(const GossipUpdate& received, const Endpoint& source);
  void HandleRepeats(const RepeatsPosted& event);
  void HandleCounts(const InFlightCountsPosted& event);
  void HandleLeave();

  /// Lets `pause`, in which this daemon didn't run, count for no member.
  void Postpone(Duration pause);
  void ContinueProbes();
  void RequestIndirect(std::uint32_t sequence, const Probe& probe);
  void FailProbe(Probe& probe);
  void StartProbe();
  void ProbeSuspects();
  void SendProbe(const Member& target, bool check);
  bool IsProbed(const DaemonName& name) const;
  Duration ProbeTimeout(const Probe& probe) const;
  Duration ProbeTime(const Probe& probe) const;
  void ContactAbsent();
  void ExpireSuspects();
  /// Applies a record that `sender` listed. One `from_list` isn't passed on by
  /// gossip, since the other members know it.
  void ApplyRecord(const Member& record, const DaemonName& sender,
                   bool from_list);
  /// Stores a record if it is newer than the known one.
  bool StoreRecord(const Member& record, bool from_list = false);
  /// Takes a message from a member as a sign of life at its incarnation.
  void RecordLife(const Member& sender);
  void Reinstate(const DaemonName& name);
  void HandleAccusation(const Member& record, const DaemonName& accuser);
  void Refute(const Member& record);
  void AdoptIncarnation();
  void Suspect(const Member& member);
  void AnnounceMembers(const Endpoint& excluded);
  void SpreadUpdate(const Endpoint& excluded);
  void SendNotices(const Endpoint& excluded);
  void SendMemberList(const Endpoint& to);
  void Send(const Endpoint& to, PeerContent content);
  PeerMessage MakeMessage(PeerContent content) const;
  SuspicionTimes ChooseSuspicionTimes() const;

  Member self_;
  std::vector<Endpoint> seeds_;
  std::mt19937_64 random_;
  MemberTable members_;
  GossipQueue gossip_;
  std::vector<GossipUpdate> repeats_;  ///< To be sent with the next counts.
  ReceiveDelay receive_delay_;
  TableVersion head_;
  LocalHealth health_{kTickInterval};
  ProbeDelays delays_;
  Suspicions suspicions_;
  SendAllowance announcements_{kAnnouncements, kPeriod};
  bool announcement_due_ = false;
  SendAllowance updates_{kUpdateSpreads, kPeriod};
  bool update_due_ = false;
  std::map<std::uint32_t, Probe> probes_;  ///< By sequence number.
  TimePoint period_started_{-kPeriod};
  TimePoint refuted_{-kRefuteInterval};  ///< Time of the latest refutation.
  /// Incarnation that refutes what others say of this daemon.
  std::uint64_t wanted_incarnation_ = 0;
  std::map<std::uint32_t, RelayedPing> relayed_pings_;
  std::uint32_t next_sequence_ = 1;
  unsigned periods_ = 0;
  TimePoint joined_{-kJoinTime};  ///< Time of the latest attempt to join.
  TimePoint now_;
  std::vector<PeerAction> actions_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MEMBERSHIP_H_
