#ifndef WISTERIAYOKE_STANDINS_FAKE_SERVICE_H_
#define WISTERIAYOKE_STANDINS_FAKE_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "runtime/http_server_session.h"
#include "standins/standin_options.h"

namespace wisteriayoke {

/// Stand-in for a booking service: counts how often each body was run.
/// POST /.../holds runs a hold; GET /runs?BODY tells how often it ran.
class FakeService {
 public:
  FakeService(EventLoop& loop, const StandinOptions& options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller);

 private:
  HttpResponse RunHold(const std::string& body);

  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t next_hold_ = 1;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_SERVICE_H_
