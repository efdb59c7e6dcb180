#include "supervisor/context/operators_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace wisteriayoke {
namespace {

using Json = nlohmann::ordered_json;

std::string ToText(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ToJson(const ChildStatus& child) {
  return {{"path", child.path},
          {"running", child.running},
          {"restarts", child.restarts}};
}

Json ToJson(const UpstreamStatus& upstream) {
  return {{"name", upstream.name.text()},
          {"pool", upstream.pool.text()},
          {"health", kUpstreamHealthNames.NameOf(upstream.health)},
          {"in_flight", upstream.in_flight}};
}

Json ToJson(const FollowStatus& follow) {
  return {{"follows_store", follow.follows_store},
          {"proof_age_us", follow.proof_age_us},
          {"proof_source", follow.proof_source},
          {"tables_head", follow.tables_head},
          {"entries_head", follow.entries_head}};
}

FollowStatus ReadFollow(const Json& json) {
  return {json.at("follows_store").get<bool>(),
          json.at("proof_age_us").get<std::int64_t>(),
          json.at("proof_source").get<std::string>(),
          json.at("tables_head").get<std::uint64_t>(),
          json.at("entries_head").get<std::uint64_t>()};
}

Json ToJson(const TimelineEvent& event) {
  Json fields = Json::object();
  for (const auto& [name, value] : event.fields) fields[name] = value;
  return {{"time_us", event.time.wall_us},
          {"counter", event.time.counter},
          {"event", kEventKindNames.NameOf(event.kind)},
          {"code", static_cast<int>(event.code)},
          {"fields", fields}};
}

template <typename Entries>
Json ListToJson(const Entries& entries) {
  Json list = Json::array();
  for (const auto& entry : entries) list.push_back(ToJson(entry));
  return list;
}

ChildStatus ReadChild(const Json& json) {
  return {json.at("path").get<std::string>(), json.at("running").get<bool>(),
          json.at("restarts").get<std::uint64_t>()};
}

UpstreamStatus ReadUpstream(const Json& json) {
  const auto health =
      kUpstreamHealthNames.Find(json.at("health").get<std::string>());
  return {UpstreamName(json.at("name").get<std::string>()),
          PoolName(json.at("pool").get<std::string>()),
          health.value_or(UpstreamHealth::kHealthy),
          json.at("in_flight").get<std::uint64_t>()};
}

DaemonStatus ReadStatus(const Json& json) {
  DaemonStatus status;
  status.name = DaemonName(json.at("name").get<std::string>());
  status.data_centre =
      DataCentreName(json.at("data_centre").get<std::string>());
  status.release = json.at("release").get<std::string>();
  status.version.number = json.at("tables_version").get<std::uint64_t>();
  status.version.hash = json.at("tables_hash").get<std::string>();
  status.ready = json.at("ready").get<bool>();
  status.draining = json.at("draining").get<bool>();
  status.requests_started = json.at("requests_started").get<std::uint64_t>();
  status.invariants_broken = json.at("invariants_broken").get<std::uint64_t>();
  if (json.contains("follow")) status.follow = ReadFollow(json.at("follow"));
  for (const auto& child : json.at("children")) {
    status.children.push_back(ReadChild(child));
  }
  for (const auto& upstream : json.at("upstreams")) {
    status.upstreams.push_back(ReadUpstream(upstream));
  }
  return status;
}

std::optional<TimelineEvent> ReadEvent(const Json& json) {
  const auto kind = kEventKindNames.Find(json.at("event").get<std::string>());
  if (!kind) return std::nullopt;
  TimelineEvent event;
  event.time = {json.at("time_us").get<std::uint64_t>(),
                json.at("counter").get<std::uint32_t>()};
  event.kind = *kind;
  event.code = static_cast<ResultCode>(json.at("code").get<std::uint16_t>());
  for (const auto& [name, value] : json.at("fields").items()) {
    event.fields.emplace_back(name, value.get<std::string>());
  }
  return event;
}

DaemonTimeline ReadTimeline(const Json& json) {
  DaemonTimeline timeline;
  timeline.daemon = DaemonName(json.at("daemon").get<std::string>());
  for (const auto& entry : json.at("events")) {
    if (auto event = ReadEvent(entry)) {
      timeline.events.push_back(std::move(*event));
    }
  }
  return timeline;
}

/// Parses `text` as JSON and decodes it with `read`. Fails with kMalformedJson.
template <typename Read>
auto ParseWith(std::string_view text, Read read, LastReason& reason)
    -> std::optional<decltype(read(Json()))> {
  try {
    return read(Json::parse(text));
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeDaemonStatus(const DaemonStatus& status) {
  Json json = {{"name", status.name.text()},
               {"data_centre", status.data_centre.text()},
               {"release", status.release},
               {"tables_version", status.version.number},
               {"tables_hash", status.version.hash},
               {"ready", status.ready},
               {"draining", status.draining},
               {"requests_started", status.requests_started},
               {"invariants_broken", status.invariants_broken},
               {"children", ListToJson(status.children)},
               {"upstreams", ListToJson(status.upstreams)}};
  if (status.follow) json["follow"] = ToJson(*status.follow);
  return ToText(json);
}

std::optional<DaemonStatus> ParseDaemonStatus(std::string_view json,
                                              LastReason& reason) {
  return ParseWith(json, ReadStatus, reason);
}

std::string EncodeDaemonTimeline(const DaemonTimeline& timeline) {
  return ToText({{"daemon", timeline.daemon.text()},
                 {"events", ListToJson(timeline.events)}});
}

std::string EncodeMergedEvents(const std::vector<MergedEvent>& events) {
  Json list = Json::array();
  for (const auto& row : events) {
    Json entry = ToJson(row.event);
    entry["daemon"] = row.daemon.text();
    list.push_back(std::move(entry));
  }
  return ToText(list);
}

std::optional<DaemonTimeline> ParseDaemonTimeline(std::string_view json,
                                                  LastReason& reason) {
  return ParseWith(json, ReadTimeline, reason);
}

}  // namespace wisteriayoke
