#ifndef WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_FLEET_UPDATER_H_
#define WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_FLEET_UPDATER_H_

#include <vector>

#include "decisions/row_mirror.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Puts changes of the upstreams' entries in force and records them.
class FleetUpdater {
 public:
  explicit FleetUpdater(DaemonContext context) : context_(context) {}

  /// Applies changed rows of the mirrored table.
  void Apply(const std::vector<MirrorRow>& rows);

  /// Removes the upstreams whose entries didn't return in time after an outage
  /// of the store.
  void Expire();

 private:
  void ApplyEntry(const MirrorRow& row);
  void RemoveEntry(const UpstreamName& name);
  void ForgetUpstream(const UpstreamName& name);
  void RecordOutage();

  DaemonContext context_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_STORE_FOLLOWER_FLEET_UPDATER_H_
