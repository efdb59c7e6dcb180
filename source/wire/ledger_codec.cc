#include "wire/ledger_codec.h"

#include <nlohmann/json.hpp>

#include "wire/http_encode.h"
#include "wire/http_response_parser.h"

namespace wisteriayoke {
namespace {

using Json = nlohmann::ordered_json;

/// Limits on reading a kept answer, well above any limit on keeping one.
constexpr HttpLimits kKeptAnswerLimits{.header_bytes = 1024 * 1024,
                                       .body_bytes = 64 * 1024 * 1024};

LedgerRecord ReadRecord(const Json& json) {
  const auto state =
      kLedgerStateNames.Find(json.at("state").get<std::string>());
  if (!state) throw Json::other_error::create(0, "unknown state", nullptr);
  return {
      .state = *state,
      .claim = ClaimId(json.at("claim").get<std::string>()),
      .daemon = DaemonName(json.at("daemon").get<std::string>()),
      .request = RequestId(json.at("request").get<std::string>()),
      .digest = json.at("digest").get<std::string>(),
      .send_number = json.at("send").get<std::uint32_t>(),
      .claimed_at = WallTime(json.at("claimed_at_ms").get<std::int64_t>()),
      .finish_limit = WallTime(json.at("finish_limit_ms").get<std::int64_t>()),
      .answer_kept = json.at("answer_kept").get<bool>()};
}

}  // namespace

std::string EncodeLedgerRecord(const LedgerRecord& record) {
  const Json json = {{"state", kLedgerStateNames.NameOf(record.state)},
                     {"claim", record.claim.text()},
                     {"daemon", record.daemon.text()},
                     {"request", record.request.text()},
                     {"digest", record.digest},
                     {"send", record.send_number},
                     {"claimed_at_ms", record.claimed_at.count()},
                     {"finish_limit_ms", record.finish_limit.count()},
                     {"answer_kept", record.answer_kept}};
  return json.dump() + "\n" + record.answer;
}

std::optional<LedgerRecord> ParseLedgerRecord(std::string_view text,
                                              LastReason& reason) {
  const std::size_t end = text.find('\n');
  if (end == std::string_view::npos) {
    reason.Set(ResultCode::kMalformedJson,
               "the ledger record has no line of JSON");
    return std::nullopt;
  }
  try {
    LedgerRecord record = ReadRecord(Json::parse(text.substr(0, end)));
    record.answer = std::string(text.substr(end + 1));
    return record;
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
    return std::nullopt;
  }
}

std::string EncodeKeptAnswer(const HttpResponse& response) {
  HttpResponse kept;
  kept.head.status = response.head.status;
  for (const auto& field : response.head.fields) {
    if (!IsHopByHop(field.name)) kept.head.fields.push_back(field);
  }
  kept.body = response.body;
  return EncodeResponse(kept, true);
}

std::optional<HttpResponse> ParseKeptAnswer(std::string_view text,
                                            LastReason& reason) {
  HttpResponseParser parser(kKeptAnswerLimits);
  if (!parser.Push(text, reason)) return std::nullopt;
  if (!parser.done()) {
    reason.Set(ResultCode::kMalformedHttp, "the kept answer is not whole");
    return std::nullopt;
  }
  HttpResponse response;
  for (const auto& field : parser.Head().fields) {
    if (!IsHopByHop(field.name)) response.head.fields.push_back(field);
  }
  response.head.status = parser.Head().status;
  response.body = parser.TakeBody();
  return response;
}

}  // namespace wisteriayoke
