#ifndef WISTERIAYOKE_SUPERVISOR_PLATFORM_PLATFORM_CLIENT_H_
#define WISTERIAYOKE_SUPERVISOR_PLATFORM_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result_code.h"
#include "runtime/http_client_call.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// What the platform's table service or object store answered.
struct StoreReply {
  /// kOk, kObjectMissing (no such record), kStoreConflict (the record has
  /// another version), kStoreRateLimited, or kStoreUnreachable (a write may
  /// have taken effect).
  ResultCode code = ResultCode::kOk;
  std::string value;          ///< Value read, or the value in conflict.
  std::uint64_t version = 0;  ///< Version of the record; 0 if it is absent.
};

/// Speaks with the platform's table service and object store. A child of the
/// root.
class PlatformClient : public std::enable_shared_from_this<PlatformClient> {
 public:
  using Done = std::function<void(StoreReply)>;

  PlatformClient(DaemonContext context, FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

  /// Reads the record called `key`.
  void ReadRecord(const std::string& key, Done done);

  /// Writes the record if its version is `expected` (0: it must be absent).
  void WriteRecord(const std::string& key, const std::string& value,
                   std::uint64_t expected, Done done);

  /// Reads the object whose digest is `hash`.
  void ReadObject(const std::string& hash, Done done);

 private:
  void Send(HttpRequest request, Done done);

  DaemonContext context_;
  FailureHandler on_failure_;
  Endpoint endpoint_;
};

/// Finds the running platform client; it returns null while there is none.
using PlatformFinder = std::function<std::shared_ptr<PlatformClient>()>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_PLATFORM_PLATFORM_CLIENT_H_
