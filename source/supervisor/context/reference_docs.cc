#include "supervisor/context/reference_docs.h"

#include <string_view>

#include "base/result_group.h"
#include "supervisor/context/setting_key.h"

namespace wisteriayoke {
namespace {

/// Escapes `text` for a cell of a Markdown table.
std::string Cell(std::string_view text) {
  std::string cell;
  for (const char c : text) {
    if (c == '|') cell += '\\';
    cell += c;
  }
  return cell;
}

std::string DescribeDefault(const SettingInfo& info) {
  if (!info.default_value.empty()) {
    return "`" + std::string(info.default_value) + "`";
  }
  return info.optional ? "none" : "required";
}

std::string SettingRow(const SettingInfo& info) {
  return "| `" + std::string(info.name) + "` | " +
         Cell(kSettingTypeNames.NameOf(info.type)) + " | " +
         DescribeDefault(info) + " | " + Cell(info.help) + " |\n";
}

std::string CodeRow(const ResultCodeInfo& info) {
  return "| " + std::to_string(static_cast<int>(info.code)) + " | `" +
         std::string(info.name) + "` | " + std::to_string(info.http_status) +
         " | " + std::string(kOutcomeNames.NameOf(info.outcome)) + " | " +
         Cell(info.remedy) + " |\n";
}

std::string GroupTitle(ResultGroup group) {
  const std::string name(kResultGroupNames.NameOf(group));
  const std::string digit = std::to_string(static_cast<int>(group));
  if (group == ResultGroup::kOk) return "\n## Group 0: ok\n";
  return "\n## Group " + digit + ": " + name + "\n\nSee [errors/" + name +
         ".md](errors/" + name + ".md).\n";
}

}  // namespace

std::string DescribeSettings() {
  std::string text =
      "# Settings\n\n"
      "The daemon reads one INI file, given by `--config`. This page is what\n"
      "`wisteriayoked --help-settings` prints. `--check-config` checks a file\n"
      "and names the first wrong line; `--print-config` prints all settings\n"
      "with their defaults filled in.\n";
  std::string_view section;
  for (const auto& info : SettingTable()) {
    if (info.section != section) {
      section = info.section;
      text += "\n## [" + std::string(section) +
              "]\n\n| name | form | default | meaning |\n"
              "| --- | --- | --- | --- |\n";
    }
    text += SettingRow(info);
  }
  return text;
}

std::string DescribeResultCodes() {
  std::string text =
      "# Result codes\n\n"
      "Every answer carries its code in `Wisteriayoke-Code` and what the\n"
      "caller may conclude in `Wisteriayoke-Outcome`; log lines and events of\n"
      "the time line carry the code too. The hundreds digit is the group and\n"
      "the exit status of the programs. This page is what\n"
      "`wisteriayoked --help-codes` prints.\n";
  bool first = true;
  ResultGroup group = ResultGroup::kOk;
  for (const auto& info : ResultCodeTable()) {
    if (first || GroupOf(info.code) != group) {
      first = false;
      group = GroupOf(info.code);
      text += GroupTitle(group) +
              "\n| code | name | HTTP status | outcome | remedy |\n"
              "| --- | --- | --- | --- | --- |\n";
    }
    text += CodeRow(info);
  }
  return text;
}

}  // namespace wisteriayoke
