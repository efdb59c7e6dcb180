#ifndef WISTERIAYOKE_WIRE_DIGEST_H_
#define WISTERIAYOKE_WIRE_DIGEST_H_

#include <string>
#include <string_view>

namespace wisteriayoke {

/// Returns the SHA-256 digest of `content` as lower-case hexadecimal digits.
std::string ComputeDigest(std::string_view content);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_DIGEST_H_
