#include "base/result_code.h"

#include <doctest/doctest.h>

#include <set>
#include <string_view>

namespace wisteriayoke {

TEST_CASE(
    "result codes are in ascending order, each with a unique name and a "
    "remedy") {
  std::set<std::string_view> names;
  int previous = -1;
  for (const auto& row : ResultCodeTable()) {
    CHECK(static_cast<int>(row.code) > previous);
    previous = static_cast<int>(row.code);
    CHECK(names.insert(row.name).second);
    CHECK_FALSE(row.remedy.empty());
    CHECK(&DescribeResultCode(row.code) == &row);
  }
}

TEST_CASE("the exit status is the group of the result code") {
  CHECK(ExitStatusOf(ResultCode::kOk) == 0);
  CHECK(ExitStatusOf(ResultCode::kTableConflict) == 4);
  CHECK(ExitStatusOf(ResultCode::kSettingUnknown) == 6);
}

}  // namespace wisteriayoke
