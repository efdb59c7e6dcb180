#ifndef WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_FLEET_UPDATER_H_
#define WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_FLEET_UPDATER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/last_reason.h"
#include "decisions/row_mirror.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Where changes of the entries came from, for the log.
struct EntriesSource {
  std::string name;    ///< "store", or the address of a peer.
  std::string age_us;  ///< Age of the copy that they change, or "unknown".
};

/// Puts changes of the upstreams' entries in force and records them.
class FleetUpdater {
 public:
  explicit FleetUpdater(DaemonContext context) : context_(context) {}

  /// Records that the store answers this daemon now.
  void RecordStoreAnswer();

  /// Records that the store returned to an older copy of itself. To be called
  /// before the rows of that copy are applied.
  void RecordStoreReset();

  /// Applies changed rows of the mirrored table.
  void Apply(const std::vector<MirrorRow>& rows, const EntriesSource& source);

  /// Removes the upstreams whose entries didn't return in time after an outage
  /// of the store.
  void Expire();

 private:
  void ApplyEntry(const MirrorRow& row, const EntriesSource& source);
  void RecordRefusal(const MirrorRow& row, const LastReason& reason,
                     const EntriesSource& source);
  void RemoveEntry(const UpstreamName& name, const EntriesSource& source);
  void ForgetUpstream(const UpstreamName& name, const EntriesSource& source);
  void RecordStoreAge();

  DaemonContext context_;
  std::optional<TimePoint> store_answered_;  ///< This daemon, last.
  std::set<std::string> refused_;  ///< Keys of the entries that can't be used.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_FLEET_UPDATER_H_
