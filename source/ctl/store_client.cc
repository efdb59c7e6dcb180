#include "ctl/store_client.h"

#include <charconv>

#include "ctl/blocking_http.h"
#include "wire/digest.h"

namespace wisteriayoke {
namespace {

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

StoreRecord ToRecord(const std::optional<HttpResponse>& response) {
  if (!response) return {.code = ResultCode::kStoreUnreachable};
  StoreRecord record{.code = CodeOfStatus(response->head.status),
                     .value = response->body};
  const auto text = FindField(response->head.fields, "Record-Version");
  std::from_chars(text.data(), text.data() + text.size(), record.version);
  return record;
}

}  // namespace

StoreRecord StoreClient::ReadRecord(const std::string& key) {
  LastReason ignored;
  return ToRecord(FetchBlocking(endpoint_, {.target = "/records/" + key},
                                timeout_, ignored));
}

StoreRecord StoreClient::WriteRecord(const std::string& key,
                                     const std::string& value,
                                     std::uint64_t expected) {
  LastReason ignored;
  return ToRecord(
      FetchBlocking(endpoint_,
                    {.method = "PUT",
                     .target = "/records/" + key,
                     .fields = {{"Expected-Version", std::to_string(expected)}},
                     .body = value},
                    timeout_, ignored));
}

std::optional<std::string> StoreClient::ReadObject(const std::string& hash,
                                                   LastReason& reason) {
  auto response = FetchBlocking(endpoint_, {.target = "/objects/" + hash},
                                timeout_, reason);
  if (!response) {
    reason.Set(ResultCode::kStoreUnreachable, reason.message());
    return std::nullopt;
  }
  const ResultCode code = CodeOfStatus(response->head.status);
  if (code != ResultCode::kOk) {
    reason.Set(code, "the object store has no content " + hash + ".");
    return std::nullopt;
  }
  if (ComputeDigest(response->body) != hash) {
    reason.Set(ResultCode::kTableHashMismatch,
               "the content stored as " + hash + " is damaged.");
    return std::nullopt;
  }
  return std::move(response->body);
}

ResultCode StoreClient::WriteObject(const std::string& hash,
                                    const std::string& content) {
  LastReason ignored;
  const auto response = FetchBlocking(
      endpoint_,
      {.method = "PUT", .target = "/objects/" + hash, .body = content},
      timeout_, ignored);
  return response ? CodeOfStatus(response->head.status)
                  : ResultCode::kStoreUnreachable;
}

}  // namespace wisteriayoke
