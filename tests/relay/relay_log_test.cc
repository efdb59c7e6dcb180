#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>

#include "relay/relay_fixture.h"
#include "supervisor/context/metrics_page.h"

namespace wisteriayoke {
namespace {

using Fields = std::map<std::string, std::string>;

/// Returns the fields of the latest event of `kind`, with its code as "code".
std::optional<Fields> FindEvent(const DaemonState& state, EventKind kind) {
  std::optional<Fields> found;
  for (const auto& event : state.timeline.events()) {
    if (event.kind != kind) continue;
    found = Fields(event.fields.begin(), event.fields.end());
    (*found)["code"] = std::to_string(static_cast<int>(event.code));
  }
  return found;
}

void Abort(const HttpRequest& /*request*/, const CallerPtr& caller) {
  caller->Abort();
}

void Fail(const HttpRequest& request, const CallerPtr& caller) {
  caller->Respond(MakeSealed(request, 500, "sorry"));
}

}  // namespace

TEST_CASE_FIXTURE(RelayFixture, "a failed request is recorded with its path") {
  answers = {Fail};
  CHECK(StatusOf("/hold/1") == 500);
  auto fields = FindEvent(state, EventKind::kRequestFailed);
  REQUIRE(fields);
  CHECK((*fields)["request"] == "a1");
  CHECK((*fields)["route"] == "hold");
  CHECK((*fields)["pool"] == "s");
  CHECK((*fields)["attempts"] == "1");
  CHECK((*fields)["status"] == "500");
  CHECK((*fields)["path"].starts_with("s-"));
  CHECK((*fields)["tables"] == "1");
  CHECK((*fields)["code"] == "303");
}

// Guards against streams that fall silent until their caller leaves without a
// line in the log.
TEST_CASE_FIXTURE(RelayFixture,
                  "a stream that was silent when its caller left is recorded") {
  std::vector<CallerPtr> held;
  answers = {[&held](const HttpRequest& request, const CallerPtr& caller) {
    held.push_back(caller);
    caller->StartStream(MakeSealed(request, 200, "").head);
    caller->WriteChunk(MakeEvent(1));
  }};
  answers_polls = false;
  state.relay.fleet.Remove(UpstreamName("w-2"), loop.Now());
  const auto call = HttpClientCall::Start(
      loop, LocalEndpoint(TestPorts::kFront), MakeRequest("/tale/1", "k1"), {},
      [](const CallEvent&) {});
  const TimePoint leaves = loop.Now() + std::chrono::milliseconds(300);
  RunUntil([&] { return loop.Now() >= leaves; });
  call->Cancel();
  RunUntil(
      [&] { return FindEvent(state, EventKind::kRequestLate).has_value(); });
  auto fields = FindEvent(state, EventKind::kRequestLate);
  CHECK((*fields)["last_event"] == "1");
}

TEST_CASE_FIXTURE(RelayFixture, "a refused request is recorded") {
  CHECK(StatusOf("/read/1", "k9") == 401);
  auto fields = FindEvent(state, EventKind::kRequestFailed);
  REQUIRE(fields);
  CHECK((*fields)["code"] == "115");
  CHECK((*fields)["request"] == "a1");
  CHECK_FALSE((*fields)["tables_age_us"].empty());
}

TEST_CASE_FIXTURE(RelayFixture, "a retry is recorded with its reason") {
  answers = {Abort};
  CHECK(StatusOf("/read/1") == 200);
  auto retried = FindEvent(state, EventKind::kRequestRetried);
  REQUIRE(retried);
  CHECK((*retried)["request"] == "a1");
  CHECK((*retried)["code"] == "703");
  CHECK((*retried)["path"].starts_with("s-"));
  auto crashed = FindEvent(state, EventKind::kUpstreamCrashed);
  REQUIRE(crashed);
  CHECK((*crashed)["upstream"] == (*retried)["path"]);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a stream that is resumed elsewhere is recorded") {
  answers = {[](const HttpRequest& request, const CallerPtr& caller) {
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(1));
               caller->BreakStream();
             },
             [](const HttpRequest& request, const CallerPtr& caller) {
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(2));
               caller->EndStream();
             }};
  CHECK(Call("/tale/1").code == ResultCode::kOk);
  auto resumed = FindEvent(state, EventKind::kStreamResumed);
  REQUIRE(resumed);
  CHECK((*resumed)["last_event"] == "1");
  CHECK((*resumed)["code"] == "703");
  CHECK((*resumed)["path"].ends_with(":0-8"));
}

