#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_GOSSIP_EXCHANGE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_GOSSIP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <vector>

#include "decisions/gossip_update.h"

namespace wisteriayoke {

/// Connects the children of a daemon with the child that speaks with the
/// peers: children post rumours and subscribe to those that come in.
class GossipExchange {
 public:
  using Handler = std::function<void(const GossipUpdate&)>;
  /// Keeps a handler subscribed for as long as it is held.
  using Subscription = std::shared_ptr<const Handler>;

  /// Sends `rumour` to all daemons. It is dropped while nobody carries
  /// rumours (the carrier is restarting).
  void Post(const GossipUpdate& update);

  /// Calls `handler` for each rumour that comes from a peer and is news.
  [[nodiscard]] Subscription Subscribe(Handler handler);

  /// Sets who carries posted rumours, for as long as `carrier` is held.
  [[nodiscard]] Subscription SetSender(Handler carrier);

  /// Hands a rumour that came from a peer to all subscribers.
  void Deliver(const GossipUpdate& update);

 private:
  std::weak_ptr<const Handler> carrier_;
  std::vector<std::weak_ptr<const Handler>> subscribers_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_GOSSIP_EXCHANGE_H_
