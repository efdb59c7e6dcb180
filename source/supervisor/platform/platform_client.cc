#include "supervisor/platform/platform_client.h"

#include <charconv>
#include <utility>

namespace wisteriayoke {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);
constexpr std::string_view kVersionField = "Record-Version";
constexpr std::string_view kExpectedField = "Expected-Version";

std::uint64_t ParseVersion(std::string_view text) {
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

ResultCode CodeOfStatus(int status) {
  switch (status) {
    case 200:
      return ResultCode::kOk;
    case 404:
      return ResultCode::kObjectMissing;
    case 409:
      return ResultCode::kStoreConflict;
    case 429:
      return ResultCode::kStoreRateLimited;
    default:
      return ResultCode::kStoreUnreachable;
  }
}

StoreReply ToReply(const FetchResult& result) {
  if (result.code != ResultCode::kOk) {
    return {.code = ResultCode::kStoreUnreachable};
  }
  const HttpResponse& response = result.response;
  return {CodeOfStatus(response.head.status), response.body,
          ParseVersion(FindField(response.head.fields, kVersionField))};
}

}  // namespace

PlatformClient::PlatformClient(DaemonContext context, FailureHandler on_failure)
    : context_(context),
      on_failure_(std::move(on_failure)),
      endpoint_(context.settings.EndpointOf(SettingKey::kPlatformAddress)) {}

bool PlatformClient::Start(LastReason& /*reason*/) { return true; }

void PlatformClient::Stop(const std::function<void()>& done) { done(); }

void PlatformClient::ReadRecord(const std::string& key, Done done) {
  Send({.method = "GET", .target = "/records/" + key}, std::move(done));
}

void PlatformClient::WriteRecord(const std::string& key,
                                 const std::string& value,
                                 std::uint64_t expected, Done done) {
  Send({.method = "PUT",
        .target = "/records/" + key,
        .fields = {{std::string(kExpectedField), std::to_string(expected)}},
        .body = value},
       std::move(done));
}

void PlatformClient::ReadObject(const std::string& hash, Done done) {
  Send({.method = "GET", .target = "/objects/" + hash}, std::move(done));
}

void PlatformClient::Send(HttpRequest request, Done done) {
  FetchWhole(context_.loop, endpoint_, std::move(request),
             {.idle_timeout = kStoreTimeout},
             [done = std::move(done)](const FetchResult& result) {
               done(ToReply(result));
             });
}

}  // namespace wisteriayoke
