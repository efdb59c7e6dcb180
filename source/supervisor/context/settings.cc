#include "supervisor/context/settings.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <numeric>
#include <sstream>

#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

/// One assignment of the file, in order.
struct Assignment {
  std::string section;
  std::string name;
  std::string value;
};

int CollectAssignment(void* user, const char* section, const char* name,
                      const char* value) {
  static_cast<std::vector<Assignment>*>(user)->push_back(
      {section, name, value});
  return 1;
}

std::string Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return "";
  const std::size_t last = text.find_last_not_of(" \t\r");
  return std::string(text.substr(first, last - first + 1));
}

/// Returns the number of the line that sets `name` in `section`, from 1. The
/// parser of this platform does not report it.
int FindLine(const std::string& ini, const std::string& section,
             const std::string& name) {
  std::istringstream lines(ini);
  std::string current;
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    const std::string text = Trim(line);
    if (text.starts_with('[')) current = text.substr(1, text.find(']') - 1);
    const std::string key = Trim(text.substr(0, text.find_first_of("=:")));
    if (current == section && key == name) return number;
  }
  return 0;
}

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0]++;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

std::string FullName(const SettingInfo& info) {
  return std::string(info.section) + "." + std::string(info.name);
}

std::string FindNearestName(const std::string& name) {
  const auto table = SettingTable();
  const auto nearest =
      std::min_element(table.begin(), table.end(),
                       [&name](const SettingInfo& a, const SettingInfo& b) {
                         return EditDistance(name, FullName(a)) <
                                EditDistance(name, FullName(b));
                       });
  return FullName(*nearest);
}

const SettingInfo* FindSetting(std::string_view section,
                               std::string_view name) {
  for (const auto& info : SettingTable()) {
    if (info.section == section && info.name == name) return &info;
  }
  return nullptr;
}

bool IsWholeNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    if (!Trim(item).empty()) items.push_back(Trim(item));
  }
  return items;
}

bool IsValid(SettingType type, const std::string& value) {
  LastReason ignored;
  switch (type) {
    case SettingType::kText:
      return !value.empty();
    case SettingType::kEndpoint:
      return ParseEndpoint(value, ignored).has_value();
    case SettingType::kEndpointList: {
      const auto items = SplitList(value);
      return std::all_of(items.begin(), items.end(),
                         [&ignored](const std::string& item) {
                           return ParseEndpoint(item, ignored).has_value();
                         });
    }
    case SettingType::kMilliseconds:
    case SettingType::kCount:
      return IsWholeNumber(value);
  }
  return false;
}

bool CheckValue(const SettingInfo& info, const std::string& value,
                LastReason& reason) {
  if (value.empty() && info.optional) return true;
  if (value.empty()) {
    reason.Set(ResultCode::kSettingMissing,
               "setting " + FullName(info) + " is missing; add it.");
    return false;
  }
  if (IsValid(info.type, value)) return true;
  reason.Set(ResultCode::kSettingInvalid,
             "setting " + FullName(info) + " = \"" + value +
                 "\" is not of the form " +
                 std::string(kSettingTypeNames.NameOf(info.type)) + ".");
  return false;
}

}  // namespace

std::optional<Settings> Settings::Create(const std::string& ini,
                                         LastReason& reason) {
  std::vector<Assignment> assignments;
  const int bad_line =
      ini_parse_string(ini.c_str(), CollectAssignment, &assignments);
  if (bad_line != 0) {
    reason.Set(ResultCode::kSettingInvalid,
               "line " + std::to_string(bad_line) + " is not INI.");
    return std::nullopt;
  }
  Settings settings;
  for (const auto& info : SettingTable()) {
    settings.values_[info.key] = std::string(info.default_value);
  }
  for (const auto& [section, name, value] : assignments) {
    const SettingInfo* info = FindSetting(section, name);
    if (info == nullptr) {
      const std::string full = section + "." + name;
      reason.Set(ResultCode::kSettingUnknown,
                 "line " + std::to_string(FindLine(ini, section, name)) +
                     ": unknown setting \"" + full + "\"; did you mean \"" +
                     FindNearestName(full) + "\"?");
      return std::nullopt;
    }
    settings.values_[info->key] = value;
  }
  for (const auto& info : SettingTable()) {
    if (!CheckValue(info, settings.values_[info.key], reason)) {
      return std::nullopt;
    }
  }
  return settings;
}

std::optional<Settings> Settings::Load(const std::string& path,
                                       LastReason& reason) {
  std::ifstream file(path);
  if (!file) {
    reason.Set(ResultCode::kFileUnreadable, "can't read \"" + path + "\".");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return Create(text.str(), reason);
}

std::uint64_t Settings::Count(SettingKey key) const {
  return std::stoull(values_.at(key));
}

Duration Settings::Milliseconds(SettingKey key) const {
  return std::chrono::milliseconds(Count(key));
}

Endpoint Settings::EndpointOf(SettingKey key) const {
  LastReason ignored;
  return ParseEndpoint(values_.at(key), ignored).value_or(Endpoint{});
}

std::vector<Endpoint> Settings::EndpointsOf(SettingKey key) const {
  std::vector<Endpoint> endpoints;
  LastReason ignored;
  for (const auto& item : SplitList(values_.at(key))) {
    if (auto endpoint = ParseEndpoint(item, ignored)) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

std::string Settings::Print() const {
  std::string text;
  std::string_view section;
  for (const auto& info : SettingTable()) {
    if (info.section != section) {
      section = info.section;
      text += "[" + std::string(section) + "]\n";
    }
    text += std::string(info.name) + " = " + values_.at(info.key) + "\n";
  }
  return text;
}

}  // namespace wisteriayoke
