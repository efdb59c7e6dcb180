#include "wire/mirror_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisteriayoke {

TEST_CASE("a page of a mirrored table is read as it was written") {
  const MirrorChanges page{
      .head = {0, 7},
      .position = {0, 9},
      .whole = true,
      .rows = {{"a", std::string(100'000, 'x'), {0, 7}, false},
               {"b", "", {0, 3}, true}}};
  LastReason reason;
  const auto read = ParseMirrorPage(EncodeMirrorPage(page), reason);
  REQUIRE_MESSAGE(read.has_value(), reason.message());
  CHECK(*read == page);
  const auto empty = ParseMirrorPage(EncodeMirrorPage({}), reason);
  REQUIRE(empty.has_value());
  CHECK(empty->rows.empty());
}

TEST_CASE("a damaged page is refused") {
  const std::string bytes = EncodeMirrorPage(
      {.head = {0, 7}, .rows = {{"a", "value", {0, 7}, false}}});
  const bool held = rc::check("damaged pages", [&bytes] {
    std::string damaged = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    damaged[at] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>()) damaged.resize(at);
    LastReason reason;
    const auto read = ParseMirrorPage(damaged, reason);
    if (damaged.size() < bytes.size()) RC_ASSERT_FALSE(read.has_value());
  });
  CHECK(held);
}

TEST_CASE("targets of mirrored tables are parsed") {
  const MirrorTarget wanted{MirroredTable::kEntries, {2, 120}};
  CHECK(FormatMirrorTarget(wanted) == "/rows/entries/2.120");
  const auto read = ParseMirrorTarget("/rows/entries/2.120");
  REQUIRE(read.has_value());
  CHECK(read->table == MirroredTable::kEntries);
  CHECK(read->after == StoreVersion(2, 120));
  for (const char* target :
       {"/rows/", "/rows/entries", "/rows/others/2.1", "/rows/tables/x",
        "/rows/tables/1", "/rows/tables/1.", "/rows/tables/.1",
        "/rows/tables/1.-1", "/rows/tables/1.1x", "/tables/1.1"}) {
    CHECK_FALSE(ParseMirrorTarget(target).has_value());
  }
}

}  // namespace wisteriayoke
