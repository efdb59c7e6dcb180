#include "decisions/leaving_tracker.h"

#include <algorithm>

#include "base/overloaded.h"

namespace wisteriayoke {

std::vector<LeavingAction> LeavingTracker::Handle(const LeavingEvent& event,
                                                  TimePoint now) {
  std::visit(Overloaded{
                 [&](const UpstreamLeavingReport& report) {
                   ApplyUpstreamReport(report, now);
                 },
                 [&](const InstanceListRead& list) { ApplyList(list); },
                 [&](const LeavingUpdateReceived& received) {
                   ApplyPeerUpdate(received.update, now);
                 },
                 [](const LeavingTick&) {},
             },
             event);
  std::vector<LeavingAction> actions;
  for (auto& [upstream, signs] : signs_) {
    UpdateMark(upstream, signs, now, actions);
  }
  std::erase_if(signs_, [](const auto& item) {
    return !item.second.marked && !item.second.seen_directly();
  });
  return actions;
}

void LeavingTracker::ApplyUpstreamReport(const UpstreamLeavingReport& report,
                                         TimePoint now) {
  if (report.leaving) {
    Signs& signs = signs_[report.upstream];
    signs.by_upstream = true;
    signs.staying_since.reset();
    return;
  }
  const auto found = signs_.find(report.upstream);
  if (found == signs_.end()) return;
  Signs& signs = found->second;
  if (!signs.staying_since) signs.staying_since = now;
  if (now - *signs.staying_since >= kReturnTime) signs.by_upstream = false;
}

void LeavingTracker::ApplyList(const InstanceListRead& list) {
  if (list.revision <= revision_) return;
  revision_ = list.revision;
  listed_staying_.clear();
  for (const auto& listed : list.upstreams) {
    if (listed.leaving) {
      signs_[listed.upstream].by_list = true;
      continue;
    }
    listed_staying_.insert(listed.upstream);
    const auto found = signs_.find(listed.upstream);
    if (found == signs_.end()) continue;
    Signs& signs = found->second;
    signs.by_list = false;
    if (IsOutdated(listed.upstream, signs.peer_list_revision)) {
      signs.by_peer_until.reset();
    }
  }
}

/// Returns whether a sign from the list's revision `list_revision` was
/// withdrawn by the latest list.
bool LeavingTracker::IsOutdated(const UpstreamName& upstream,
                                std::uint64_t list_revision) const {
  return list_revision > 0 && list_revision < revision_ &&
         listed_staying_.contains(upstream);
}

void LeavingTracker::ApplyPeerUpdate(const LeavingUpdate& update,
                                     TimePoint now) {
  if (update.age >= kPeerSignLifetime) return;
  if (IsOutdated(update.upstream, update.list_revision)) return;
  const TimePoint until = now + kPeerSignLifetime - update.age;
  Signs& signs = signs_[update.upstream];
  if (signs.by_peer_until && until <= *signs.by_peer_until) return;
  signs.by_peer_until = until;
  signs.peer_list_revision = update.list_revision;
}

void LeavingTracker::UpdateMark(const UpstreamName& upstream, Signs& signs,
                                TimePoint now,
                                std::vector<LeavingAction>& actions) const {
  const bool by_peer = signs.by_peer_until && now < *signs.by_peer_until;
  const bool leaving = signs.seen_directly() || by_peer;
  if (leaving != signs.marked) {
    signs.marked = leaving;
    actions.emplace_back(MarkLeaving{upstream, leaving});
  }
  const bool due =
      !signs.announced_at || now - *signs.announced_at >= kRenewalInterval;
  if (!signs.certain() || !due) return;
  // A renewal by one daemon is enough for the whole group.
  const bool renewed = by_peer && *signs.by_peer_until - now >
                                      kPeerSignLifetime - kRenewalInterval;
  if (renewed) return;
  signs.announced_at = now;
  const bool by_upstream = signs.by_upstream && !signs.staying_since;
  actions.emplace_back(AnnounceLeaving{upstream, by_upstream ? 0 : revision_});
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
