#include "decisions/in_flight_counts.h"

namespace wisteriayoke {

UpstreamDigest DigestOf(const UpstreamName& name) {
  // FNV-1a with the offset and prime for 32 bits.
  UpstreamDigest digest = 2'166'136'261U;
  for (const char letter : name.text()) {
    digest ^= static_cast<std::uint8_t>(letter);
    digest *= 16'777'619U;
  }
  return digest;
}

}  // namespace wisteriayoke
