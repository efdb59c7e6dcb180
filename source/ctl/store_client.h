#ifndef WISTERIAYOKE_CTL_STORE_CLIENT_H_
#define WISTERIAYOKE_CTL_STORE_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/last_reason.h"
#include "base/time_types.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// A record of the table service. The service assigns its version and raises it
/// with each write of the record.
struct StoreRecord {
  /// kOk, kObjectMissing, kStoreConflict (with the current record),
  /// kStoreRateLimited, or kStoreUnreachable (a write may have taken effect).
  ResultCode code = ResultCode::kOk;
  std::string value;
  std::uint64_t version = 0;
};

/// Blocking client of the platform's table service and object store.
class StoreClient {
 public:
  StoreClient(Endpoint endpoint, Duration timeout)
      : endpoint_(std::move(endpoint)), timeout_(timeout) {}

  StoreRecord ReadRecord(const std::string& key);

  /// Writes the record if its version is `expected` (0: it must be absent).
  StoreRecord WriteRecord(const std::string& key, const std::string& value,
                          std::uint64_t expected);

  /// Reads the object whose digest is `hash`. Fails with kObjectMissing,
  /// kTableHashMismatch or kStoreUnreachable.
  std::optional<std::string> ReadObject(const std::string& hash,
                                        LastReason& reason);

  /// Stores `content` under its digest `hash`.
  ResultCode WriteObject(const std::string& hash, const std::string& content);

  const Endpoint& endpoint() const { return endpoint_; }

 private:
  Endpoint endpoint_;
  Duration timeout_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_STORE_CLIENT_H_
