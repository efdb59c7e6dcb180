#include "ctl/store_client.h"

#include "ctl/blocking_http.h"
#include "wire/digest.h"
#include "wire/store_codec.h"

namespace wisteriayoke {
namespace {

StoreRecord ToRecord(const std::optional<HttpResponse>& response) {
  if (!response) return {.code = ResultCode::kStoreUnreachable};
  return {.code = ResultCodeOfStoreStatus(response->head.status),
          .value = response->body,
          .version = ReadRecordVersion(response->head.fields)};
}

}  // namespace

StoreRecord StoreClient::ReadRecord(const std::string& key) {
  LastReason ignored;
  return ToRecord(FetchBlocking(endpoint_, {.target = RecordTarget(key)},
                                timeout_, ignored));
}

StoreRecord StoreClient::WriteRecord(const std::string& key,
                                     const std::string& value,
                                     std::uint64_t expected) {
  LastReason ignored;
  return ToRecord(
      FetchBlocking(endpoint_,
                    {.method = "PUT",
                     .target = RecordTarget(key),
                     .fields = {{"Expected-Version", std::to_string(expected)}},
                     .body = value},
                    timeout_, ignored));
}

std::optional<std::string> StoreClient::ReadObject(const std::string& hash,
                                                   LastReason& reason) {
  auto response = FetchBlocking(endpoint_, {.target = ObjectTarget(hash)},
                                timeout_, reason);
  if (!response) {
    reason.Set(ResultCode::kStoreUnreachable, reason.message());
    return std::nullopt;
  }
  const ResultCode code = ResultCodeOfStoreStatus(response->head.status);
  if (code != ResultCode::kOk) {
    reason.Set(code,
               "the object store returned no content for hash " + hash + ".");
    return std::nullopt;
  }
  if (ComputeDigest(response->body) != hash) {
    reason.Set(ResultCode::kTableHashMismatch,
               "the content stored under hash " + hash + " does not match it.");
    return std::nullopt;
  }
  return std::move(response->body);
}

ResultCode StoreClient::WriteObject(const std::string& hash,
                                    const std::string& content) {
  LastReason ignored;
  const auto response = FetchBlocking(
      endpoint_,
      {.method = "PUT", .target = ObjectTarget(hash), .body = content},
      timeout_, ignored);
  return response ? ResultCodeOfStoreStatus(response->head.status)
                  : ResultCode::kStoreUnreachable;
}

}  // namespace wisteriayoke
