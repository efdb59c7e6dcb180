#include "wire/table_head_codec.h"

#include <nlohmann/json.hpp>

namespace wisteriayoke {
namespace {

using Json = nlohmann::ordered_json;

}  // namespace

std::string TableHistoryKey(std::uint64_t number) {
  return "tables/history/" + std::to_string(number);
}

std::optional<TableHead> ParseTableHeadRecord(std::string_view json,
                                              LastReason& reason) {
  try {
    const Json record = Json::parse(json);
    return TableHead{.version = {record.at("version").get<std::uint64_t>(),
                                 record.at("hash").get<std::string>()},
                     .previous_hash = record.value("previous_hash", ""),
                     .edit = EditId(record.value("edit", "")),
                     .author = record.value("author", ""),
                     .time = record.value("time", "")};
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
    return std::nullopt;
  }
}

std::string FormatTableHeadRecord(const TableHead& head) {
  return Json{{"version", head.version.number},
              {"hash", head.version.hash},
              {"previous_hash", head.previous_hash},
              {"edit", head.edit.text()},
              {"author", head.author},
              {"time", head.time}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace wisteriayoke
