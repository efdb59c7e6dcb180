#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_LEDGER_STORE_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_LEDGER_STORE_H_

#include <functional>
#include <string>

#include "decisions/ledger_claim.h"
#include "supervisor/table_service/table_service_client.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Returns the limits that the settings give.
LedgerLimits LedgerLimitsOf(const Settings& settings);

/// Returns the time by both clocks.
ClockReading ReadClocks(const EventLoop& loop);

/// Returns a new id that no other claim has.
ClaimId MakeClaimId();

/// Returns a new timed key, for a caller that gave none.
std::string MakeTimedKey(WallTime now);

/// Returns the digest that binds a key to what it was sent with.
std::string ComputeRequestDigest(const HttpRequest& request);

/// Returns the name of the record of `key`: timed keys are grouped by the hour
/// in which they were made.
std::string LedgerRecordName(const WorkspaceName& workspace,
                             const RouteName& route, const IdempotencyKey& key);

/// Carries out the store operations of one key's claim.
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
