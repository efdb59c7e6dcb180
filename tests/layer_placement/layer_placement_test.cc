#include "supervisor/layer_placement/layer_placement.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "platform/relay_tables_codec.h"
#include "support/fake_row_store_server.h"

namespace wisteriayoke {
namespace {

constexpr auto kDocument = R"({"Version":1,"Routes":[],"Services":[{"Name":"w",
  "Engine":{"KvTokenBytes":1000,"Layers":8,"LayerMb":10.0,"Models":[{"Name":"m"}],
  "Kinds":[{"Name":"big","Mb":100.0,"pace":1.0},
           {"Name":"small","Mb":60.0,"pace":1.0}]}}]})";

/// One upstream that handles orders like those of the platform: it accepts one
/// only if the expected sequence matches and no other is being executed.
struct PlacementFixture : DaemonFixture {
  FakeRowStoreServer store{loop};
  std::vector<nlohmann::json> orders;
  std::uint64_t sequence = 0;
  bool busy = false;
  FakeServer upstream{loop, TestPorts::kUpstream,
                      [this](const HttpRequest& request,
                             const std::shared_ptr<HttpServerSession>& caller) {
                        if (request.target == "/-/report") {
                          const nlohmann::json report = {{"Sequence", sequence},
                                                         {"Busy", busy}};
                          return caller->Respond({{200, {}}, report.dump()});
                        }
                        orders.push_back(nlohmann::json::parse(request.body));
                        if (orders.back()["Precondition"] != sequence || busy) {
                          return caller->Respond({{409, {}}, ""});
                        }
                        ++sequence;
                        caller->Respond({{202, {}}, ""});
                      }};
  std::shared_ptr<LayerPlacement> placement =
      std::make_shared<LayerPlacement>(Context(), [](const LastReason&) {});

  PlacementFixture() {
    LastReason reason;
    auto spec = ParseRelaySpec(kDocument, reason);
    REQUIRE_MESSAGE(spec.has_value(), reason.message());
    state.relay.tables = std::make_shared<const RelayTables>(*spec);
    state.relay.fleet_known = true;
    SetLayers({});
    REQUIRE(placement->Start(reason));
  }
  ~PlacementFixture() {
    placement->Stop([] {});
  }

  void SetLayers(const LayerRange& layers) { SetEntry("i-1", "big", layers); }
  void SetEntry(const std::string& name, const std::string& accelerator,
                const LayerRange& layers) {
    state.relay.fleet.Apply(
        {.upstream = {.name = UpstreamName(name),
                      .endpoint = LocalEndpoint(TestPorts::kUpstream),
                      .data_centre = DataCentreName("a"),
                      .accelerator = accelerator,
                      .layers = layers},
         .pool = PoolName("w"),
         .started_ms = 1});
  }
};

}  // namespace

// Guards against layers that nobody orders because the lease's holder has no
// link to any upstream.
TEST_CASE_FIXTURE(PlacementFixture,
                  "a daemon without a link to any upstream leaves the lease to "
                  "others") {
  RunUntil([this] { return orders.size() == 1; });
  const std::vector<UpstreamName> upstreams{UpstreamName("a"),
                                            UpstreamName("b")};
  for (const auto& name : upstreams) {
    state.relay.reach.RecordFailure(name, loop.Now());
  }
  state.relay.reach.Update(upstreams, loop.Now());
  REQUIRE(state.relay.reach.lost());
  const int calls = store.calls();
  const TimePoint end = loop.Now() + std::chrono::seconds(2);
  RunUntil([&] { return loop.Now() >= end; });
  CHECK(store.calls() - calls <= 1);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "the holder of the lease orders an upstream to load layers") {
  RunUntil([this] { return orders.size() == 1; });
  CHECK(orders[0]["From"] == 0);
  CHECK(orders[0]["To"] == 8);
  CHECK(orders[0]["Precondition"] == 0);
  CHECK(store.ValueOf("wisteriayoke", "placement-lease").find("d1") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(
    PlacementFixture,
    "the layers of an ejected upstream are placed again while its "
    "entry stands") {
  SetEntry("i-1", "small", {0, 3});
  SetEntry("i-2", "small", {3, 6});
  SetEntry("i-3", "small", {5, 8});
  SetEntry("i-4", "small", {2, 5});
  bool waited = false;
  const auto timer =
      loop.Schedule(std::chrono::seconds(1), [&] { waited = true; });
  RunUntil([&waited] { return waited; });
  REQUIRE(orders.empty());
  REQUIRE(state.upstreams.Eject(UpstreamName("i-1"), loop.Now()));
  RunUntil([this] { return orders.size() == 1; });
  CHECK(orders[0]["From"] == 0);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "after an order with a wrong sequence the sequence is "
                  "queried and the order repeated") {
  sequence = 4;
  RunUntil([this] { return orders.size() == 2; });
  CHECK(orders[0]["Precondition"] == 0);
  CHECK(orders[1]["Precondition"] == 4);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "a busy upstream is queried and gets no further order") {
  busy = true;
  RunUntil([this] { return orders.size() == 1; });
  bool waited = false;
  const auto timer =
      loop.Schedule(std::chrono::seconds(2), [&] { waited = true; });
  RunUntil([&waited] { return waited; });
  CHECK(orders.size() == 1);
  busy = false;
  RunUntil([this] { return orders.size() == 2; });
}

TEST_CASE("a daemon of a high rank reads the lease less often") {
  struct Fixture : DaemonFixture {
    FakeRowStoreServer store{loop};
  } fixture;
  fixture.store.set_fault(StoreFault::kRefusing);
  fixture.state.rank = 3;
  const auto placement = std::make_shared<LayerPlacement>(
      fixture.Context(), [](const LastReason&) {});
  LastReason reason;
  REQUIRE(placement->Start(reason));
  bool over = false;
  const auto timer = fixture.loop.Schedule(std::chrono::milliseconds(2500),
                                           [&] { over = true; });
  fixture.RunUntil([&over] { return over; });
  // One read at the start; the next is due after four intervals of 700 ms.
  CHECK(fixture.store.calls() == 1);
  // The daemons of lower rank have left.
  fixture.state.rank = 0;
  fixture.RunUntil([&fixture] { return fixture.store.calls() >= 3; });
  placement->Stop([] {});
}

TEST_CASE("without the lease no order is sent") {
  struct Fixture : DaemonFixture {
    FakeRowStoreServer store{loop};
  } fixture;
  fixture.store.set_fault(StoreFault::kRefusing);
  const auto placement = std::make_shared<LayerPlacement>(
      fixture.Context(), [](const LastReason&) {});
  LastReason reason;
  REQUIRE(placement->Start(reason));
  fixture.RunUntil([&fixture] { return fixture.store.calls() > 1; });
  for (const auto& event : fixture.state.timeline.events()) {
    CHECK(event.kind != EventKind::kLeaseTaken);
    CHECK(event.kind != EventKind::kOrderSent);
  }
  placement->Stop([] {});
}

}  // namespace wisteriayoke
