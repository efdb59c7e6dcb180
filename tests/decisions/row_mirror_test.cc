#include "decisions/row_mirror.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace wisteriayoke {
namespace {

MirrorRow Live(const std::string& key, std::uint64_t version) {
  return {key, "v" + std::to_string(version), version, false};
}

/// The rows of the table as a daemon has them.
std::map<std::string, std::string> LiveRows(const RowMirror& mirror) {
  std::map<std::string, std::string> rows;
  for (const auto& row : mirror.ChangesAfter(0).rows) rows[row.key] = row.value;
  return rows;
}

/// A store and daemons that copy it or each other.
struct MirrorSimulation {
  std::map<std::string, MirrorRow> store;
  std::uint64_t version = 0;
  std::vector<RowMirror> mirrors = std::vector<RowMirror>(4);

  MirrorChanges ReadWhole() const {
    MirrorChanges changes{.head = version, .position = version, .whole = true};
    for (const auto& [key, row] : store) {
      if (!row.removed) changes.rows.push_back(row);
    }
    return changes;
  }
  MirrorChanges Follow(std::uint64_t after, std::uint64_t head) const {
    MirrorChanges changes{.head = head, .position = version};
    for (const auto& [key, row] : store) {
      if (row.version <= after) continue;
      changes.rows.push_back(row);
      changes.head = std::max(changes.head, row.version);
    }
    return changes;
  }
};

}  // namespace

TEST_CASE("rows are replaced by later versions only") {
  RowMirror mirror;
  // Changes without the table that they build on are of no use.
  CHECK(
      mirror.Apply({.head = 3, .position = 3, .rows = {Live("a", 3)}}).empty());
  CHECK_FALSE(mirror.complete());
  CHECK(mirror
            .Apply({.head = 4,
                    .position = 6,
                    .whole = true,
                    .rows = {Live("a", 4), Live("b", 2)}})
            .size() == 2);
  CHECK(mirror.view() == MirrorView{4, 6});
  CHECK(
      mirror.Apply({.head = 4, .position = 9, .rows = {Live("a", 3)}}).empty());
  const auto changed =
      mirror.Apply({.head = 12, .position = 12, .rows = {{"b", "", 12, true}}});
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].removed);
  CHECK(LiveRows(mirror).size() == 1);
  // A whole table from before is older than what is known.
  CHECK(mirror
            .Apply({.head = 4,
                    .position = 6,
                    .whole = true,
                    .rows = {Live("a", 4), Live("b", 2)}})
            .empty());
}

TEST_CASE("a whole table removes the rows that it lacks") {
  RowMirror mirror;
  mirror.Apply({.head = 4,
                .position = 4,
                .whole = true,
                .rows = {Live("a", 4), Live("b", 2)}});
  const auto changed = mirror.Apply(
      {.head = 4, .position = 8, .whole = true, .rows = {Live("a", 4)}});
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].key == "b");
  CHECK(changed[0].removed);
  // A daemon that was up to date before learns of it.
  CHECK(mirror.view().head > 4);
  RowMirror other;
  other.Apply({.head = 4,
               .position = 4,
               .whole = true,
               .rows = {Live("a", 4), Live("b", 2)}});
  const auto learned = other.Apply(mirror.ChangesAfter(4));
  REQUIRE(learned.size() == 1);
  CHECK(learned[0].key == "b");
  CHECK(learned[0].removed);
}

TEST_CASE("a peer's old row doesn't return once it was removed") {
  RowMirror stale;
  stale.Apply(
      {.head = 13, .position = 13, .whole = true, .rows = {Live("a", 13)}});
  RowMirror mirror;
  mirror.Apply({.head = 14, .position = 14, .whole = true});
  mirror.Apply(stale.ChangesAfter(0));
  CHECK(LiveRows(mirror).empty());
  stale.Apply(mirror.ChangesAfter(stale.view().head));
  CHECK(LiveRows(stale).empty());
}

TEST_CASE("a daemon that is too far behind gets the whole table") {
  RowMirror mirror;
  std::uint64_t version = 1;
  mirror.Apply(
      {.head = 1, .position = 1, .whole = true, .rows = {Live("stays", 1)}});
  for (std::size_t i = 0; i < RowMirror::kMaxRemovals + 10; ++i) {
    const std::string key = "k" + std::to_string(i);
    ++version;
    mirror.Apply(
        {.head = version, .position = version, .rows = {Live(key, version)}});
    ++version;
    mirror.Apply({.head = version,
                  .position = version,
                  .rows = {{key, "", version, true}}});
  }
  CHECK(mirror.ChangesAfter(2).whole);
  CHECK(mirror.ChangesAfter(2).rows.size() == 1);
  CHECK_FALSE(mirror.ChangesAfter(version - 1).whole);
}

TEST_CASE(
    "daemons that copy each other agree with the store and never go back") {
  const bool held = rc::check("mirrors", [] {
    MirrorSimulation sim;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const int kind = *rc::gen::inRange(0, 6);
      const std::size_t i = *rc::gen::inRange<std::size_t>(0, 4);
      const std::size_t j = *rc::gen::inRange<std::size_t>(0, 4);
      RowMirror& mirror = sim.mirrors[i];
      const std::uint64_t before = mirror.view().head;
      if (kind <= 1) {
        const std::string key(1, static_cast<char>('a' + j));
        ++sim.version;
        sim.store[key] = {key, "v" + std::to_string(sim.version), sim.version,
                          kind == 1};
      } else if (kind == 2) {
        mirror.Apply(sim.ReadWhole());
      } else if (kind == 3 && mirror.complete()) {
        mirror.Apply(sim.Follow(mirror.view().position, before));
      } else if (sim.mirrors[j].complete()) {
        mirror.Apply(sim.mirrors[j].ChangesAfter(mirror.view().head));
      }
      RC_ASSERT(mirror.view().head >= before);
    }
    sim.mirrors[0].Apply(sim.ReadWhole());
    std::map<std::string, std::string> expected;
    for (const auto& row : sim.ReadWhole().rows) expected[row.key] = row.value;
    for (std::size_t i = 0; i < sim.mirrors.size(); ++i) {
      const auto& first = sim.mirrors[0];
      sim.mirrors[i].Apply(first.ChangesAfter(sim.mirrors[i].view().head));
      RC_ASSERT(LiveRows(sim.mirrors[i]) == expected);
    }
  });
  CHECK(held);
}

}  // namespace wisteriayoke
