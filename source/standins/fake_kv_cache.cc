#include "standins/fake_kv_cache.h"

namespace wisteriayoke {

void FakeKvCache::StartAttempt(const RequestId& request, AttemptNumber attempt,
                               TokenIndex tokens) {
  if (!entries_.contains(request)) eviction_order_.push_back(request);
  entries_[request] = {attempt, tokens};
  while (eviction_order_.size() > kCapacity) {
    entries_.erase(eviction_order_.front());
    eviction_order_.pop_front();
  }
}

bool FakeKvCache::Append(const RequestId& request, AttemptNumber attempt,
                         TokenIndex index) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  if (entry.attempt != attempt || entry.tokens != index) return false;
  ++entry.tokens;
  return true;
}

TokenIndex FakeKvCache::CountTokens(const RequestId& request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? 0 : found->second.tokens;
}

AttemptNumber FakeKvCache::AttemptOf(const RequestId& request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? 0 : found->second.attempt;
}

}  // namespace wisteriayoke
