#ifndef WISTERIAYOKE_SUPERVISOR_PEERS_PEER_LINK_H_
#define WISTERIAYOKE_SUPERVISOR_PEERS_PEER_LINK_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/member_change_summary.h"
#include "decisions/membership.h"
#include "decisions/proof_clock.h"
#include "decisions/settled_group.h"
#include "runtime/http_server.h"
#include "runtime/supervisor.h"
#include "runtime/udp_endpoint.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Communicates with the other daemons: sends and receives the datagrams of
/// `Membership`, shares in-flight counts, and serves the content of the tables
/// in force over TCP at the same address. A child of the root.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(DaemonContext context, FailureHandler on_failure);

  bool Start(LastReason& reason);
  /// Announces to the peers that this daemon leaves.
  void Stop(const std::function<void()>& done);

  /// Sets the daemons in the platform's list as seeds beside configured ones.
  void SetListedPeers(const std::vector<Endpoint>& listed);

  /// Sets the version of the tables in force, sent with each message to peers.
  void SetHeadInForce(const TableVersion& head);

  /// Sends this daemon's view of the store to some peers at once.
  void AnnounceStoreView();

  /// Returns a peer to fetch the content `hash` from: at the first call the one
  /// that announced it last, else a random member. Empty if there is none.
  std::optional<Endpoint> ChooseContentPeer(const std::string& hash);

  /// Returns the number of daemons in the settled view of the group.
  std::size_t group_size() const { return group_.size(); }

  /// Returns the members that are present, this daemon included.
  std::vector<Member> ListMembers() const;

 private:
  bool Listen(LastReason& reason);
  void Tick();
  void ShareLoads();
  void RepeatRefusals();
  void SendRefusals(const Endpoint& to);
  void HandleDatagram(std::string_view data, const Endpoint& from);
  HttpResponse Serve(const HttpRequest& request) const;
  HttpResponse ServeContent(const HttpRequest& request) const;
  HttpResponse ServeRows(std::string_view target) const;
  void HandleProof(const PeerMessage& message, const Ack& ack);
  void Feed(const PeerEvent& event);
  void SendMessage(const SendPeerMessage& action);
  void HandleMember(const Member& member);
  void ApplyGroup();
  /// Records the changes of members that got no lines of their own.
  void LogChanges();
  void HandleGossipUpdate(const GossipUpdateReceived& received);
  void HandleHead(const TableVersion& head, const Endpoint& sender);

  DaemonContext context_;
  FailureHandler on_failure_;
  Membership membership_;
  SettledGroup group_;
  MemberChangeSummary changes_;
  std::shared_ptr<UdpEndpoint> udp_;
  std::shared_ptr<HttpServer> server_;
  GossipExchange::Subscription gossip_sender_;
  LoopTimerPtr tick_timer_;
  LoopTimerPtr load_timer_;
  LoopTimerPtr repeat_timer_;
  unsigned repeats_ = 0;
  ProofClock proofs_;
  TableVersion head_;  ///< Highest head received from a peer.
  /// Peer that sent `head_`; empty once it was chosen for a fetch.
  std::optional<Endpoint> head_peer_;
  bool stopped_ = false;
};

/// Returns the running link to the peers, or null while there is none.
using PeerFinder = std::function<std::shared_ptr<PeerLink>()>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_PEERS_PEER_LINK_H_
