#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_LEDGER_STORE_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_LEDGER_STORE_H_

#include <functional>
#include <string>

#include "decisions/ledger_claim.h"
#include "supervisor/table_service/table_service_client.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Returns the limits of the ledger from the settings.
LedgerLimits LedgerLimitsOf(const Settings& settings);

/// Returns the monotonic and the wall time.
ClockReading ReadClocks(const EventLoop& loop);

/// Returns a new, random claim id.
ClaimId MakeClaimId();

/// Returns a new timed key, for a caller that gave none.
std::string MakeTimedKey(WallTime now);

/// Returns the digest of the method, target and body with which a key was sent.
std::string ComputeRequestDigest(const HttpRequest& request);

/// Returns the name of the record of `key`. Timed keys are grouped by the hour
/// in which they were made.
std::string LedgerRecordName(const WorkspaceName& workspace,
                             const RouteName& route, const IdempotencyKey& key);

/// Executes the store operations of one key's claim.
class LedgerStore {
 public:
  using Done = std::function<void(LedgerEvent)>;

  LedgerStore(TableServiceFinder table_service, std::string record_name)
      : table_service_(std::move(table_service)),
        record_name_(std::move(record_name)) {}

  void Read(const ReadLedger& action, Done done) const;
  void Write(const WriteLedger& action, Done done) const;

 private:
  TableServiceFinder table_service_;
  std::string record_name_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_LEDGER_STORE_H_
