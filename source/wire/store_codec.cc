#include "wire/store_codec.h"

#include <charconv>

#include "wire/uri_codec.h"

namespace wisteriayoke {

std::string RecordTarget(std::string_view key) {
  return "/records/" + PercentEncodePath(key);
}

std::string ObjectTarget(std::string_view hash) {
  return "/objects/" + PercentEncode(hash);
}

std::string TableContentTarget(std::string_view hash) {
  return "/tables/" + PercentEncode(hash);
}

ResultCode ResultCodeOfStoreStatus(int status) {
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

std::uint64_t ReadRecordVersion(const HttpFields& fields) {
  const std::string_view text = FindField(fields, "Record-Version");
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

}  // namespace wisteriayoke
