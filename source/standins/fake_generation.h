#ifndef WISTERIAYOKE_STANDINS_FAKE_GENERATION_H_
#define WISTERIAYOKE_STANDINS_FAKE_GENERATION_H_

#include <functional>
#include <memory>
#include <string>

#include "runtime/http_client_call.h"
#include "runtime/http_server_session.h"
#include "standins/standin_options.h"
#include "wire/engine_codec.h"

namespace wisteriayoke {

/// Asks the next stage of `forward` to run its layers for one token.
void SendForward(EventLoop& loop, ForwardRequest forward,
                 std::function<void(FetchResult)> done);

/// One answer that a stand-in engine generates as the first stage of a chain.
class FakeGeneration : public std::enable_shared_from_this<FakeGeneration> {
 public:
  FakeGeneration(EventLoop& loop, const StandinOptions& options,
                 GenerateRequest request,
                 std::shared_ptr<HttpServerSession> caller);

  void Start();

 private:
  void NextToken();
  void RunLayers();
  void HandleForwarded(const FetchResult& result);
  void EmitToken(const std::vector<LayerRange>& passed);
  void EmitFailure(const std::string& message);

  EventLoop& loop_;
  StandinOptions options_;
  GenerateRequest request_;
  std::shared_ptr<HttpServerSession> caller_;
  TokenIndex next_;
  LoopTimerPtr timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_GENERATION_H_
