#ifndef WISTERIAYOKE_STANDINS_FAKE_ENGINE_H_
#define WISTERIAYOKE_STANDINS_FAKE_ENGINE_H_

#include <memory>
#include <string>

#include "runtime/http_server_session.h"
#include "standins/standin_options.h"

namespace wisteriayoke {

/// Stand-in for a model engine that holds a range of layers.
///
/// POST /generate makes it the first stage of a chain; POST /forward asks it to
/// run its layers for one token as a later stage; GET /health says whether it
/// takes work.
class FakeEngine {
 public:
  FakeEngine(EventLoop& loop, const StandinOptions& options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller);

 private:
  void Generate(const HttpRequest& request,
                const std::shared_ptr<HttpServerSession>& caller);
  void Forward(const HttpRequest& request,
               const std::shared_ptr<HttpServerSession>& caller);

  EventLoop& loop_;
  StandinOptions options_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_ENGINE_H_
