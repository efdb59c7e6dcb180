#include "decisions/leaving_tracker.h"

#include <algorithm>

#include "base/overloaded.h"

namespace wisteriayoke {

std::vector<LeavingAction> LeavingTracker::Handle(const LeavingEvent& event,
                                                  TimePoint now) {
  std::visit(
      Overloaded{
          [&](const UpstreamLeavingReport& word) { HearWord(word, now); },
          [&](const InstanceListRead& list) { HearList(list); },
          [&](const LeavingUpdateReceived& heard) {
            HearPeer(heard.update, now);
          },
          [](const LeavingTick&) {},
      },
      event);
  std::vector<LeavingAction> actions;
  for (auto& [upstream, signs] : signs_) {
    Review(upstream, signs, now, actions);
  }
  std::erase_if(signs_, [](const auto& item) {
    return !item.second.marked && !item.second.first_hand();
  });
  return actions;
}

void LeavingTracker::HearWord(const UpstreamLeavingReport& word,
                              TimePoint now) {
  if (word.leaving) {
    Signs& signs = signs_[word.upstream];
    signs.by_upstream = true;
    signs.well_since.reset();
    return;
  }
  const auto found = signs_.find(word.upstream);
  if (found == signs_.end()) return;
  Signs& signs = found->second;
  if (!signs.well_since) signs.well_since = now;
  if (now - *signs.well_since >= kReturnTime) signs.by_upstream = false;
}

void LeavingTracker::HearList(const InstanceListRead& list) {
  if (list.revision <= revision_) return;
  revision_ = list.revision;
  for (const auto& listed : list.upstreams) {
    if (listed.leaving) {
      signs_[listed.upstream].by_list = true;
    } else if (const auto found = signs_.find(listed.upstream);
               found != signs_.end()) {
      found->second.by_list = false;
    }
  }
}

void LeavingTracker::HearPeer(const LeavingUpdate& update, TimePoint now) {
  if (update.age >= kPeerSignLifetime) return;
  const TimePoint until = now + kPeerSignLifetime - update.age;
  Signs& signs = signs_[update.upstream];
  signs.by_peer_until = std::max(signs.by_peer_until.value_or(until), until);
}

void LeavingTracker::Review(const UpstreamName& upstream, Signs& signs,
                            TimePoint now,
                            std::vector<LeavingAction>& actions) {
  const bool by_peer = signs.by_peer_until && now < *signs.by_peer_until;
  const bool leaving = signs.first_hand() || by_peer;
  if (leaving != signs.marked) {
    signs.marked = leaving;
    actions.emplace_back(MarkLeaving{upstream, leaving});
  }
  const bool due = !signs.told || now - *signs.told >= kRenewalInterval;
  if (!signs.first_hand() || !due) return;
  // One daemon's renewal does for all.
  const bool renewed = by_peer && *signs.by_peer_until - now >
                                      kPeerSignLifetime - kRenewalInterval;
  if (renewed) return;
  signs.told = now;
  actions.emplace_back(AnnounceLeaving{upstream});
}

std::vector<UpstreamName> LeavingTracker::ListLeaving() const {
  std::vector<UpstreamName> leaving;
  for (const auto& [upstream, signs] : signs_) {
    if (signs.marked) leaving.push_back(upstream);
  }
  return leaving;
}

bool LeavingTracker::IsLeaving(const UpstreamName& upstream) const {
  const auto found = signs_.find(upstream);
  return found != signs_.end() && found->second.marked;
}

}  // namespace wisteriayoke
