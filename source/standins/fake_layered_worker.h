#ifndef WISTERIAYOKE_STANDINS_FAKE_LAYERED_WORKER_H_
#define WISTERIAYOKE_STANDINS_FAKE_LAYERED_WORKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/event_loop.h"
#include "runtime/http_server_session.h"
#include "standins/fake_layered_stream.h"
#include "standins/standin_options.h"

namespace wisteriayoke {

/// Stand-in for an upstream of the platform: registers itself in the store,
/// executes orders to hold layers, streams events as the first stage of a
/// chain, and answers plain requests.
///
/// GET /runs?ATTEMPT returns how often an attempt ran; PUT /leaving makes the
/// worker register that it is leaving.
class FakeLayeredWorker {
 public:
  FakeLayeredWorker(EventLoop& loop, const StandinOptions& options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller);

 private:
  using Caller = std::shared_ptr<HttpServerSession>;

  bool HandleControl(const HttpRequest& request, const Caller& caller);
  void SendHeartbeat();
  void Register();
  std::string DescribeEntry() const;
  std::string DescribeState() const;
  void HandleOrder(const HttpRequest& request, const Caller& caller);
  void EndOrder(const LayerRange& layers);
  void HandleWork(const HttpRequest& request, const Caller& caller);
  void HandleStream(const HttpRequest& request, const Caller& caller,
                    const std::string& attempt);
  bool HoldsLayers(const LayerRange& layers) const;

  EventLoop& loop_;
  StandinOptions options_;
  LayerRange layers_;
  std::uint64_t sequence_ = 0;  ///< Number of orders accepted.
  bool draining_ = false;
  std::int64_t started_ms_;
  std::map<std::string, std::uint64_t> runs_;  ///< Runs by attempt.
  std::vector<std::weak_ptr<FakeLayeredStream>> streams_;
  LoopTimerPtr order_timer_;  ///< Set while an order is executed.
  LoopTimerPtr heartbeat_timer_;
  LoopTimerPtr register_timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_LAYERED_WORKER_H_
