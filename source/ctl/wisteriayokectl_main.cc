#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>

#include "base/control_character.h"
#include "ctl/run_command.h"

namespace wisteriayoke {
namespace {

/// Returns `text` with blanks in place of control characters, since it may
/// quote an operand or a record.
std::string ToOneLine(std::string text) {
  std::replace_if(text.begin(), text.end(), IsControlCharacter, ' ');
  return text;
}

int ReportError(const LastReason& reason) {
  if (reason.code() == ResultCode::kOk) return 0;
  const ResultCodeInfo& info = DescribeResultCode(reason.code());
  std::fprintf(stderr, "wisteriayokectl: error %d (%s): %s %s\n",
               static_cast<int>(reason.code()), std::string(info.name).c_str(),
               ToOneLine(reason.message()).c_str(),
               std::string(info.remedy).c_str());
  return ExitStatusOf(reason.code());
}

int Main(int argc, const char** argv) {
  const std::string_view first = argc > 1 ? argv[1] : "";
  if (first == "--help" || first == "-?" || first == "help") {
    std::fputs(DescribeCommands().c_str(), stdout);
    return 0;
  }
  LastReason reason;
  const auto options = ParseCtlOptions(argc, argv, reason);
  if (!options) return ReportError(reason);
  const CommandResult result = RunCommand(*options);
  std::fwrite(result.output.data(), 1, result.output.size(), stdout);
  if (!result.note.empty()) {
    std::fprintf(stderr, "%s\n", ToOneLine(result.note).c_str());
  }
  return ReportError(result.reason);
}

}  // namespace
}  // namespace wisteriayoke

int main(int argc, const char** argv) { return wisteriayoke::Main(argc, argv); }
