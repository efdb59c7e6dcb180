#include "ctl/ctl_options.h"

#include <doctest/doctest.h>

#include <set>
#include <vector>

namespace wisteriayoke {
namespace {

std::optional<CtlOptions> Parse(std::vector<const char*> words,
                                LastReason& reason) {
  words.insert(words.begin(), "wisteriayokectl");
  return ParseCtlOptions(static_cast<int>(words.size()), words.data(), reason);
}

}  // namespace

TEST_CASE("command names are unique and listed in the help") {
  std::set<std::string_view> names;
  const std::string help = DescribeCommands();
  for (const auto& row : CommandTable()) {
    CHECK(names.insert(row.name).second);
    CHECK(help.find(row.name) != std::string::npos);
    CHECK(row.min_operands <= row.max_operands);
  }
}

TEST_CASE("operands and options of a command may stand in any order") {
  LastReason reason;
  const auto options = Parse(
      {"table", "set", "--base", "7", "f.json", "-p", "127.0.0.1:80", "--json"},
      reason);
  REQUIRE(options.has_value());
  CHECK(options->command == Command::kTableSet);
  CHECK(options->operands == std::vector<std::string>{"f.json"});
  CHECK(options->base == 7);
  CHECK(options->platform->port == 80);
  CHECK(options->json);
}

TEST_CASE("usage errors name the missing option or operand") {
  LastReason reason;
  CHECK_FALSE(Parse({}, reason));
  CHECK(reason.code() == ResultCode::kUsage);
  CHECK_FALSE(Parse({"table", "get"}, reason));
  CHECK(reason.message().find("--platform") != std::string::npos);
  CHECK_FALSE(Parse({"table", "set", "f", "-p", "127.0.0.1:1"}, reason));
  CHECK(reason.message().find("--base") != std::string::npos);
  CHECK_FALSE(Parse({"explain", "-d", "127.0.0.1:1"}, reason));
  CHECK(reason.message().find("REQUEST") != std::string::npos);
  CHECK_FALSE(Parse({"status", "-d", "nowhere"}, reason));
  CHECK(reason.code() == ResultCode::kFieldInvalid);
  CHECK_FALSE(Parse({"status", "--bogus"}, reason));
  CHECK(reason.code() == ResultCode::kUsage);
}

}  // namespace wisteriayoke
