#include "decisions/upstream_reach.h"

#include <algorithm>

namespace wisteriayoke {

void UpstreamReach::RecordFailure(const UpstreamName& upstream,
                                  TimePoint begun) {
  if (answered_ && begun <= *answered_) return;
  failed_.insert(upstream);
  failing_since_ = std::min(failing_since_.value_or(begun), begun);
}

void UpstreamReach::RecordAnswer(TimePoint begun) {
  if (failing_since_ && begun < *failing_since_) return;
  answered_ = std::max(answered_.value_or(begun), begun);
  failed_.clear();
  failing_since_.reset();
  lost_ = false;
}

std::vector<UpstreamName> UpstreamReach::Update(
    const std::vector<UpstreamName>& upstreams, TimePoint now) {
  std::erase_if(failed_, [&upstreams](const UpstreamName& name) {
    return std::find(upstreams.begin(), upstreams.end(), name) ==
           upstreams.end();
  });
  if (failed_.size() < kSuspicious) {
    if (upstreams.size() < kSuspicious) lost_ = false;
    if (!lost_) return {};
  }
  if (failed_.size() >= std::min(kConclusive, upstreams.size())) lost_ = true;
  if (now < next_round_) return {};
  next_round_ = now + kProbeInterval;
  const std::size_t most = lost_ ? kProbesWhenLost : kProbes;
  std::vector<UpstreamName> probed;
  for (std::size_t i = 0; i < upstreams.size() && probed.size() < most; ++i) {
    const UpstreamName& name = upstreams[cursor_++ % upstreams.size()];
    if (lost_ || !failed_.contains(name)) probed.push_back(name);
  }
  return probed;
}

}  // namespace wisteriayoke
