#ifndef WISTERIAYOKE_DECISIONS_IN_FLIGHT_COUNTS_H_
#define WISTERIAYOKE_DECISIONS_IN_FLIGHT_COUNTS_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace wisteriayoke {

/// Hash of an upstream's name, which daemons send each other in its place,
/// since counts are sent often and names are long. Among a few hundred names
/// two share a digest with a chance of one in 100,000; their counts are then
/// added up.
using UpstreamDigest = std::uint32_t;

/// Returns the digest of `name`; the same in every daemon.
UpstreamDigest DigestOf(const UpstreamName& name);
std::uint32_t DigestOf(const DaemonName& name);

/// Number of requests that one daemon has in flight on an upstream.
struct InFlightCount {
  UpstreamDigest upstream = 0;
  std::uint16_t in_flight = 0;

  friend bool operator==(const InFlightCount&, const InFlightCount&) = default;
};

/// All counts of one daemon; an upstream that isn't listed has none in flight.
using InFlightCounts = std::vector<InFlightCount>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_IN_FLIGHT_COUNTS_H_
