#ifndef WISTERIAYOKE_BASE_VERSION_H_
#define WISTERIAYOKE_BASE_VERSION_H_

#include <string_view>

namespace wisteriayoke {

/// Version of this release, defined by the build.
inline constexpr std::string_view kVersion = WISTERIAYOKE_VERSION;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_VERSION_H_
