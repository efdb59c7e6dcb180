#ifndef WISTERIAYOKE_CTL_SAVED_LOG_H_
#define WISTERIAYOKE_CTL_SAVED_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayoke {

/// A parsed log line of a daemon.
struct LogLine {
  std::string text;           ///< The line from its "time=" field on.
  std::uint64_t time_ms = 0;  ///< Milliseconds since the epoch.
  std::map<std::string, std::string> fields;

  /// Returns the value of the field `name`, or "" if it is absent.
  std::string FieldOf(const std::string& name) const;
};

/// Parses a log line of a daemon and skips any prefix that a log collector put
/// before "time=". Returns nothing if `text` is not such a line.
std::optional<LogLine> ParseLogLine(std::string_view text);

/// Returns the lines of `request` and the lines that explain them, ordered by
/// time: events that its process logged from 5 s before its arrival on about
/// the upstreams on its paths, the store, the tables and the other daemons.
std::vector<LogLine> SelectExplanation(const std::vector<LogLine>& lines,
                                       const std::string& request);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_SAVED_LOG_H_