TEST_CASE_FIXTURE(RelayFixture, "a stream that a stop terminates is recorded") {
  std::vector<CallerPtr> held;
  answers = {[&held](const HttpRequest& request, const CallerPtr& caller) {
    held.push_back(caller);
    caller->StartStream(MakeSealed(request, 200, "").head);
    caller->WriteChunk(MakeEvent(1));
  }};
  timer = loop.Schedule(std::chrono::milliseconds(60),
                        [this] { front->TerminateSessions(); });
  CHECK(Call("/tale/1").code != ResultCode::kOk);
  auto fields = FindEvent(state, EventKind::kRequestFailed);
  REQUIRE(fields);
  CHECK((*fields)["code"] == "706");
  CHECK((*fields)["last_event"] == "1");
}

TEST_CASE_FIXTURE(RelayFixture, "a late answer is recorded with its latency") {
  answers = {[this](const HttpRequest& request, const CallerPtr& caller) {
    timer = loop.Schedule(std::chrono::milliseconds(600),
                          [answer = MakeSealed(request, 200, ""), caller] {
                            caller->StartStream(answer.head);
                            caller->WriteChunk(MakeEvent(1));
                            caller->EndStream();
                          });
  }};
  CHECK(Call("/tale/1").code == ResultCode::kOk);
  auto fields = FindEvent(state, EventKind::kRequestLate);
  REQUIRE(fields);
  CHECK(std::stoll((*fields)["first_event_us"]) >= 600'000);
}

TEST_CASE_FIXTURE(RelayFixture, "answers are counted by route, pool and code") {
  CHECK(StatusOf("/read/1") == 200);
  answers = {Fail};
  CHECK(StatusOf("/hold/1") == 500);
  CHECK(StatusOf("/none") == 404);
  const std::string page = BuildMetricsPage(Context()).body;
  const auto has = [&page](const std::string& line) {
    return page.find(line) != std::string::npos;
  };
  CHECK(
      has("relay_answers_total{route=\"read\",pool=\"s\",outcome=\"done\","
          "code=\"0\"} 1\n"));
  CHECK(
      has("relay_answers_total{route=\"hold\",pool=\"s\",outcome=\"unknown\","
          "code=\"303\"} 1\n"));
  CHECK(
      has("relay_answers_total{route=\"\",pool=\"\",outcome=\"not-run\","
          "code=\"105\"} 1\n"));
  CHECK(has("relay_upstreams{pool=\"w\",health=\"healthy\"} 2\n"));
  CHECK(has("retry_budget{pool=\"s\"}"));
  CHECK(has("tables_age_seconds"));
  CHECK(has("entries_age_seconds"));
}

TEST_CASE_FIXTURE(RelayFixture, "callers can't add series to the metrics") {
  const auto count = [this] {
    const std::string page = BuildMetricsPage(Context()).body;
    return std::count(page.begin(), page.end(), '\n');
  };
  CHECK(StatusOf("/none") == 404);
  CHECK(StatusOf("/read/1", "k9") == 401);
  const auto before = count();
  for (int i = 0; i < 50; ++i) {
    CHECK(StatusOf("/none/" + std::to_string(i)) == 404);
    CHECK(StatusOf("/read/1", "key" + std::to_string(i)) == 401);
  }
  CHECK(count() == before);
}

}  // namespace wisteriayoke
