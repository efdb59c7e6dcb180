#include "standins/platform_faults.h"

#include <nlohmann/json.hpp>
#include <string>

namespace wisteriayoke {
namespace {

using Json = nlohmann::json;

Duration ReadMilliseconds(const Json& json, const char* name) {
  return std::chrono::milliseconds(json.value(name, std::int64_t{0}));
}

}  // namespace

std::optional<PlatformFaults> ParsePlatformFaults(std::string_view text,
                                                  LastReason& reason) {
  try {
    const Json json = Json::parse(text);
    const auto outage =
        kOutageKindNames.Find(json.value("outage", std::string("none")));
    if (!outage) {
      reason.Set(ResultCode::kFieldInvalid,
                 "\"outage\" must be none, refuse or hang.");
      return std::nullopt;
    }
    return PlatformFaults{
        .outage = *outage,
        .delay = ReadMilliseconds(json, "delay_ms"),
        .lose_answers = json.value("lose_answers", std::uint32_t{0}),
        .stale = ReadMilliseconds(json, "stale_ms"),
        .object_delay = ReadMilliseconds(json, "object_delay_ms"),
        .instances_lag = ReadMilliseconds(json, "instances_lag_ms"),
        .rate_limit = json.value("rate_limit", std::uint32_t{0})};
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
    return std::nullopt;
  }
}

}  // namespace wisteriayoke
