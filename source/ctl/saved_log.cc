#include "ctl/saved_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <set>

#include "supervisor/context/event_kind.h"
#include "supervisor/context/quoted_text.h"

namespace wisteriayoke {
namespace {

using enum EventKind;

constexpr std::string_view kTimeField = "time=";
constexpr std::uint64_t kMillisecondsPerSecond = 1000;
constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;
/// Events up to this long before a request's arrival may explain it. Longer
/// than a daemon keeps the entries of lost upstreams.
constexpr std::uint64_t kContextWindowMs = 5000;

/// Events that affect all requests of their process.
constexpr auto kProcessEvents = std::to_array<EventKind>(
    {kStarted, kStopRequested, kEnded, kChildFailed, kReloaded, kTablesInForce,
     kTablesRefused, kStoreLost, kStoreReturned, kStoreHistoryLost, kStoreReset,
     kKeysStale, kKeysFresh, kLeaseTaken, kLeaseEnded, kMemberChanged,
     kMembersChanged});
/// Events that affect only requests with the named upstream on their paths.
constexpr auto kUpstreamEvents = std::to_array<EventKind>(
    {kUpstreamChanged, kUpstreamGone, kUpstreamMissing, kUpstreamSuspected,
     kUpstreamCrashed, kUpstreamLeaving, kUpstreamReturned, kOrderSent,
     kOrderEnded, kEntryRefused});

template <typename Events>
bool IsOneOf(const Events& events, const LogLine& line) {
  const auto kind = kEventKindNames.Find(line.FieldOf("event"));
  return kind && std::find(events.begin(), events.end(), *kind) != events.end();
}

/// Parses the value at `at`, quoted or not, and moves `at` past it.
std::string ParseValue(std::string_view text, std::size_t& at) {
  const std::size_t begin = at;
  if (at < text.size() && text[at] == '"') {
    for (++at; at < text.size() && text[at] != '"'; ++at) {
      if (text[at] == '\\') ++at;
    }
    at = std::min(at + 1, text.size());
  } else {
    at = std::min(text.find(' ', at), text.size());
  }
  return UnquoteIfQuoted(text.substr(begin, at - begin));
}

/// Parses a time such as "2026-12-04T13:06:17.661" as UTC, to milliseconds
/// since the epoch.
std::optional<std::uint64_t> ParseTime(const std::string& text) {
  std::tm utc{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &utc);
  unsigned milliseconds = 0;
  if (rest == nullptr || std::sscanf(rest, ".%3u", &milliseconds) != 1) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(timegm(&utc)) * kMillisecondsPerSecond +
         milliseconds;
}

/// Adds the names of the upstreams of a path such as "i-1:0-40,i-2:40-80".
void AddPath(const std::string& path, std::set<std::string>& upstreams) {
  std::size_t at = 0;
  while (at < path.size()) {
    const std::size_t end = std::min(path.find(',', at), path.size());
    const std::string stage = path.substr(at, end - at);
    upstreams.insert(stage.substr(0, stage.find(':')));
    at = end + 1;
  }
}

/// Time range, processes and upstreams of one request, from its log lines.
struct RequestTrace {
  std::uint64_t start_ms = 0;  ///< Arrival of the request.
  std::uint64_t end_ms = 0;
  std::set<std::string> processes;
  std::set<std::string> upstreams;
};

RequestTrace BuildTrace(const std::vector<LogLine>& own_lines) {
  RequestTrace trace{.start_ms = own_lines.front().time_ms,
                     .end_ms = own_lines.back().time_ms};
  for (const auto& line : own_lines) {
    const std::string age_us = line.FieldOf("age_us");
    const std::uint64_t age_ms = std::strtoull(age_us.c_str(), nullptr, 10) /
                                 kMicrosecondsPerMillisecond;
    trace.start_ms = std::min(trace.start_ms, line.time_ms - age_ms);
    trace.processes.insert(line.FieldOf("process"));
    AddPath(line.FieldOf("path"), trace.upstreams);
  }
  return trace;
}

bool IsRelevant(const LogLine& line, const RequestTrace& trace) {
  if (line.time_ms + kContextWindowMs < trace.start_ms) return false;
  if (line.time_ms > trace.end_ms) return false;
  const bool own_process = trace.processes.contains(line.FieldOf("process"));
  if (IsOneOf(kUpstreamEvents, line)) {
    // One process sends the orders on behalf of all, so its name may differ.
    const bool order = IsOneOf(std::array{kOrderSent, kOrderEnded}, line);
    return (own_process || order) &&
           trace.upstreams.contains(line.FieldOf("upstream"));
  }
  return own_process && IsOneOf(kProcessEvents, line);
}

}  // namespace

std::string LogLine::FieldOf(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const std::size_t begin = text.find(kTimeField);
  if (begin == std::string_view::npos) return std::nullopt;
  LogLine line{.text = std::string(text.substr(begin))};
  std::size_t at = 0;
  while (at < line.text.size()) {
    const std::size_t equals = line.text.find('=', at);
    if (equals == std::string::npos) break;
    const std::string name = line.text.substr(at, equals - at);
    at = equals + 1;
    line.fields[name] = ParseValue(line.text, at);
    at = std::min(line.text.find_first_not_of(' ', at), line.text.size());
  }
  const auto time = ParseTime(line.FieldOf("time"));
  if (!time || line.FieldOf("event").empty()) return std::nullopt;
  line.time_ms = *time;
  return line;
}

std::vector<LogLine> SelectExplanation(const std::vector<LogLine>& lines,
                                       const std::string& request) {
  std::vector<LogLine> own_lines;
  for (const auto& line : lines) {
    if (line.FieldOf("request") == request) own_lines.push_back(line);
  }
  if (own_lines.empty()) return {};
  const RequestTrace trace = BuildTrace(own_lines);
  std::vector<LogLine> selected;
  for (const auto& line : lines) {
    const bool is_own = line.FieldOf("request") == request;
    if (is_own || IsRelevant(line, trace)) selected.push_back(line);
  }
  std::stable_sort(selected.begin(), selected.end(),
                   [](const LogLine& one, const LogLine& other) {
                     return one.time_ms < other.time_ms;
                   });
  return selected;
}

}  // namespace wisteriayoke
