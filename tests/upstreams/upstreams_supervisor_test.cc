#include "supervisor/upstreams/upstreams_supervisor.h"

#include <doctest/doctest.h>

#include "support/daemon_fixture.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

TableSetPtr MakeTables(const std::string& json) {
  LastReason reason;
  auto spec = ParseTableSpec(json, reason);
  REQUIRE(spec.has_value());
  auto tables = TableSet::Create(std::move(*spec), reason);
  REQUIRE(tables.has_value());
  return std::make_shared<const TableSet>(std::move(*tables));
}

/// The upstreams' supervisor with one upstream.
struct UpstreamsFixture : DaemonFixture {
  int health = 200;
  int polls = 0;
  FakeServer server{loop, TestPorts::kUpstream,
                    [this](const HttpRequest&,
                           const std::shared_ptr<HttpServerSession>& caller) {
                      ++polls;
                      caller->Respond({{health, {}}, ""});
                    }};
  LastReason escalated;
  std::shared_ptr<UpstreamsSupervisor> upstreams;
  const UpstreamName service{"service1"};

  UpstreamsFixture() {
    state.tables = MakeTables(MakeTestTables());
    upstreams = std::make_shared<UpstreamsSupervisor>(
        Context(), [this](const LastReason& why) { escalated = why; });
    LastReason reason;
    REQUIRE(upstreams->Start(reason));
  }

  UpstreamHealth Health() const {
    return state.upstreams.HealthOf(service, loop.Now());
  }

  std::vector<ChildStatus> Describe() const {
    std::vector<ChildStatus> rows;
    upstreams->DescribeChildren("", rows);
    return rows;
  }

  bool Fail(const std::string& path) {
    LastReason reason;
    reason.Set(ResultCode::kConnectionBroken, "test");
    return upstreams->FailChild(path, reason);
  }
};

}  // namespace

TEST_CASE_FIXTURE(UpstreamsFixture,
                  "a leaving upstream and its return are detected") {
  health = 503;
  RunUntil([this] { return Health() == UpstreamHealth::kLeaving; });
  health = 200;
  RunUntil([this] { return Health() == UpstreamHealth::kHealthy; });
}

TEST_CASE_FIXTURE(UpstreamsFixture,
                  "a restarted monitor keeps the upstream's state") {
  health = 503;
  RunUntil([this] { return Health() == UpstreamHealth::kLeaving; });
  CHECK(Fail("booking/service1"));
  CHECK(Health() == UpstreamHealth::kLeaving);
  const int before = polls;
  RunUntil([this, before] { return polls > before + 2; });
  CHECK(Describe()[1].path == "booking/service1");
  CHECK(Describe()[1].restarts == 1);
  CHECK_FALSE(Fail("booking/none"));
  CHECK_FALSE(Fail("none/service1"));
}

TEST_CASE_FIXTURE(UpstreamsFixture, "a failed pool supervisor is restarted") {
  CHECK(Fail("booking"));
  const int before = polls;
  RunUntil([this, before] { return polls > before + 2; });
  CHECK(Describe()[0].restarts == 1);
  CHECK(Describe()[0].running);
}

TEST_CASE_FIXTURE(UpstreamsFixture, "the children match the tables in force") {
  state.tables = MakeTables("{}");
  LastReason reason;
  REQUIRE(upstreams->ApplyTables(reason));
  CHECK(Describe().empty());
  state.tables = MakeTables(MakeTestTables());
  REQUIRE(upstreams->ApplyTables(reason));
  CHECK(Describe().size() == 2);
}

TEST_CASE_FIXTURE(UpstreamsFixture,
                  "a pool supervisor that keeps failing escalates") {
  for (int i = 0; i <= 5; ++i) Fail("booking");
  RunUntil([this] { return escalated.code() != ResultCode::kOk; });
  CHECK(escalated.code() == ResultCode::kRestartLimitReached);
  CHECK(escalated.message().find("booking") != std::string::npos);
}

}  // namespace wisteriayoke
