#include "decisions/row_mirror.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace wisteriayoke {
namespace {

MirrorRow Live(const std::string& key, std::uint64_t version) {
  return {key, "v" + std::to_string(version), {0, version}, false};
}

/// The rows of the table as a daemon has them.
std::map<std::string, std::string> LiveRows(const RowMirror& mirror) {
  std::map<std::string, std::string> rows;
  for (const auto& row : mirror.ChangesAfter({}).rows) {
    rows[row.key] = row.value;
  }
  return rows;
}

/// A store that may return to an older copy of itself, and daemons that copy it
/// or each other.
struct MirrorSimulation {
  std::map<std::string, MirrorRow> store;
  StoreVersion version;
  std::map<std::string, MirrorRow> copy;
  StoreVersion copy_version;
  std::vector<RowMirror> mirrors = std::vector<RowMirror>(4);

  void Write(const std::string& key, bool removed) {
    version = {version.era(), version.number() + 1};
    store[key] = {key, "v" + version.ToString(), version, removed};
  }
  void KeepCopy() {
    copy = store;
    copy_version = version;
  }
  void ReturnToCopy() {
    version = {version.era() + 1, copy_version.number()};
    store = copy;
    for (auto& [key, row] : store) {
      row.version = {version.era(), row.version.number()};
    }
    copy_version = version;
    copy = store;
  }

  /// Reads what a daemon does: the changes after its position, or the whole
  /// table where that isn't of the store's era.
  MirrorChanges ReadFor(const RowMirror& mirror) const {
    const MirrorView& view = mirror.view();
    const bool follows =
        mirror.complete() && view.position.era() == version.era();
    return follows ? Follow(view.position, view.head) : ReadWhole();
  }
  MirrorChanges ReadWhole() const {
    MirrorChanges changes{.head = version, .position = version, .whole = true};
    for (const auto& [key, row] : store) {
      if (!row.removed) changes.rows.push_back(row);
    }
    return changes;
  }
  MirrorChanges Follow(StoreVersion after, StoreVersion head) const {
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
      mirror.Apply({.head = {0, 3}, .position = {0, 3}, .rows = {Live("a", 3)}})
          .empty());
  CHECK_FALSE(mirror.complete());
  CHECK(mirror
            .Apply({.head = {0, 4},
                    .position = {0, 6},
                    .whole = true,
                    .rows = {Live("a", 4), Live("b", 2)}})
            .size() == 2);
  CHECK(mirror.view() == MirrorView{{0, 4}, {0, 6}});
  CHECK(
      mirror.Apply({.head = {0, 4}, .position = {0, 9}, .rows = {Live("a", 3)}})
          .empty());
  const auto changed = mirror.Apply({.head = {0, 12},
                                     .position = {0, 12},
                                     .rows = {{"b", "", {0, 12}, true}}});
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].removed);
  CHECK(LiveRows(mirror).size() == 1);
  // A whole table from before is older than what is known.
  CHECK(mirror
            .Apply({.head = {0, 4},
                    .position = {0, 6},
                    .whole = true,
                    .rows = {Live("a", 4), Live("b", 2)}})
            .empty());
}

TEST_CASE("a whole table removes the rows that it lacks") {
  RowMirror mirror;
  mirror.Apply({.head = {0, 4},
                .position = {0, 4},
                .whole = true,
                .rows = {Live("a", 4), Live("b", 2)}});
  const auto changed = mirror.Apply({.head = {0, 4},
                                     .position = {0, 8},
                                     .whole = true,
                                     .rows = {Live("a", 4)}});
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].key == "b");
  CHECK(changed[0].removed);
  // A daemon that was up to date before learns of it.
  CHECK(mirror.view().head > StoreVersion(0, 4));
  RowMirror other;
  other.Apply({.head = {0, 4},
               .position = {0, 4},
               .whole = true,
               .rows = {Live("a", 4), Live("b", 2)}});
  const auto learned = other.Apply(mirror.ChangesAfter({0, 4}));
  REQUIRE(learned.size() == 1);
  CHECK(learned[0].key == "b");
  CHECK(learned[0].removed);
}

