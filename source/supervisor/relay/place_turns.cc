#include "supervisor/relay/place_turns.h"

#include <map>
#include <set>
#include <utility>

namespace wisteriayoke {
namespace {

/// Most requests of a pool that search for a place at one call.
constexpr unsigned kMaxTurns = 64;

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
    session->TakeTurn();
    // Each search goes over all upstreams; the others have their own times.
    if (session->WaitsToResume()) return false;
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
    while (passed.size() < kMaxTurns) {
      const auto next = queue.Next(context.loop.Now(), passed);
      if (!next) break;
      passed.insert(*next);
      const auto session = waiting.queued.find(*next);
      if (session != waiting.queued.end() && !session->second->TakeTurn()) {
        break;
      }
    }
  }
}

}  // namespace wisteriayoke
