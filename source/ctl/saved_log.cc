#include "ctl/saved_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <set>

#include "supervisor/context/event_kind.h"

namespace wisteriayoke {
namespace {

using enum EventKind;

constexpr std::string_view kTimeField = "time=";
constexpr std::uint64_t kMillisecondsPerSecond = 1000;
constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;
/// How long before a request what its process learned still matters: longer
/// than entries of lost upstreams are kept.
constexpr std::uint64_t kContextMs = 5000;

/// Events of a process that matter to all its requests.
constexpr auto kProcessEvents = std::to_array<EventKind>(
    {kStarted, kStopRequested, kEnded, kChildFailed, kReloaded, kTablesInForce,
     kTablesRefused, kStoreLost, kStoreReturned, kKeysStale, kKeysFresh,
     kLeaseTaken, kLeaseEnded, kMemberChanged});
/// Events that matter to the requests that an upstream runs.
constexpr auto kUpstreamEvents = std::to_array<EventKind>(
    {kUpstreamChanged, kUpstreamGone, kUpstreamSuspected, kUpstreamCrashed,
     kUpstreamLeaving, kUpstreamReturned, kOrderSent, kOrderEnded,
     kEntryRefused});

template <typename Events>
bool IsOneOf(const Events& events, const LogLine& line) {
  const auto kind = kEventKindNames.Find(line.FieldOf("event"));
  return kind && std::find(events.begin(), events.end(), *kind) != events.end();
}

/// Reads one value, in quotes or not, and moves `at` past it.
std::string ReadValue(std::string_view text, std::size_t& at) {
  std::string value;
  if (at >= text.size() || text[at] != '"') {
    const std::size_t end = std::min(text.find(' ', at), text.size());
    value = text.substr(at, end - at);
    at = end;
    return value;
  }
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\' && at + 1 < text.size()) ++at;
    value += text[at];
  }
  ++at;
  return value;
}

/// Reads "2026-12-04T13:06:17.661" as UTC.
std::optional<std::uint64_t> ReadTime(const std::string& text) {
  std::tm utc{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &utc);
  unsigned milliseconds = 0;
  if (rest == nullptr || std::sscanf(rest, ".%3u", &milliseconds) != 1) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(timegm(&utc)) * kMillisecondsPerSecond +
         milliseconds;
}

/// Adds the upstreams of a path such as "i-1:0-40,i-2:40-80".
void AddPath(const std::string& path, std::set<std::string>& upstreams) {
  std::size_t at = 0;
  while (at < path.size()) {
    const std::size_t end = std::min(path.find(',', at), path.size());
    const std::string stage = path.substr(at, end - at);
    upstreams.insert(stage.substr(0, stage.find(':')));
    at = end + 1;
  }
}

/// What is known of one request from its own lines.
struct RequestTrace {
  std::uint64_t from_ms = 0;  ///< Its arrival.
  std::uint64_t to_ms = 0;
  std::set<std::string> processes;
  std::set<std::string> upstreams;
};

RequestTrace TraceOf(const std::vector<LogLine>& own) {
  RequestTrace trace{.from_ms = own.front().time_ms,
                     .to_ms = own.back().time_ms};
  for (const auto& line : own) {
    const std::string age_us = line.FieldOf("age_us");
    const std::uint64_t age_ms = std::strtoull(age_us.c_str(), nullptr, 10) /
                                 kMicrosecondsPerMillisecond;
    trace.from_ms = std::min(trace.from_ms, line.time_ms - age_ms);
    trace.processes.insert(line.FieldOf("process"));
    AddPath(line.FieldOf("path"), trace.upstreams);
  }
  return trace;
}

bool Explains(const LogLine& line, const RequestTrace& trace) {
  if (line.time_ms + kContextMs < trace.from_ms) return false;
  if (line.time_ms > trace.to_ms) return false;
  const bool own_process = trace.processes.contains(line.FieldOf("process"));
  if (IsOneOf(kUpstreamEvents, line)) {
    // Orders are sent by one process for all.
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
    line.fields[name] = ReadValue(line.text, at);
    at = std::min(line.text.find_first_not_of(' ', at), line.text.size());
  }
  const auto time = ReadTime(line.FieldOf("time"));
  if (!time || line.FieldOf("event").empty()) return std::nullopt;
  line.time_ms = *time;
  return line;
}

std::vector<LogLine> SelectExplanation(const std::vector<LogLine>& lines,
                                       const std::string& request) {
  std::vector<LogLine> own;
  for (const auto& line : lines) {
    if (line.FieldOf("request") == request) own.push_back(line);
  }
  if (own.empty()) return {};
  const RequestTrace trace = TraceOf(own);
  std::vector<LogLine> selected;
  for (const auto& line : lines) {
    const bool is_own = line.FieldOf("request") == request;
    if (is_own || Explains(line, trace)) selected.push_back(line);
  }
  std::stable_sort(selected.begin(), selected.end(),
                   [](const LogLine& one, const LogLine& other) {
                     return one.time_ms < other.time_ms;
                   });
  return selected;
}

}  // namespace wisteriayoke
