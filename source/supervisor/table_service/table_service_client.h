#ifndef WISTERIAYOKE_SUPERVISOR_TABLE_SERVICE_TABLE_SERVICE_CLIENT_H_
#define WISTERIAYOKE_SUPERVISOR_TABLE_SERVICE_TABLE_SERVICE_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/result_code.h"
#include "decisions/circuit_breaker.h"
#include "runtime/http_client_call.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Reply of the platform's table service or object store.
struct StoreReply {
  /// kOk, kObjectMissing (no such record or object), kStoreConflict (the record
  /// has another version), kStoreRateLimited (the call had no effect), or
  /// kStoreUnreachable.
  ResultCode code = ResultCode::kOk;
  std::string value;          ///< Value read, or the current one on conflict.
  std::uint64_t version = 0;  ///< Version of the record; 0 if it is absent.
  /// Whether a write that failed may have taken effect or may still do so.
  bool sent = false;
};

/// Client of the platform's table service and object store. A child of the
/// root. Limits concurrent and queued calls, and fails calls at once while its
/// circuit breaker is open.
class TableServiceClient
    : public std::enable_shared_from_this<TableServiceClient> {
 public:
  using Done = std::function<void(StoreReply)>;

  TableServiceClient(DaemonContext context, FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

  /// Reads the record `key`.
  void ReadRecord(const std::string& key, Done done);

  /// Writes the record if its version is `expected` (0: it must be absent).
  void WriteRecord(const std::string& key, const std::string& value,
                   std::uint64_t expected, Done done);

  /// Reads the list of instances; the reply's version is its revision.
  void ReadInstances(Done done);

  /// Reads the object whose digest is `hash`.
  void ReadObject(const std::string& hash, Done done);

 private:
  /// A call queued until another one ends.
  struct WaitingCall {
    HttpRequest request;
    Done done;
    TimePoint queued_at;
  };

  void Send(HttpRequest request, Done done);
  void StartCall(HttpRequest request, Done done);
  void HandleResult(const FetchResult& result, const Done& done);
  void RecordOutcome(const StoreReply& reply);
  void StartWaiting();
  void FailUnsent(const Done& done, ResultCode code);

  DaemonContext context_;
  FailureHandler on_failure_;
  Endpoint endpoint_;
  CircuitBreaker breaker_{BreakerLimits{}};
  std::size_t running_ = 0;
  std::deque<WaitingCall> waiting_;
};

/// Returns the running table service client, or null while there is none.
using TableServiceFinder = std::function<std::shared_ptr<TableServiceClient>()>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_TABLE_SERVICE_TABLE_SERVICE_CLIENT_H_
