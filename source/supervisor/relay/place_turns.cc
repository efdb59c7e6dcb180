#include "supervisor/relay/place_turns.h"

#include <map>
#include <set>
#include <utility>

namespace wisteriayoke {
namespace {

/// Most requests of a pool that search for a place at one call.
constexpr unsigned kMaxTurns = 64;
/// Most of these searches that may be in vain; each goes over all upstreams.
constexpr unsigned kMaxVainTurns = 4;

/// The sessions of one pool that wait for a place.
struct WaitingSessions {
  std::vector<std::shared_ptr<RelaySession>> resuming;
  std::map<PlaceTicket, std::shared_ptr<RelaySession>> queued;
};

std::map<PoolName, WaitingSessions> ListWaiting(
    const std::vector<std::weak_ptr<RelaySession>>& sessions) {
  std::map<PoolName, WaitingSessions> pools;
  for (const auto& weak : sessions) {
    const auto session = weak.lock();
    if (!session) continue;
    if (session->WaitsToResume()) {
      pools[session->pool()].resuming.push_back(session);
    } else if (const auto ticket = session->FindTicket()) {
      pools[session->pool()].queued.emplace(*ticket, session);
    }
  }
  return pools;
}

/// Lets streams go on. Returns whether none waits any longer.
bool Resume(const std::vector<std::shared_ptr<RelaySession>>& sessions) {
  for (const auto& session : sessions) {
    const bool others_may_search = session->TakeTurn();
    // Each search goes over all upstreams; the others have their own times. A
    // stream that avoids some upstreams says nothing about the room of others.
    if (session->WaitsToResume()) return others_may_search;
  }
  return true;
}

}  // namespace

void GivePlaces(const DaemonContext& context,
                const std::vector<std::weak_ptr<RelaySession>>& sessions) {
  auto& queues = context.state.relay.ranked_queues;
  if (queues.empty()) return;
  auto pools = ListWaiting(sessions);
  for (auto& [pool, queue] : queues) {
    WaitingSessions& waiting = pools[pool];
    queue.set_resuming(!Resume(waiting.resuming));
    std::set<PlaceTicket> passed;
    unsigned vain = 0;
    while (passed.size() < kMaxTurns && vain < kMaxVainTurns) {
      const auto next = queue.Next(context.loop.Now(), passed);
      if (!next) break;
      passed.insert(*next);
      const auto session = waiting.queued.find(*next);
      if (session == waiting.queued.end()) continue;
      if (!session->second->TakeTurn()) break;
      if (session->second->FindTicket()) ++vain;
    }
  }
}

}  // namespace wisteriayoke
