#include "supervisor/front/caller_answer.h"

#include "wire/completion_codec.h"

namespace wisteriayoke {
namespace {

constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

}  // namespace

void AddOutcomeFields(const RequestId& request, ResultCode code,
                      HttpFields& fields) {
  const ResultCodeInfo& info = DescribeResultCode(code);
  fields.push_back({"Wisteriayoke-Request", request.text()});
  fields.push_back({"Wisteriayoke-Outcome",
                    std::string(kOutcomeNames.NameOf(info.outcome))});
  fields.push_back(
      {"Wisteriayoke-Code", std::to_string(static_cast<int>(code))});
}

HttpResponse BuildErrorAnswer(const RequestId& request, ResultCode code,
                              std::string_view message, Duration retry_after) {
  HttpResponse response;
  response.head.status = DescribeResultCode(code).http_status;
  AddOutcomeFields(request, code, response.head.fields);
  if (response.head.status == kStatusTooManyRequests ||
      response.head.status == kStatusUnavailable ||
      response.head.status == kStatusGatewayTimeout) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    response.head.fields.push_back(
        {"Retry-After", std::to_string(seconds.count())});
  }
  response.head.fields.push_back({"Content-Type", "application/json"});
  response.body = EncodeErrorBody(code, message);
  return response;
}

}  // namespace wisteriayoke
