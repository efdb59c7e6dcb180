#ifndef WISTERIAYOKE_STANDINS_FAKE_KV_CACHE_H_
#define WISTERIAYOKE_STANDINS_FAKE_KV_CACHE_H_

#include <cstddef>
#include <deque>
#include <map>

#include "base/ids.h"

namespace wisteriayoke {

/// Simulates an engine's KV cache: records for each request how many tokens are
/// cached and under which attempt. Evicts the oldest requests.
class FakeKvCache {
 public:
  /// Replaces the entry of `request`: starts `attempt` with `tokens` cached.
  void StartAttempt(const RequestId& request, AttemptNumber attempt,
                    TokenIndex tokens);

  /// Adds the token `index`. Returns false if it is not the next one or
  /// `attempt` is not the current attempt.
  bool Append(const RequestId& request, AttemptNumber attempt,
              TokenIndex index);

  void Drop(const RequestId& request) { entries_.erase(request); }

  /// Returns how many tokens of `request` are cached.
  TokenIndex CountTokens(const RequestId& request) const;

  /// Returns the attempt under which its tokens were cached; 0 if there are
  /// none.
  AttemptNumber AttemptOf(const RequestId& request) const;

 private:
  static constexpr std::size_t kCapacity = 512;

  struct Entry {
    AttemptNumber attempt = 0;
    TokenIndex tokens = 0;
  };

  std::map<RequestId, Entry> entries_;
  std::deque<RequestId> eviction_order_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_KV_CACHE_H_
