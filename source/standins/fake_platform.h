#ifndef WISTERIAYOKE_STANDINS_FAKE_PLATFORM_H_
#define WISTERIAYOKE_STANDINS_FAKE_PLATFORM_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "runtime/http_server_session.h"
#include "standins/standin_options.h"

namespace wisteriayoke {

/// Stand-in for the platform: a table service with compare-and-set
/// (/records/KEY, versions in header fields) and an object store
/// (/objects/DIGEST), both in memory.
class FakePlatform {
 public:
  FakePlatform(EventLoop& loop, const StandinOptions& options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller);

 private:
  struct Record {
    std::string value;
    std::uint64_t version = 0;
  };

  HttpResponse HandleRecord(const HttpRequest& request, const std::string& key);
  HttpResponse HandleObject(const HttpRequest& request, const std::string& key);

  std::map<std::string, Record> records_;
  std::map<std::string, std::string> objects_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_PLATFORM_H_
