#include "ctl/table_source.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

#include "decisions/table_set.h"
#include "supervisor/context/ini_text.h"
#include "wire/table_codec.h"
#include "wire/table_head_codec.h"

namespace wisteriayoke {
namespace {

std::optional<TableHead> ReadHeadAt(StoreClient& store, const std::string& key,
                                    LastReason& reason) {
  const StoreRecord record = store.ReadRecord(key);
  if (record.code == ResultCode::kOk) {
    return ParseTableHeadRecord(record.value, reason);
  }
  reason.Set(record.code,
             "record \"" + key + "\" at " + store.endpoint().ToString() + ": " +
                 std::string(DescribeResultCode(record.code).name) + ".");
  return std::nullopt;
}

std::optional<std::uint64_t> ParseVersionNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

/// Returns the line of `content` with the first name that `message` quotes,
/// counted from 1; 0 if there is none.
std::size_t FindQuotedLine(const std::string& content,
                           const std::string& message) {
  const std::size_t open = message.find('"');
  const std::size_t close = message.find('"', open + 1);
  if (open == std::string::npos || close == std::string::npos) return 0;
  const std::size_t found =
      content.find(message.substr(open, close - open + 1));
  if (found == std::string::npos) return 0;
  return 1 + static_cast<std::size_t>(std::count(
                 content.begin(),
                 content.begin() + static_cast<std::ptrdiff_t>(found), '\n'));
}

}  // namespace

std::optional<TableHead> ReadHeadInForce(StoreClient& store,
                                         LastReason& reason) {
  return ReadHeadAt(store, std::string(kTableHeadKey), reason);
}

std::optional<TableHead> ReadHeadOfVersion(StoreClient& store,
                                           const std::string& name,
                                           LastReason& reason) {
  const auto number = ParseVersionNumber(name);
  if (!number) {
    reason.Set(ResultCode::kUsage, "\"" + name + "\" is not a version number.");
    return std::nullopt;
  }
  auto head = ReadHeadInForce(store, reason);
  if (!head || head->version.number == *number) return head;
  return ReadHeadAt(store, TableHistoryKey(*number), reason);
}

std::optional<std::vector<TableHead>> ReadLatestHeads(StoreClient& store,
                                                      unsigned limit,
                                                      LastReason& reason) {
  const auto head = ReadHeadInForce(store, reason);
  if (!head) return std::nullopt;
  std::vector<TableHead> heads{*head};
  for (std::uint64_t number = head->version.number - 1;
       number > 0 && heads.size() < limit; --number) {
    const auto replaced = ReadHeadAt(store, TableHistoryKey(number), reason);
    if (!replaced) return std::nullopt;
    heads.push_back(*replaced);
  }
  return heads;
}

std::optional<std::string> ReadContent(StoreClient& store,
                                       const std::string& name,
                                       LastReason& reason) {
  if (!ParseVersionNumber(name)) return ReadTextFile(name, reason);
  const auto head = ReadHeadOfVersion(store, name, reason);
  if (!head) return std::nullopt;
  return store.ReadObject(head->version.hash, reason);
}

bool CheckContent(const std::string& name, const std::string& content,
                  LastReason& reason) {
  auto spec = ParseTableSpec(content, reason);
  if (spec && TableSet::Create(std::move(*spec), reason)) return true;
  const std::size_t line = FindQuotedLine(content, reason.message());
  const std::string where =
      line == 0 ? name : name + ":" + std::to_string(line);
  reason.Set(reason.code(), where + ": " + reason.message());
  return false;
}

}  // namespace wisteriayoke