TEST_CASE("a peer's old row doesn't return once it was removed") {
  RowMirror stale;
  stale.Apply({.head = {0, 13},
               .position = {0, 13},
               .whole = true,
               .rows = {Live("a", 13)}});
  RowMirror mirror;
  mirror.Apply({.head = {0, 14}, .position = {0, 14}, .whole = true});
  mirror.Apply(stale.ChangesAfter({}));
  CHECK(LiveRows(mirror).empty());
  stale.Apply(mirror.ChangesAfter(stale.view().head));
  CHECK(LiveRows(stale).empty());
}

TEST_CASE("a daemon that is too far behind gets the whole table") {
  RowMirror mirror;
  std::uint64_t version = 1;
  mirror.Apply({.head = {0, 1},
                .position = {0, 1},
                .whole = true,
                .rows = {Live("stays", 1)}});
  for (std::size_t i = 0; i < RowMirror::kMaxRemovals + 10; ++i) {
    const std::string key = "k" + std::to_string(i);
    ++version;
    mirror.Apply({.head = {0, version},
                  .position = {0, version},
                  .rows = {Live(key, version)}});
    ++version;
    mirror.Apply({.head = {0, version},
                  .position = {0, version},
                  .rows = {{key, "", {0, version}, true}}});
  }
  CHECK(mirror.ChangesAfter({0, 2}).whole);
  CHECK(mirror.ChangesAfter({0, 2}).rows.size() == 1);
  CHECK_FALSE(mirror.ChangesAfter({0, version - 1}).whole);
}

// Guards against changes that are dropped, or rows that stay, after the store
// returned to an older copy of itself and gave out versions again.
TEST_CASE("changes of a later era of the store follow on its whole table") {
  RowMirror mirror;
  mirror.Apply({.head = {1, 9},
                .position = {1, 9},
                .whole = true,
                .rows = {Live("a", 4), Live("lost", 9)}});
  const MirrorChanges change{.head = {2, 6},
                             .position = {2, 6},
                             .rows = {{"a", "new", {2, 6}, false}}};
  CHECK(mirror.Apply(change).empty());
  CHECK(mirror.view().head == StoreVersion(1, 9));
  mirror.Apply({.head = {2, 5},
                .position = {2, 5},
                .whole = true,
                .rows = {{"a", "old", {2, 4}, false}}});
  CHECK(mirror.Apply(change).size() == 1);
  CHECK(LiveRows(mirror) == std::map<std::string, std::string>{{"a", "new"}});
  // A daemon that was in the earlier era forgets what only it knew.
  RowMirror other;
  other.Apply({.head = {1, 11},
               .position = {1, 11},
               .whole = true,
               .rows = {Live("a", 4), Live("later", 11)}});
  other.Apply(mirror.ChangesAfter(other.view().head));
  CHECK(LiveRows(other) == LiveRows(mirror));
  CHECK(other.view() == mirror.view());
}

TEST_CASE(
    "daemons that copy each other agree with the store and never go back") {
  const bool held = rc::check("mirrors", [] {
    MirrorSimulation sim;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      const int kind = *rc::gen::inRange(0, 9);
      const std::size_t i = *rc::gen::inRange<std::size_t>(0, 4);
      const std::size_t j = *rc::gen::inRange<std::size_t>(0, 4);
      RowMirror& mirror = sim.mirrors[i];
      const StoreVersion before = mirror.view().head;
      if (kind <= 1) {
        sim.Write(std::string(1, static_cast<char>('a' + j)), kind == 1);
      } else if (kind == 2) {
        mirror.Apply(sim.ReadWhole());
      } else if (kind == 3) {
        mirror.Apply(sim.ReadFor(mirror));
      } else if (kind == 4) {
        mirror.RecordPosition(sim.mirrors[j].view());
      } else if (kind == 5 && j == 0) {
        sim.KeepCopy();
      } else if (kind == 6 && j == 0) {
        sim.ReturnToCopy();
      } else if (sim.mirrors[j].complete()) {
        mirror.Apply(sim.mirrors[j].ChangesAfter(mirror.view().head));
      }
      RC_ASSERT(mirror.view().head >= before);
    }
    sim.mirrors[0].Apply(sim.ReadFor(sim.mirrors[0]));
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
