#include "supervisor/tables/table_manager.h"

#include <doctest/doctest.h>

#include "support/daemon_fixture.h"

namespace wisteriayoke {
namespace {

/// A table manager with a store that the test controls.
struct ManagerFixture : DaemonFixture {
  FakeTableStore store;
  FakeServer server = store.Serve(loop);
  std::shared_ptr<TableServiceClient> platform =
      std::make_shared<TableServiceClient>(Context(), [](const LastReason&) {});
  int changes = 0;
  std::shared_ptr<TableManager> manager = Make();

  std::shared_ptr<TableManager> Make() {
    return std::make_shared<TableManager>(
        Context(), [this] { return platform; }, [] { return nullptr; },
        [this] { ++changes; }, [](const LastReason&) {});
  }

  void Start() {
    LastReason reason;
    REQUIRE(manager->Start(reason));
  }

  ~ManagerFixture() {
    manager->Stop([] {});
  }

  bool Recorded(EventKind kind) const {
    for (const auto& event : state.timeline.events()) {
      if (event.kind == kind) return true;
    }
    return false;
  }
};

}  // namespace

TEST_CASE_FIXTURE(ManagerFixture,
                  "the tables that the head names are put in force") {
  store.Set(1, MakeTestTables());
  Start();
  RunUntil([this] { return state.version.number == 1; });
  CHECK(state.ready());
  CHECK(changes == 1);
  store.Set(2, MakeTestTables() + " ");
  RunUntil([this] { return state.version.number == 2; });
  CHECK(changes == 2);
}

TEST_CASE_FIXTURE(ManagerFixture, "damaged content is refused and recorded") {
  store.Set(1, MakeTestTables());
  store.damaged = true;
  Start();
  RunUntil([this] { return Recorded(EventKind::kTablesRefused); });
  CHECK_FALSE(state.ready());
}

TEST_CASE_FIXTURE(ManagerFixture,
                  "tables with a broken reference are refused") {
  store.Set(1, MakeTestTables());
  Start();
  RunUntil([this] { return state.version.number == 1; });
  store.Set(2, R"({"routes":[{"name":"r","prefix":"/","pool":"none"}]})");
  RunUntil([this] { return Recorded(EventKind::kTablesRefused); });
  CHECK(state.version.number == 1);
}

TEST_CASE_FIXTURE(ManagerFixture,
                  "a restarted manager never puts an older version in force") {
  store.Set(2, MakeTestTables());
  Start();
  RunUntil([this] { return state.version.number == 2; });
  manager->Stop([] {});
  manager = Make();
  store.Set(1, MakeTestTables() + " ");
  Start();
  int polls = 0;
  RunUntil([&polls] { return ++polls > 60; });
  CHECK(state.version.number == 2);
  store.Set(3, MakeTestTables() + "  ");
  RunUntil([this] { return state.version.number == 3; });
}

}  // namespace wisteriayoke
