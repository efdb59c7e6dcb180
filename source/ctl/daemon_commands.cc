#include "ctl/daemon_commands.h"

#include <cstddef>
#include <ctime>
#include <functional>

#include "base/version.h"
#include "ctl/blocking_http.h"
#include "supervisor/context/operators_codec.h"
#include "supervisor/context/quoted_text.h"
#include "supervisor/context/timeline_merge.h"
#include "wire/uri_codec.h"

namespace wisteriayoke {
namespace {

constexpr int kFirstErrorStatus = 400;
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;

/// Sends `request` to each daemon and passes the body of each successful
/// response to `handle`, which returns false if it can't be parsed. The
/// result's reason joins the messages of all failures.
CommandResult CallDaemons(
    const CtlOptions& options, const HttpRequest& request,
    const std::function<bool(const std::string& body, LastReason&)>& handle) {
  CommandResult result;
  std::string failures;
  for (const auto& daemon : options.daemons) {
    LastReason reason;
    const auto answer = FetchBlocking(daemon, request, options.timeout, reason);
    if (answer && answer->head.status >= kFirstErrorStatus) {
      reason.Set(
          answer->head.status == 404 ? ResultCode::kUnknownChild
                                     : ResultCode::kConnectionBroken,
          daemon.ToString() + " answered " + QuoteIfNeeded(answer->body));
    } else if (answer && handle(answer->body, reason)) {
      continue;
    }
    failures += (failures.empty() ? "" : " ") + reason.message();
    result.reason.Set(reason.code(), failures);
  }
  return result;
}

std::string DescribeReadiness(const DaemonStatus& status) {
  if (status.draining) return "draining";
  return status.ready ? "ready" : "not-ready";
}

std::string FormatFollow(const FollowStatus& follow) {
  const std::string age = follow.proof_age_us < 0
                              ? "unknown"
                              : std::to_string(follow.proof_age_us / 1000);
  return std::string("  store ") +
         (follow.follows_store ? "followed" : "through-peers") +
         " proof_age_ms=" + age +
         " proof_source=" + QuoteIfNeeded(follow.proof_source) +
         " tables_head=" + std::to_string(follow.tables_head) +
         " entries_head=" + std::to_string(follow.entries_head) + "\n";
}

std::string FormatStatus(const DaemonStatus& status) {
  std::string text =
      QuoteIfNeeded(status.name.text()) + " " + DescribeReadiness(status) +
      " data_centre=" + QuoteIfNeeded(status.data_centre.text()) +
      " tables=" + std::to_string(status.version.number) +
      " requests=" + std::to_string(status.requests_started) +
      " invariants_broken=" + std::to_string(status.invariants_broken) + "\n";
  if (status.follow) text += FormatFollow(*status.follow);
  for (const auto& child : status.children) {
    text += "  child " + QuoteIfNeeded(child.path) +
            (child.running ? " running" : " stopped") +
            " restarts=" + std::to_string(child.restarts) + "\n";
  }
  for (const auto& upstream : status.upstreams) {
    text += "  upstream " + QuoteIfNeeded(upstream.pool.text()) + "/" +
            QuoteIfNeeded(upstream.name.text()) + " " +
            std::string(kUpstreamHealthNames.NameOf(upstream.health)) +
            " in_flight=" + std::to_string(upstream.in_flight) + "\n";
  }
  return text;
}

std::string FormatTime(const HybridTime& time) {
  const auto seconds =
      static_cast<std::time_t>(time.wall_us / kMicrosecondsPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  constexpr std::size_t kTextSize = 64;
  char text[kTextSize];
  std::string shown(text, std::strftime(text, kTextSize, "%FT%T.", &utc));
  const std::string fraction =
      std::to_string(time.wall_us % kMicrosecondsPerSecond);
  constexpr std::size_t kFractionDigits = 6;
  shown += std::string(kFractionDigits - fraction.size(), '0') + fraction;
  return shown + "+" + std::to_string(time.counter);
}

std::string FormatEvents(const std::vector<MergedEvent>& events) {
  std::string text;
  for (const auto& [daemon, event] : events) {
    text += FormatTime(event.time) + " " + QuoteIfNeeded(daemon.text()) + " " +
            std::string(kEventKindNames.NameOf(event.kind)) +
            " code=" + std::to_string(static_cast<int>(event.code));
    for (const auto& [name, value] : event.fields) {
      text += " " + name + "=" + QuoteIfNeeded(value);
    }
    text += "\n";
  }
  return text;
}

CommandResult CollectEvents(const CtlOptions& options,
                            std::vector<MergedEvent>& events) {
  std::vector<DaemonTimeline> timelines;
  CommandResult result =
      CallDaemons(options, {.target = "/timeline"},
                  [&timelines](const std::string& body, LastReason& reason) {
                    auto timeline = ParseDaemonTimeline(body, reason);
                    if (!timeline) return false;
                    timelines.push_back(std::move(*timeline));
                    return true;
                  });
  events = MergeTimelines(timelines);
  return result;
}

std::string RenderEvents(const std::vector<MergedEvent>& events, bool json) {
  return json ? EncodeMergedEvents(events) + "\n" : FormatEvents(events);
}

}  // namespace

CommandResult ShowStatus(const CtlOptions& options) {
  std::string text;
  std::string json;
  CommandResult result =
      CallDaemons(options, {.target = "/status"},
                  [&](const std::string& body, LastReason& reason) {
                    const auto status = ParseDaemonStatus(body, reason);
                    if (!status) return false;
                    text += FormatStatus(*status);
                    json += (json.empty() ? "" : ",") + body;
                    return true;
                  });
  result.output = options.json ? "[" + json + "]\n" : text;
  return result;
}

CommandResult DrainDaemons(const CtlOptions& options) {
  std::size_t drained = 0;
  CommandResult result =
      CallDaemons(options, {.method = "POST", .target = "/drain"},
                  [&drained](const std::string&, LastReason&) {
                    ++drained;
                    return true;
                  });
  result.output =
      options.json ? "{\"draining\":" + std::to_string(drained) + "}\n"
                   : std::to_string(drained) +
                         " daemons draining; requests in flight will finish\n";
  return result;
}

CommandResult RestartChildren(const CtlOptions& options) {
  std::size_t restarted = 0;
  CommandResult result = CallDaemons(
      options,
      {.method = "POST",
       .target =
           "/children/" + PercentEncodePath(options.operands[0]) + "/restart"},
      [&restarted](const std::string&, LastReason&) {
        ++restarted;
        return true;
      });
  result.output =
      options.json ? "{\"restarted\":" + std::to_string(restarted) + "}\n"
                   : "restarted on " + std::to_string(restarted) + " daemons\n";
  return result;
}

CommandResult ShowTimeline(const CtlOptions& options) {
  std::vector<MergedEvent> events;
  CommandResult result = CollectEvents(options, events);
  if (events.size() > options.limit) {
    events.erase(events.begin(),
                 events.end() - static_cast<std::ptrdiff_t>(options.limit));
  }
  result.output = RenderEvents(events, options.json);
  return result;
}

CommandResult ExplainRequest(const CtlOptions& options) {
  std::vector<MergedEvent> events;
  CommandResult result = CollectEvents(options, events);
  const auto selected = SelectRequest(events, RequestId(options.operands[0]));
  result.output = RenderEvents(selected, options.json);
  if (selected.empty()) {
    result.note =
        "no event recorded for this request: it ran without an incident, is "
        "older than the events that the daemons keep, or never reached them";
  }
  return result;
}

CommandResult ShowVersions(const CtlOptions& options) {
  const std::string own(kVersion);
  std::string text = "wisteriayokectl " + own + "\n";
  std::string json = R"({"wisteriayokectl":")" + own + "\"";
  CommandResult result =
      CallDaemons(options, {.target = "/status"},
                  [&](const std::string& body, LastReason& reason) {
                    const auto status = ParseDaemonStatus(body, reason);
                    if (!status) return false;
                    const std::string& name = status->name.text();
                    text += QuoteIfNeeded(name) + " " +
                            QuoteIfNeeded(status->release) + "\n";
                    json += "," + Quote(name) + ":" + Quote(status->release);
                    return true;
                  });
  result.output = options.json ? json + "}\n" : text;
  return result;
}

}  // namespace wisteriayoke
