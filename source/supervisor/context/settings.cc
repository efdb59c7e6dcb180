#include "supervisor/context/settings.h"

#include <algorithm>
#include <charconv>

#include "base/parse_decimal.h"
#include "supervisor/context/ini_text.h"
#include "supervisor/context/log.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

std::string FullName(const SettingInfo& info) {
  return std::string(info.section) + "." + std::string(info.name);
}

std::vector<std::string> ListFullNames() {
  std::vector<std::string> names;
  for (const auto& info : SettingTable()) names.push_back(FullName(info));
  return names;
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

bool IsValid(SettingType type, const std::string& value) {
  LastReason ignored;
  switch (type) {
    case SettingType::kText:
      return !value.empty();
    case SettingType::kLevel:
      return kLogLevelNames.Find(value).has_value();
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
    case SettingType::kDecimal:
      return ParseDecimal(value).has_value();
    case SettingType::kInterface:
      return kFrontInterfaceNames.Find(value).has_value();
    case SettingType::kCostRoutingMode:
      return kCostRoutingNames.Find(value).has_value();
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
  const auto assignments = ParseIni(ini, reason);
  if (!assignments) return std::nullopt;
  Settings settings;
  for (const auto& info : SettingTable()) {
    settings.values_[info.key] = std::string(info.default_value);
  }
  for (const auto& assignment : *assignments) {
    const SettingInfo* info = FindSetting(assignment.section, assignment.name);
    if (info == nullptr) {
      ExplainUnknownSetting(assignment, ListFullNames(), reason);
      return std::nullopt;
    }
    settings.values_[info->key] = assignment.value;
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
  const auto text = ReadTextFile(path, reason);
  if (!text) return std::nullopt;
  return Create(*text, reason);
}

FrontInterface Settings::Interface() const {
  return kFrontInterfaceNames.Find(Text(SettingKey::kFrontInterface))
      .value_or(FrontInterface::kCompletions);
}

CostRouting Settings::CostRoutingMode() const {
  return kCostRoutingNames.Find(Text(SettingKey::kCostRouting))
      .value_or(CostRouting::kOff);
}

double Settings::Decimal(SettingKey key) const {
  return ParseDecimal(values_.at(key)).value_or(0);
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
