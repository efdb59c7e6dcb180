#include "wire/order_codec.h"

#include <nlohmann/json.hpp>

namespace wisteriayoke {
namespace {

using Json = nlohmann::ordered_json;

Json StateToJson(const EngineState& state) {
  return {{"model", state.model},
          {"version", state.version},
          {"adapters", state.adapters},
          {"first_layer", state.layers.first},
          {"end_layer", state.layers.end},
          {"role", kEngineRoleNames.NameOf(state.role)}};
}

EngineState ReadState(const Json& json) {
  const auto role = kEngineRoleNames.Find(json.at("role").get<std::string>());
  if (!role) throw Json::other_error::create(0, "unknown role", nullptr);
  return {.model = json.at("model").get<std::string>(),
          .version = json.at("version").get<std::string>(),
          .adapters = json.at("adapters").get<std::vector<std::string>>(),
          .layers = {json.at("first_layer").get<std::uint32_t>(),
                     json.at("end_layer").get<std::uint32_t>()},
          .role = *role};
}

template <typename Reader>
auto Parse(std::string_view text, LastReason& reason, Reader read)
    -> std::optional<decltype(read(Json()))> {
  try {
    return read(Json::parse(text));
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeOrder(const EngineOrder& order) {
  Json json = StateToJson(order.state);
  json["fencing"] = order.fencing;
  return json.dump();
}

std::optional<EngineOrder> ParseOrder(std::string_view json,
                                      LastReason& reason) {
  return Parse(json, reason, [](const Json& order) {
    return EngineOrder{order.at("fencing").get<FencingNumber>(),
                       ReadState(order)};
  });
}

std::string EncodeEngineReport(const EngineReport& report) {
  Json json = StateToJson(report.state);
  json["ready"] = report.ready;
  return json.dump();
}

std::optional<EngineReport> ParseEngineReport(std::string_view json,
                                              LastReason& reason) {
  return Parse(json, reason, [](const Json& report) {
    return EngineReport{ReadState(report), report.at("ready").get<bool>()};
  });
}

std::string EncodeLeaseRecord(const LeaseRecord& record) {
  return Json{{"holder", record.holder.text()},
              {"token", record.token},
              {"fencing", record.fencing}}
      .dump();
}

std::optional<LeaseRecord> ParseLeaseRecord(std::string_view json,
                                            LastReason& reason) {
  return Parse(json, reason, [](const Json& record) {
    return LeaseRecord{DaemonName(record.at("holder").get<std::string>()),
                       record.at("token").get<std::string>(),
                       record.at("fencing").get<FencingNumber>()};
  });
}

}  // namespace wisteriayoke
