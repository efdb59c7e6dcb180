#include "ctl/table_diff.h"

#include <doctest/doctest.h>

namespace wisteriayoke {
namespace {

TableSpec MakeSpec() {
  TableSpec spec;
  spec.workspaces.push_back({WorkspaceName("volta"), 1});
  spec.workspaces.push_back({WorkspaceName("chama"), 2});
  return spec;
}

}  // namespace

TEST_CASE("reordered entries don't differ") {
  TableSpec moved = MakeSpec();
  std::swap(moved.workspaces[0], moved.workspaces[1]);
  CHECK(DiffTables(MakeSpec(), moved).empty());
}

TEST_CASE("a difference names the entry and both values") {
  TableSpec changed = MakeSpec();
  changed.workspaces[1].weight = 5;
  const auto rows = DiffTables(MakeSpec(), changed);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].kind == DiffKind::kChanged);
  CHECK(rows[0].path == "workspaces/chama/weight");
  CHECK(rows[0].before == "2");
  CHECK(rows[0].after == "5");
}

TEST_CASE("removed and added entries are reported field by field") {
  TableSpec fewer = MakeSpec();
  fewer.workspaces.pop_back();
  const auto removed = DiffTables(MakeSpec(), fewer);
  REQUIRE(removed.size() == 2);
  CHECK(removed[0].kind == DiffKind::kRemoved);
  CHECK(DiffTables(fewer, MakeSpec())[0].kind == DiffKind::kAdded);
}

}  // namespace wisteriayoke
