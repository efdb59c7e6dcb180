#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_GOSSIP_EXCHANGE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_GOSSIP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <vector>

#include "decisions/gossip_update.h"

namespace wisteriayoke {

/// Connects the children of a daemon with the child that exchanges messages
/// with the peers: children post gossip updates and subscribe to those that
/// arrive.
class GossipExchange {
 public:
  using Handler = std::function<void(const GossipUpdate&)>;
  /// Keeps a handler subscribed for as long as it is held.
  using Subscription = std::shared_ptr<const Handler>;

  /// Sends `update` to all daemons. It is dropped while no sender is set, such
  /// as while the sender's child restarts.
  void Post(const GossipUpdate& update);

  /// Calls `handler` for each new update from a peer.
  [[nodiscard]] Subscription Subscribe(Handler handler);

  /// Sets the handler that sends posted updates to the peers, for as long as
  /// the subscription is held.
  [[nodiscard]] Subscription SetSender(Handler sender);

  /// Passes an update from a peer to all subscribers.
  void Deliver(const GossipUpdate& update);

 private:
  std::weak_ptr<const Handler> sender_;
  std::vector<std::weak_ptr<const Handler>> subscribers_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_GOSSIP_EXCHANGE_H_
