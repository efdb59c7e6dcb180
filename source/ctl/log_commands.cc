#include "ctl/log_commands.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "ctl/saved_log.h"
#include "supervisor/context/ini_text.h"

namespace wisteriayoke {
namespace {

std::vector<LogLine> ParseLog(const std::string& text) {
  std::vector<LogLine> lines;
  std::istringstream stream(text);
  for (std::string row; std::getline(stream, row);) {
    if (auto line = ParseLogLine(row)) lines.push_back(std::move(*line));
  }
  return lines;
}

/// Describes each result code in the lines of `request` itself.
std::string DescribeCodes(const std::vector<LogLine>& lines,
                          const std::string& request) {
  std::set<int> codes;
  for (const auto& line : lines) {
    if (line.FieldOf("request") != request) continue;
    codes.insert(std::atoi(line.FieldOf("code").c_str()));
  }
  std::string text;
  for (const auto& row : ResultCodeTable()) {
    if (row.code == ResultCode::kOk) continue;
    if (!codes.contains(static_cast<int>(row.code))) continue;
    text += "code " + std::to_string(static_cast<int>(row.code)) + " is " +
            std::string(row.name) + " (" +
            std::string(kOutcomeNames.NameOf(row.outcome)) + ").\n";
  }
  return text;
}

}  // namespace

CommandResult ExplainFromLog(const CtlOptions& options) {
  CommandResult result;
  const std::string& request = options.operands[0];
  const auto text = ReadTextFile(options.operands[1], result.reason);
  if (!text) return result;
  const auto selected = SelectExplanation(ParseLog(*text), request);
  if (options.json) {
    auto rows = nlohmann::json::array();
    for (const auto& line : selected) rows.push_back(line.fields);
    result.output =
        rows.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
        "\n";
  } else {
    for (const auto& line : selected) result.output += line.text + "\n";
    result.output += DescribeCodes(selected, request);
  }
  if (selected.empty()) {
    result.note = "no line of \"" + options.operands[1] + "\" names \"" +
                  request +
                  "\": it ran without an incident, or another daemon's log has "
                  "it; give the logs of all daemons in one file";
  }
  return result;
}

}  // namespace wisteriayoke
