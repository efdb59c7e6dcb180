#include "base/names_table.h"

#include <doctest/doctest.h>

#include "base/outcome.h"

namespace wisteriayoke {

TEST_CASE("a names table maps each value to its name and back") {
  for (const auto& row : kOutcomeNames.rows()) {
    CHECK(kOutcomeNames.NameOf(row.value) == row.name);
    CHECK(kOutcomeNames.Find(row.name) == row.value);
  }
  CHECK_FALSE(kOutcomeNames.Find("no-such-name").has_value());
}

}  // namespace wisteriayoke
