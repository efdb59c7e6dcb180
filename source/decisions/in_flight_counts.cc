#include "decisions/in_flight_counts.h"

#include <string_view>

namespace wisteriayoke {
namespace {

/// FNV-1a with the offset and prime for 32 bits.
std::uint32_t ComputeFnv(std::string_view text) {
  std::uint32_t digest = 2'166'136'261U;
  for (const char letter : text) {
    digest ^= static_cast<std::uint8_t>(letter);
    digest *= 16'777'619U;
  }
  return digest;
}

}  // namespace

UpstreamDigest DigestOf(const UpstreamName& name) {
  return ComputeFnv(name.text());
}

std::uint32_t DigestOf(const DaemonName& name) {
  return ComputeFnv(name.text());
}

}  // namespace wisteriayoke
