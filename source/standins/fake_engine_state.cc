#include "standins/fake_engine_state.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace wisteriayoke {
namespace {

constexpr Duration kStageTimeout = std::chrono::milliseconds(500);
constexpr Duration kImportTimeout = std::chrono::milliseconds(200);
/// Tokens of a prefix that are recomputed in the time of one generated token.
constexpr Duration::rep kPrefillTokens = 64;
constexpr int kStatusOk = 200;

void RecomputeKv(FakeEngineState& state, const RequestId& request,
                 AttemptNumber attempt, TokenIndex index,
                 std::function<void()> done) {
  state.counts.recomputed_tokens += index;
  state.kv.StartAttempt(request, attempt, index);
  const Duration time = state.options.token_time * index / kPrefillTokens;
  auto timer = std::make_shared<LoopTimerPtr>();
  *timer = state.loop.Schedule(time, [timer, done = std::move(done)] {
    done();
    timer->reset();
  });
}

TokenIndex ParseCount(const std::string& text) {
  TokenIndex count = 0;
  std::from_chars(text.data(), text.data() + text.size(), count);
  return count;
}

void ImportKv(FakeEngineState& state, const RequestId& request,
              AttemptNumber attempt, TokenIndex index, const Endpoint& from,
              std::function<void()> done) {
  FetchResponse(
      state.loop, from, {.method = "GET", .target = "/kv/" + request.text()},
      {.idle_timeout = kImportTimeout},
      [&state, request, attempt, index,
       done = std::move(done)](const FetchResult& result) mutable {
        const bool good = result.code == ResultCode::kOk &&
                          result.response.head.status == kStatusOk &&
                          ParseCount(result.response.body) >= index;
        if (!good) {
          return RecomputeKv(state, request, attempt, index, std::move(done));
        }
        state.counts.imported_tokens += index;
        state.kv.StartAttempt(request, attempt, index);
        done();
      });
}

}  // namespace

void LoadKv(FakeEngineState& state, const RequestId& request,
            AttemptNumber attempt, TokenIndex index, const KvSource& source,
            std::function<void()> done) {
  if (index > 0 && source.origin == KvOrigin::kImport) {
    return ImportKv(state, request, attempt, index, source.from,
                    std::move(done));
  }
  const bool held = source.origin == KvOrigin::kHeld &&
                    state.kv.CountTokens(request) >= index;
  if (index > 0 && !held) {
    return RecomputeKv(state, request, attempt, index, std::move(done));
  }
  state.counts.held_tokens += index;
  state.kv.StartAttempt(request, attempt, index);
  done();
}

void SendForward(FakeEngineState& state, ForwardRequest forward,
                 std::function<void(FetchResult, Duration)> done) {
  const Endpoint next = forward.next_stages.front();
  forward.next_stages.erase(forward.next_stages.begin());
  const TimePoint start = state.loop.Now();
  auto timer = std::make_shared<LoopTimerPtr>();
  auto send = [&state, next, start, timer, done = std::move(done),
               body = EncodeForward(forward)] {
    FetchResponse(state.loop, next,
                  {.method = "POST", .target = "/forward", .body = body},
                  {.idle_timeout = kStageTimeout},
                  [&state, start, done](FetchResult result) {
                    done(std::move(result), state.loop.Now() - start);
                  });
    state.loop.Post([timer] { timer->reset(); });
  };
  const Duration delay = state.faults.ExtraTimeOf(FakeFault::kSlowLink);
  if (delay == Duration::zero()) return send();
  *timer = state.loop.Schedule(delay, std::move(send));
}

Duration LinkTimeOf(Duration call_time, const std::vector<StageTiming>& later) {
  Duration known{};
  for (const auto& timing : later) known += timing.compute + timing.link;
  return std::max(Duration::zero(), call_time - known);
}

}  // namespace wisteriayoke
