#include "wire/instance_list_codec.h"

#include <nlohmann/json.hpp>
#include <string>

#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kUpstreamRole = "upstream";
constexpr std::string_view kDaemonRole = "daemon";
constexpr std::string_view kLeavingState = "leaving";

void AddInstance(const Json& json, InstanceList& list) {
  const auto role = json.value("role", std::string());
  if (role == kUpstreamRole) {
    list.upstreams.push_back(
        {UpstreamName(json.at("name").get<std::string>()),
         json.value("state", std::string()) == kLeavingState});
  }
  if (role != kDaemonRole) return;
  LastReason ignored;
  const auto endpoint =
      ParseEndpoint(json.at("address").get<std::string>(), ignored);
  if (endpoint) list.daemons.push_back(*endpoint);
}

}  // namespace

std::optional<InstanceList> ParseInstanceList(std::string_view text,
                                              LastReason& reason) {
  try {
    InstanceList list;
    const Json json = Json::parse(text);
    for (const auto& instance : json.at("instances")) {
      AddInstance(instance, list);
    }
    return list;
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
    return std::nullopt;
  }
}

}  // namespace wisteriayoke
