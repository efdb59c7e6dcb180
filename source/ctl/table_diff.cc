#include "ctl/table_diff.h"

#include <map>
#include <nlohmann/json.hpp>

#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

using Json = nlohmann::json;
using Fields = std::map<std::string, std::string>;

/// Adds the fields below `value` to `fields` by path; list entries are keyed by
/// their "name".
void Flatten(const Json& value, const std::string& path, Fields& fields) {
  if (value.is_object()) {
    for (const auto& [name, child] : value.items()) {
      Flatten(child, path.empty() ? name : path + "/" + name, fields);
    }
  } else if (value.is_array()) {
    for (const auto& child : value) {
      Flatten(child, path + "/" + child.at("name").get<std::string>(), fields);
    }
  } else {
    fields[path] = value.dump();
  }
}

Fields FlattenTables(const TableSpec& spec) {
  Fields fields;
  Flatten(Json::parse(FormatTableSpec(spec)), "", fields);
  return fields;
}

}  // namespace

std::vector<TableDifference> DiffTables(const TableSpec& before,
                                        const TableSpec& after) {
  const Fields old_fields = FlattenTables(before);
  Fields new_fields = FlattenTables(after);
  std::map<std::string, TableDifference> differences;
  for (const auto& [path, value] : old_fields) {
    const auto found = new_fields.find(path);
    if (found == new_fields.end()) {
      differences[path] = {DiffKind::kRemoved, path, value, ""};
    } else if (found->second != value) {
      differences[path] = {DiffKind::kChanged, path, value, found->second};
    }
  }
  for (const auto& [path, value] : new_fields) {
    if (old_fields.contains(path)) continue;
    differences[path] = {DiffKind::kAdded, path, "", value};
  }
  std::vector<TableDifference> rows;
  rows.reserve(differences.size());
  for (auto& [path, row] : differences) rows.push_back(std::move(row));
  return rows;
}

std::string EncodeDifferences(const std::vector<TableDifference>& differences) {
  Json list = Json::array();
  for (const auto& row : differences) {
    list.push_back({{"kind", kDiffKindNames.NameOf(row.kind)},
                    {"path", row.path},
                    {"before", row.before},
                    {"after", row.after}});
  }
  return list.dump();
}

}  // namespace wisteriayoke
