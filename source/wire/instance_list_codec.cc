#include "wire/instance_list_codec.h"

#include <string>
#include <utility>

#include "wire/json_fields.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

constexpr std::string_view kUpstreamRole = "upstream";
constexpr std::string_view kDaemonRole = "daemon";
constexpr std::string_view kLeavingState = "leaving";

void Refuse(std::string why, InstanceList& list) {
  list.refused.push_back(std::move(why));
}

void AddInstance(const Json& json, InstanceList& list) {
  const std::string role = ReadText(json, "role").value_or("");
  if (role == kUpstreamRole) {
    const std::string name = ReadText(json, "name").value_or("");
    if (name.empty()) return Refuse("an upstream has no name", list);
    list.upstreams.push_back(
        {UpstreamName(name), ReadText(json, "state") == kLeavingState});
  } else if (role == kDaemonRole) {
    LastReason reason;
    const auto endpoint =
        ParseEndpoint(ReadText(json, "address").value_or(""), reason);
    if (!endpoint) return Refuse("a daemon: " + reason.message(), list);
    list.daemons.push_back(*endpoint);
  } else if (role.empty()) {
    Refuse("an entry is not an object with a role", list);
  }
}

}  // namespace

std::optional<InstanceList> ParseInstanceList(std::string_view text,
                                              LastReason& reason) {
  const Json json = Json::parse(text, nullptr, false);
  const bool has_list = json.is_object() && json.contains("instances") &&
                        json["instances"].is_array();
  if (!has_list) {
    reason.Set(ResultCode::kMalformedJson,
               "the list is not a JSON object with instances");
    return std::nullopt;
  }
  InstanceList list;
  for (const auto& instance : json["instances"]) AddInstance(instance, list);
  return list;
}

}  // namespace wisteriayoke
