#ifndef WISTERIAYOKE_STANDINS_FAKE_GENERATION_H_
#define WISTERIAYOKE_STANDINS_FAKE_GENERATION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runtime/http_server_session.h"
#include "standins/fake_engine_state.h"

namespace wisteriayoke {

/// One answer that a stand-in engine generates as the first stage of a chain.
/// Waits until a slot is free, and pauses while its caller reads too slowly.
class FakeGeneration : public std::enable_shared_from_this<FakeGeneration> {
 public:
  FakeGeneration(FakeEngineState& state, GenerateRequest request,
                 std::shared_ptr<HttpServerSession> caller);

  void Start();

 private:
  void Begin();
  void End();
  void NextToken();
  void RunLayers();
  void ForwardToken();
  void HandleForwarded(const FetchResult& result, Duration call_time);
  void EmitToken(std::vector<LayerRange> passed,
                 std::vector<StageTiming> timings);
  void EmitEnd(const std::string& finish_reason);
  void EmitFailure(const EngineFailure& failure);
  bool ApplyFault();
  KvSource SourceOfStage(std::size_t stage) const;

  FakeEngineState& state_;
  GenerateRequest request_;
  std::shared_ptr<HttpServerSession> caller_;
  std::optional<TokenIndex> crash_token_;
  TokenIndex next_;
  LoopTimerPtr timer_;
  LoopTimerPtr deadline_timer_;
  TimePoint token_start_;
  Duration compute_time_{};
  bool running_ = false;
  bool ended_ = false;
  bool paused_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_GENERATION_H_
