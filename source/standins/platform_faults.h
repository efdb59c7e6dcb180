#ifndef WISTERIAYOKE_STANDINS_PLATFORM_FAULTS_H_
#define WISTERIAYOKE_STANDINS_PLATFORM_FAULTS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/last_reason.h"
#include "base/names_table.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// How the platform behaves while it is out of service.
enum class OutageKind {
  kNone,
  kRefuse,  ///< Closes each connection without an answer.
  kHang,    ///< Takes requests and never answers.
};

inline constexpr auto kOutageKindNames = MakeNamesTable<OutageKind>({
    {OutageKind::kNone, "none"},
    {OutageKind::kRefuse, "refuse"},
    {OutageKind::kHang, "hang"},
});

/// Faults of the stand-in platform, set by tests.
struct PlatformFaults {
  OutageKind outage = OutageKind::kNone;
  /// Time before a request takes effect, also if its caller has gone.
  Duration delay{};
  /// How many of the next writes take effect without being answered.
  std::uint32_t lose_answers = 0;
  /// How far reads of records lag behind writes.
  Duration stale{};
  /// Additional time before an object is answered.
  Duration object_delay{};
  /// How far the instance list lags behind.
  Duration instances_lag{};
  /// Most requests in a second; 0 stands for no limit.
  std::uint32_t rate_limit = 0;
};

/// Parses a JSON object; absent fields have their defaults. Fails with
/// kMalformedJson or kFieldInvalid.
std::optional<PlatformFaults> ParsePlatformFaults(std::string_view json,
                                                  LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_PLATFORM_FAULTS_H_
