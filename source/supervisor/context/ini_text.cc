#include "supervisor/context/ini_text.h"

#include <ini.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <sstream>

namespace wisteriayoke {
namespace {

int CollectAssignment(void* user, const char* section, const char* name,
                      const char* value) {
  static_cast<std::vector<IniAssignment>*>(user)->push_back(
      {section, name, value, 0});
  return 1;
}

std::string Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return "";
  const std::size_t last = text.find_last_not_of(" \t\r");
  return std::string(text.substr(first, last - first + 1));
}

/// Returns the number of the line that sets `name` in `section`, from 1; 0 if
/// there is none. The INI parser of this platform doesn't report it.
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

}  // namespace

std::optional<std::vector<IniAssignment>> ParseIni(const std::string& ini,
                                                   LastReason& reason) {
  std::vector<IniAssignment> assignments;
  const int bad_line =
      ini_parse_string(ini.c_str(), CollectAssignment, &assignments);
  if (bad_line != 0) {
    reason.Set(ResultCode::kSettingInvalid,
               "line " + std::to_string(bad_line) + " is not valid INI.");
    return std::nullopt;
  }
  for (auto& assignment : assignments) {
    assignment.line = FindLine(ini, assignment.section, assignment.name);
  }
  return assignments;
}

void ExplainUnknownSetting(const IniAssignment& assignment,
                           const std::vector<std::string>& known,
                           LastReason& reason) {
  const std::string name = assignment.FullName();
  const auto nearest =
      std::min_element(known.begin(), known.end(),
                       [&name](const std::string& a, const std::string& b) {
                         return EditDistance(name, a) < EditDistance(name, b);
                       });
  reason.Set(ResultCode::kSettingUnknown,
             "line " + std::to_string(assignment.line) +
                 ": unknown setting \"" + name + "\"; did you mean \"" +
                 *nearest + "\"?");
}

std::optional<std::string> ReadTextFile(const std::string& path,
                                        LastReason& reason) {
  std::ifstream file(path);
  if (!file) {
    reason.Set(ResultCode::kFileUnreadable, "can't read \"" + path + "\".");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    if (!Trim(item).empty()) items.push_back(Trim(item));
  }
  return items;
}

}  // namespace wisteriayoke
