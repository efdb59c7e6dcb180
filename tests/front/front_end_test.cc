#include "supervisor/front/front_end.h"

#include <doctest/doctest.h>

#include <optional>
#include <utility>

#include "support/daemon_fixture.h"
#include "support/raw_server.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

/// A front end with tables and one service as its upstream.
struct FrontFixture : DaemonFixture {
  HttpRequest seen;
  std::optional<FakeServer> service{
      std::in_place, loop, TestPorts::kUpstream,
      [this](HttpRequest request,
             const std::shared_ptr<HttpServerSession>& caller) {
        seen = std::move(request);
        caller->Respond({{200, {{"Seats", "12"}}}, "twelve"});
      }};
  std::shared_ptr<FrontEnd> front = std::make_shared<FrontEnd>(
      Context(), [] { return nullptr; }, [](const LastReason&) {});

  FrontFixture() {
    LastReason reason;
    auto spec = ParseTableSpec(MakeTestTables(), reason);
    REQUIRE(spec.has_value());
    state.tables = std::make_shared<const TableSet>(
        *TableSet::Create(std::move(*spec), reason));
    REQUIRE(front->Start(reason));
  }
  ~FrontFixture() {
    bool stopped = false;
    front->Stop([&stopped] { stopped = true; });
    RunUntil([&stopped] { return stopped; });
  }

  HttpResponse Call(const std::string& target, const std::string& workspace) {
    return Fetch(TestPorts::kFront,
                 {.target = target,
                  .fields = {{"Wisteriayoke-Workspace", workspace}}})
        .response;
  }
};

std::string CodeOf(const HttpResponse& response) {
  return std::string(FindField(response.head.fields, "Wisteriayoke-Code"));
}

}  // namespace

TEST_CASE_FIXTURE(FrontFixture, "a service's answer is returned unchanged") {
  const auto answer = Call("/seats/7?day=2", "volta");
  CHECK(answer.head.status == 200);
  CHECK(answer.body == "twelve");
  CHECK(FindField(answer.head.fields, "Seats") == "12");
  CHECK(FindField(answer.head.fields, "Wisteriayoke-Outcome") == "done");
  CHECK(seen.target == "/seats/7?day=2");
  CHECK(FindField(seen.fields, "Wisteriayoke-Request") ==
        FindField(answer.head.fields, "Wisteriayoke-Request"));
}

// Guards against a service's answer with the status 000 that is passed on.
TEST_CASE_FIXTURE(FrontFixture, "a broken answer of a service is none") {
  service.reset();
  const RawServer broken(loop, LocalEndpoint(TestPorts::kUpstream),
                         "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody",
                         64);
  const auto answer = Call("/seats/7", "volta");
  CHECK(answer.head.status >= 500);
  CHECK(CodeOf(answer) != "0");
  CHECK(answer.body.find("body") == std::string::npos);
  CHECK(broken.CountRequests("GET /seats/7 ") == 1);
}

TEST_CASE_FIXTURE(FrontFixture,
                  "requests that can't be routed are refused as not run") {
  CHECK(CodeOf(Call("/seats", "nobody")) == "106");
  CHECK(CodeOf(Call("/elsewhere", "volta")) == "105");
  const auto refused = Call("/elsewhere", "\xff\xfe");
  CHECK(CodeOf(refused) == "106");
  CHECK(FindField(refused.head.fields, "Wisteriayoke-Outcome") == "not-run");
  CHECK(seen.target == "/");
}

TEST_CASE_FIXTURE(FrontFixture,
                  "readiness depends on the tables and on draining") {
  CHECK(Call("/readyz", "").head.status == 200);
  state.draining = true;
  CHECK(Call("/readyz", "").head.status == 503);
  CHECK(CodeOf(Call("/seats", "volta")) == "205");
  state.draining = false;
  state.tables = nullptr;
  CHECK(Call("/readyz", "").head.status == 503);
  CHECK(Call("/livez", "").head.status == 200);
  CHECK(CodeOf(Call("/seats", "volta")) == "207");
}

TEST_CASE_FIXTURE(FrontFixture, "answers are counted by their codes") {
  Call("/seats", "volta");
  Call("/seats", "nobody");
  const std::string page = Call("/metrics", "").body;
  CHECK(page.find("answers_total{outcome=\"done\",code=\"0\"} 1") !=
        std::string::npos);
  CHECK(page.find("answers_total{outcome=\"not-run\",code=\"106\"} 1") !=
        std::string::npos);
  CHECK(page.find("queue_wait_seconds_count 1\n") != std::string::npos);
}

}  // namespace wisteriayoke
