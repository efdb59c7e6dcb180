#ifndef WISTERIAYOKE_STANDINS_FAKE_ENGINE_H_
#define WISTERIAYOKE_STANDINS_FAKE_ENGINE_H_

#include <memory>
#include <string>

#include "runtime/http_server_session.h"
#include "standins/fake_engine_orders.h"
#include "standins/fake_engine_state.h"
#include "standins/standin_options.h"

namespace wisteriayoke {

/// Stand-in for a model engine that holds a range of layers.
///
/// POST /generate starts an answer with this engine as the first stage of a
/// chain; POST /forward runs its layers for one token as a later stage; GET
/// /health returns whether it accepts work. GET /kv/REQUEST exports the KV
/// cache of a request, POST /cancel/REQUEST drops it. /orders is handled by
/// FakeEngineOrders. POST /faults sets its faults; GET /stats returns its
/// counts.
class FakeEngine {
 public:
  FakeEngine(EventLoop& loop, const StandinOptions& options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller);

 private:
  using CallerPtr = std::shared_ptr<HttpServerSession>;

  void Generate(const HttpRequest& request, const CallerPtr& caller);
  void Forward(const HttpRequest& request, const CallerPtr& caller);
  void RunLayers(ForwardRequest forward, const CallerPtr& caller);
  void ForwardToNextStage(ForwardRequest forward, Duration compute_time,
                          const CallerPtr& caller);
  void RefuseForward(const ForwardRequest& forward, const EngineFailure& why,
                     const CallerPtr& caller);
  HttpResponse SetFaults(const std::string& body);
  HttpResponse ExportKv(const RequestId& request) const;
  HttpResponse DescribeCounts() const;

  FakeEngineState state_;
  FakeEngineOrders orders_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_ENGINE_H_
