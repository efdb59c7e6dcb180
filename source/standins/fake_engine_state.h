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

/// Counts that a test can read.
struct FakeEngineCounts {
  std::uint32_t running = 0;  ///< Answers being generated here.
  std::uint64_t tokens = 0;   ///< Tokens run through this engine's layers.
  std::uint64_t held_tokens = 0;
  std::uint64_t imported_tokens = 0;
  std::uint64_t recomputed_tokens = 0;
};

/// What the answers of one stand-in engine share.
struct FakeEngineState {
  EventLoop& loop;
  StandinOptions options;
  FakeFaults faults;
  FakeKvCache kv;
  FakeEngineCounts counts;
  /// Starts of the answers that wait for a slot.
  std::deque<std::function<void()>> waiting;
};

/// Makes the KV cache hold the tokens before `index`, as `source` says, then
/// calls `done`. What can't be had is recomputed.
void LoadKv(FakeEngineState& state, const RequestId& request,
            AttemptNumber attempt, TokenIndex index, const KvSource& source,
            std::function<void()> done);

/// Asks the next stage of `forward` to run its layers for one token; `done`
/// gets the answer and the time that the call took.
void SendForward(FakeEngineState& state, ForwardRequest forward,
                 std::function<void(FetchResult, Duration)> done);

/// Returns the time of a call that is not in the stages' own timings.
Duration LinkTimeOf(Duration call_time, const std::vector<StageTiming>& later);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_ENGINE_STATE_H_
