#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_OPERATORS_CODEC_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_OPERATORS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/last_reason.h"
#include "supervisor/context/daemon_status.h"
#include "supervisor/context/timeline.h"

namespace wisteriayoke {

/// The recorded events of one daemon.
struct DaemonTimeline {
  DaemonName daemon;
  std::vector<TimelineEvent> events;
};

/// One event and the daemon that recorded it.
struct MergedEvent {
  DaemonName daemon;
  TimelineEvent event;
};

/// Returns the JSON form of a daemon's status.
std::string EncodeDaemonStatus(const DaemonStatus& status);

/// Parses a daemon's status. Fails with kMalformedJson.
std::optional<DaemonStatus> ParseDaemonStatus(std::string_view json,
                                              LastReason& reason);

/// Returns the JSON form of a daemon's events.
std::string EncodeDaemonTimeline(const DaemonTimeline& timeline);

/// Parses a daemon's events. Skips events of a kind unknown to this release.
/// Fails with kMalformedJson.
std::optional<DaemonTimeline> ParseDaemonTimeline(std::string_view json,
                                                  LastReason& reason);

/// Returns the JSON form of the events of several daemons.
std::string EncodeMergedEvents(const std::vector<MergedEvent>& events);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_OPERATORS_CODEC_H_
