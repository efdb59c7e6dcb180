#ifndef WISTERIAYOKE_STANDINS_FAKE_KV_CACHE_H_
#define WISTERIAYOKE_STANDINS_FAKE_KV_CACHE_H_

#include <cstddef>
#include <deque>
#include <map>

#include "base/ids.h"

namespace wisteriayoke {

/// Stands for an engine's KV cache: for each request, how many tokens are
/// cached, and under which attempt. The oldest requests are evicted.
class FakeKvCache {
 public:
  /// Begins `attempt` with `tokens` cached, whatever was cached before.
  void Begin(const RequestId& request, AttemptNumber attempt,
             TokenIndex tokens);

  /// Adds the token `index`. Returns false if it isn't the next one or the
  /// attempt isn't the current one.
  bool Append(const RequestId& request, AttemptNumber attempt,
              TokenIndex index);

  void Drop(const RequestId& request) { entries_.erase(request); }

  /// Returns how many tokens of the request are cached.
  TokenIndex CountTokens(const RequestId& request) const;

  /// Returns the attempt under which they were cached; 0 for none.
  AttemptNumber AttemptOf(const RequestId& request) const;

 private:
  static constexpr std::size_t kCapacity = 512;

  struct Entry {
    AttemptNumber attempt = 0;
    TokenIndex tokens = 0;
  };

  std::map<RequestId, Entry> entries_;
  std::deque<RequestId> order_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_KV_CACHE_H_
