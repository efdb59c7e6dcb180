#ifndef WISTERIAYOKE_CTL_SAVED_LOG_H_
#define WISTERIAYOKE_CTL_SAVED_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayoke {

/// One line that a daemon logged.
struct LogLine {
  std::string text;           ///< As it was written, from its time on.
  std::uint64_t time_ms = 0;  ///< Since the epoch.
  std::map<std::string, std::string> fields;

  /// Returns the value of `name`, or "".
  std::string FieldOf(const std::string& name) const;
};

/// Reads a line that a daemon logged, whatever a collector put before its time;
/// nothing for any other text.
std::optional<LogLine> ParseLogLine(std::string_view text);

/// Returns the lines about `request` and those that explain them, by time: what
/// its process learned in the seconds before of the upstreams on its paths, of
/// the store, the tables and the other daemons.
std::vector<LogLine> SelectExplanation(const std::vector<LogLine>& lines,
                                       const std::string& request);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_SAVED_LOG_H_
