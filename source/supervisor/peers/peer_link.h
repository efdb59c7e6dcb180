#ifndef WISTERIAYOKE_SUPERVISOR_PEERS_PEER_LINK_H_
#define WISTERIAYOKE_SUPERVISOR_PEERS_PEER_LINK_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/membership.h"
#include "runtime/http_server.h"
#include "runtime/supervisor.h"
#include "runtime/udp_endpoint.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Speaks with the other daemons: carries the decisions of `Membership` by
/// datagrams, shares in-flight counts, and serves the content of the tables in
/// force over TCP at the same address. A child of the root.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(DaemonContext context, FailureHandler on_failure);

  bool Start(LastReason& reason);
  /// Tells the peers that this daemon leaves.
  void Stop(const std::function<void()>& done);

  /// Adds the other daemons that the platform's list names to the seeds.
  void SetListedPeers(const std::vector<Endpoint>& listed);

  /// Tells the peers which tables are in force here.
  void TellHead(const TableVersion& head);

  /// Returns a peer to fetch content from: first who told of it last, then any.
  std::optional<Endpoint> ChooseHolder(const std::string& hash);

  std::size_t group_size() const { return membership_.group_size(); }

  /// Returns all that are known to be present, for the operators.
  std::vector<Member> ListMembers() const;

 private:
  bool Listen(LastReason& reason);
  void Tick();
  void ShareLoads();
  void HandleDatagram(std::string_view data, const Endpoint& from);
  HttpResponse ServeContent(const HttpRequest& request) const;
  void Feed(const PeerEvent& event);
  void SendMessage(const SendPeerMessage& action);
  void HandleMember(const Member& member);
  void HandleRumour(const GossipUpdateReceived& heard);
  void HandleHead(const TableVersion& head, const Endpoint& source);

  DaemonContext context_;
  FailureHandler on_failure_;
  Membership membership_;
  std::shared_ptr<UdpEndpoint> udp_;
  std::shared_ptr<HttpServer> server_;
  GossipExchange::Subscription carrier_;
  LoopTimerPtr tick_timer_;
  LoopTimerPtr load_timer_;
  TableVersion told_;  ///< Latest head that a peer told of.
  std::optional<Endpoint> teller_;
  bool stopped_ = false;
};

/// Finds the running link to the peers; it returns null while there is none.
using PeerFinder = std::function<std::shared_ptr<PeerLink>()>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_PEERS_PEER_LINK_H_
