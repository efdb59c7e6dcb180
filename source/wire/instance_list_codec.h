#ifndef WISTERIAYOKE_WIRE_INSTANCE_LIST_CODEC_H_
#define WISTERIAYOKE_WIRE_INSTANCE_LIST_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/last_reason.h"
#include "decisions/leaving_tracker.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// The platform's list of instances.
struct InstanceList {
  std::vector<ListedUpstream> upstreams;
  std::vector<Endpoint> daemons;  ///< Peer addresses of the daemons.
  std::vector<std::string>
      refused;  ///< Why each entry without use is left out.
};

/// Parses {"instances": [{"role": "upstream", "name": "engine1", "state":
/// "live"}, {"role": "daemon", "address": "IP:PORT"}]}. Entries of other roles
/// are ignored, malformed ones refused. Fails with kMalformedJson.
std::optional<InstanceList> ParseInstanceList(std::string_view json,
                                              LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_INSTANCE_LIST_CODEC_H_
