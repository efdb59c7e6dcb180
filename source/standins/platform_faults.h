#ifndef WISTERIAYOKE_STANDINS_PLATFORM_FAULTS_H_
#define WISTERIAYOKE_STANDINS_PLATFORM_FAULTS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/last_reason.h"
#include "base/names_table.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// How the stand-in platform handles requests during an outage.
enum class OutageKind {
  kNone,
  kRefuse,  ///< Closes each connection without an answer.
  kHang,    ///< Reads requests and never answers.
};

inline constexpr auto kOutageKindNames = MakeNamesTable<OutageKind>({
    {OutageKind::kNone, "none"},
    {OutageKind::kRefuse, "refuse"},
    {OutageKind::kHang, "hang"},
});

/// Faults of the stand-in platform, as set by tests.
struct PlatformFaults {
  OutageKind outage = OutageKind::kNone;
  /// Delay before a request takes effect, even if its caller has disconnected.
  Duration delay{};
  /// Number of the next writes that take effect without an answer.
  std::uint32_t lose_answers = 0;
  /// Lag of reads of records behind writes.
  Duration stale{};
  /// Additional delay of requests for objects.
  Duration object_delay{};
  /// Lag of reads of the instance list behind its writes.
  Duration instances_lag{};
  /// Maximum number of requests per second; 0 for no limit.
  std::uint32_t rate_limit = 0;
};

/// Parses faults from a JSON object; absent fields get their defaults. Fails
/// with kMalformedJson or kFieldInvalid.
std::optional<PlatformFaults> ParsePlatformFaults(std::string_view json,
                                                  LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_PLATFORM_FAULTS_H_
