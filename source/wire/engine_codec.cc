#include "wire/engine_codec.h"

#include <nlohmann/json.hpp>

#include "base/overloaded.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

using Json = nlohmann::json;

Json RangesToJson(const std::vector<LayerRange>& ranges) {
  Json list = Json::array();
  for (const auto& range : ranges) list.push_back({range.first, range.end});
  return list;
}

std::vector<LayerRange> RangesFromJson(const Json& list) {
  std::vector<LayerRange> ranges;
  for (const auto& range : list) {
    ranges.push_back(
        {range.at(0).get<std::uint32_t>(), range.at(1).get<std::uint32_t>()});
  }
  return ranges;
}

Json EndpointsToJson(const std::vector<Endpoint>& endpoints) {
  Json list = Json::array();
  for (const auto& endpoint : endpoints) list.push_back(endpoint.ToString());
  return list;
}

std::vector<Endpoint> EndpointsFromJson(const Json& list) {
  std::vector<Endpoint> endpoints;
  LastReason ignored;
  for (const auto& text : list) {
    const auto endpoint = ParseEndpoint(text.get<std::string>(), ignored);
    if (endpoint) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

Json TimingsToJson(const std::vector<StageTiming>& timings) {
  Json list = Json::array();
  for (const auto& timing : timings) {
    list.push_back({timing.compute.count(), timing.link.count()});
  }
  return list;
}

std::vector<StageTiming> TimingsFromJson(const Json& list) {
  std::vector<StageTiming> timings;
  for (const auto& timing : list) {
    timings.push_back({Duration(timing.at(0).get<Duration::rep>()),
                       Duration(timing.at(1).get<Duration::rep>())});
  }
  return timings;
}

Json KvToJson(const std::vector<KvSource>& sources) {
  Json list = Json::array();
  for (const auto& source : sources) {
    Json entry = {{"origin", kKvOriginNames.NameOf(source.origin)}};
    if (source.origin == KvOrigin::kImport) {
      entry["from"] = source.from.ToString();
    }
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<KvSource> KvFromJson(const Json& list) {
  std::vector<KvSource> sources;
  LastReason ignored;
  for (const auto& entry : list) {
    const auto origin =
        kKvOriginNames.Find(entry.at("origin").get<std::string>());
    const auto from = ParseEndpoint(entry.value("from", ""), ignored);
    sources.push_back(
        {origin.value_or(KvOrigin::kRecompute), from.value_or(Endpoint{})});
  }
  return sources;
}

/// Returns the result code with `number`, or kUpstreamFailed if there is none.
ResultCode ResultCodeFromNumber(int number) {
  for (const auto& row : ResultCodeTable()) {
    if (static_cast<int>(row.code) == number) return row.code;
  }
  return ResultCode::kUpstreamFailed;
}

Json ListOrEmpty(const Json& body, const char* key) {
  return body.value(key, Json::array());
}

/// Parses `json` and converts it with `read`. Fails with kMalformedJson.
template <typename Message, typename Reader>
std::optional<Message> ParseWith(std::string_view json, LastReason& reason,
                                 Reader read) {
  try {
    return read(Json::parse(json));
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeGenerate(const GenerateRequest& request) {
  return Json{{"request", request.request.text()},
              {"attempt", request.attempt},
              {"model", request.model},
              {"prompt", request.prompt},
              {"max_tokens", request.max_tokens},
              {"first_token", request.first_token},
              {"prefix", request.prefix},
              {"next_stages", EndpointsToJson(request.next_stages)},
              {"kv", KvToJson(request.kv)},
              {"time_left_us", request.time_left.count()}}
      .dump();
}

std::optional<GenerateRequest> ParseGenerate(std::string_view json,
                                             LastReason& reason) {
  return ParseWith<GenerateRequest>(json, reason, [](const Json& body) {
    GenerateRequest request;
    request.request = RequestId(body.at("request").get<std::string>());
    request.attempt = body.at("attempt").get<AttemptNumber>();
    request.model = body.value("model", "");
    request.prompt = body.at("prompt").get<std::string>();
    request.max_tokens = body.at("max_tokens").get<std::uint32_t>();
    request.first_token = body.value("first_token", TokenIndex{0});
    request.prefix = body.value("prefix", std::vector<std::string>{});
    request.next_stages = EndpointsFromJson(body.at("next_stages"));
    request.kv = KvFromJson(ListOrEmpty(body, "kv"));
    request.time_left =
        Duration(body.value("time_left_us", request.time_left.count()));
    return request;
  });
}

std::string EncodeForward(const ForwardRequest& request) {
  return Json{{"request", request.request.text()},
              {"attempt", request.attempt},
              {"index", request.index},
              {"passed", RangesToJson(request.passed)},
              {"timings", TimingsToJson(request.timings)},
              {"next_stages", EndpointsToJson(request.next_stages)},
              {"kv", KvToJson(request.kv)}}
      .dump();
}

std::optional<ForwardRequest> ParseForward(std::string_view json,
                                           LastReason& reason) {
  return ParseWith<ForwardRequest>(json, reason, [](const Json& body) {
    ForwardRequest request;
    request.request = RequestId(body.at("request").get<std::string>());
    request.attempt = body.at("attempt").get<AttemptNumber>();
    request.index = body.at("index").get<TokenIndex>();
    request.passed = RangesFromJson(body.at("passed"));
    request.timings = TimingsFromJson(ListOrEmpty(body, "timings"));
    request.next_stages = EndpointsFromJson(body.at("next_stages"));
    request.kv = KvFromJson(ListOrEmpty(body, "kv"));
    return request;
  });
}

std::string EncodeEngineLine(const EngineLine& line) {
  Json json = {{"request", line.request.text()}};
  std::visit(Overloaded{
                 [&json](const TokenArrived& token) {
                   json["attempt"] = token.attempt;
                   json["index"] = token.index;
                   json["text"] = token.text;
                   json["passed"] = RangesToJson(token.passed);
                   json["timings"] = TimingsToJson(token.timings);
                 },
                 [&json](const StreamEnded& end) {
                   json["attempt"] = end.attempt;
                   json["finish_reason"] = end.finish_reason;
                   json["tokens"] = end.tokens;
                 },
                 [&json](const EngineFailure& failure) {
                   json["attempt"] = failure.attempt;
                   json["culprit"] = failure.failed_address;
                   json["failure"] = failure.message;
                   json["code"] = static_cast<int>(failure.code);
                 },
             },
             line.content);
  return json.dump() + "\n";
}

std::optional<EngineLine> ParseEngineLine(std::string_view json,
                                          LastReason& reason) {
  return ParseWith<EngineLine>(json, reason, [](const Json& body) {
    EngineLine line;
    line.request = RequestId(body.at("request").get<std::string>());
    const auto attempt = body.at("attempt").get<AttemptNumber>();
    if (body.contains("failure")) {
      line.content = EngineFailure{attempt, body.value("culprit", ""),
                                   body.at("failure").get<std::string>(),
                                   ResultCodeFromNumber(body.value("code", 0))};
    } else if (body.contains("finish_reason")) {
      line.content =
          StreamEnded{attempt, body.at("finish_reason").get<std::string>(),
                      body.at("tokens").get<TokenIndex>()};
    } else {
      line.content = TokenArrived{
          attempt, body.at("index").get<TokenIndex>(),
          body.at("text").get<std::string>(), RangesFromJson(body.at("passed")),
          TimingsFromJson(ListOrEmpty(body, "timings"))};
    }
    return line;
  });
}

}  // namespace wisteriayoke
