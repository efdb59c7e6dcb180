#ifndef WISTERIAYOKE_STANDINS_FAKE_ENGINE_STATE_H_
#define WISTERIAYOKE_STANDINS_FAKE_ENGINE_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>

#include "runtime/event_loop.h"
#include "runtime/http_client_call.h"
#include "standins/fake_faults.h"
#include "standins/fake_kv_cache.h"
#include "standins/standin_options.h"
#include "wire/engine_codec.h"

namespace wisteriayoke {

/// Counts that GET /stats returns to tests.
struct FakeEngineCounts {
  std::uint32_t running = 0;  ///< Answers being generated here.
  std::uint64_t tokens = 0;   ///< Tokens run through this engine's layers.
  std::uint64_t held_tokens = 0;
  std::uint64_t imported_tokens = 0;
  std::uint64_t recomputed_tokens = 0;
};

/// State shared by the answers of one stand-in engine.
struct FakeEngineState {
  EventLoop& loop;
  StandinOptions options;
  FakeFaults faults;
  FakeKvCache kv;
  FakeEngineCounts counts;
  /// Calls that start the answers waiting for a slot, in order of arrival.
  std::deque<std::function<void()>> waiting;
};

/// Fills the KV cache with the tokens before `index` from `source`, then calls
/// `done`. Recomputes them if the source does not have them.
void LoadKv(FakeEngineState& state, const RequestId& request,
            AttemptNumber attempt, TokenIndex index, const KvSource& source,
            std::function<void()> done);

/// Sends `forward` to the next stage, which runs its layers for one token;
/// passes the result and the duration of the call to `done`.
void SendForward(FakeEngineState& state, ForwardRequest forward,
                 std::function<void(FetchResult, Duration)> done);

/// Returns the part of `call_time` that the timings of the `later` stages don't
/// account for.
Duration LinkTimeOf(Duration call_time, const std::vector<StageTiming>& later);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_ENGINE_STATE_H_
