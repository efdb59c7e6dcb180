#include <doctest/doctest.h>

#include "base/parse_decimal.h"
#include "relay/relay_fixture.h"

namespace wisteriayoke {

TEST_CASE_FIXTURE(RelayFixture, "an answer is relayed unchanged") {
  const auto answer = Call("/read/7?x=1").response;
  CHECK(answer.head.status == 200);
  CHECK(answer.body == "whole");
  CHECK(FindField(answer.head.fields, "Response-Seal") == "seal");
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].target == "/read/7?x=1");
  CHECK(FindField(seen[0].fields, "Tenant") == "volta");
  CHECK(FindField(seen[0].fields, "Authorization").empty());
  CHECK(FindField(seen[0].fields, "Host") == "h");
}

TEST_CASE_FIXTURE(RelayFixture, "a TRACE request with a body is relayed") {
  HttpRequest request = MakeRequest("/hold/1", "k1");
  request.method = "TRACE";
  request.body = "odd";
  CHECK(Fetch(TestPorts::kFront, request).response.head.status == 200);
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].method == "TRACE");
  CHECK(seen[0].body == "odd");
}

TEST_CASE_FIXTURE(RelayFixture, "a body over the tables' limit is refused") {
  ChangeSpec([](RelaySpec& spec) { spec.max_body_bytes = 10; });
  HttpRequest request = MakeRequest("/read/1", "k1");
  request.body = "0123456789";
  CHECK(Fetch(TestPorts::kFront, request).response.head.status == 200);
  request.body += "x";
  CHECK(Fetch(TestPorts::kFront, request).response.head.status == 413);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a request that an upstream declined is sent to another") {
  answers = {[](const HttpRequest&, const CallerPtr& caller) {
    caller->Respond(MakeDeclined());
  }};
  CHECK(StatusOf("/hold/1") == 200);
  REQUIRE(seen.size() == 2);
  CHECK(FindField(seen[0].fields, "Expect-Instance") !=
        FindField(seen[1].fields, "Expect-Instance"));
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a call that may have run is neither repeated nor refused") {
  answers = {
      [](const HttpRequest&, const CallerPtr& caller) { caller->Abort(); }};
  CHECK(StatusOf("/hold/1") == 502);
  CHECK(seen.size() == 1);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a 503 without Not-Executed isn't passed on as a refusal") {
  answers = {[](const HttpRequest& request, const CallerPtr& caller) {
    caller->Respond(MakeSealed(request, 503, ""));
  }};
  CHECK(StatusOf("/hold/1") == 502);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a request that all upstreams declined is refused") {
  for (int i = 0; i < 3; ++i) {
    answers.emplace_back([](const HttpRequest&, const CallerPtr& caller) {
      caller->Respond(MakeDeclined());
    });
  }
  const auto answer = Call("/hold/1").response;
  CHECK(answer.head.status == 503);
  CHECK_FALSE(FindField(answer.head.fields, "Retry-After").empty());
}

TEST_CASE_FIXTURE(RelayFixture,
                  "only the failure of an idempotent call is retried") {
  const auto fail = [](const HttpRequest& request, const CallerPtr& caller) {
    caller->Respond(MakeSealed(request, 500, "sorry"));
  };
  answers = {fail};
  CHECK(StatusOf("/read/1") == 200);
  CHECK(seen.size() == 2);
  answers = {fail};
  const auto answer = Call("/hold/1").response;
  CHECK(answer.head.status == 500);
  CHECK(answer.body == "sorry");
}

TEST_CASE_FIXTURE(
    RelayFixture,
    "an answer without a seal or with another attempt's id is dropped") {
  answers = {[](const HttpRequest& request, const CallerPtr& caller) {
               auto answer = MakeSealed(request, 200, "other");
               answer.head.fields[0].value = "another-request";
               caller->Respond(answer);
             },
             [](const HttpRequest&, const CallerPtr& caller) {
               caller->Respond({{200, {}}, "unsealed"});
             }};
  CHECK(StatusOf("/read/1") == 502);
  CHECK(seen.size() == 2);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a request that crashed three upstreams isn't run again") {
  const std::vector<const char*> names{"s-3", "s-4", "s-5"};
  for (const char* name : {"s-1", "s-2"}) {
    state.relay.fleet.Remove(UpstreamName(name), loop.Now());
  }
  for (const char* name : names) {
    AddUpstream(name, "s", {}, TestPorts::kPeers);
    answers = {
        [](const HttpRequest&, const CallerPtr& caller) { caller->Abort(); }};
    CHECK(StatusOf("/hold/1") == 502);
    state.relay.fleet.Remove(UpstreamName(name), loop.Now());
  }
  AddUpstream("s-6", "s", {}, TestPorts::kPeers);
  CHECK(seen.size() == 3);
  CHECK(StatusOf("/hold/1") == 503);
  CHECK(seen.size() == 3);
  CHECK(StatusOf("/hold/2") == 200);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "crashes reported by peers count towards the quarantine") {
  GossipExchange::Subscription sender;
  std::vector<GossipUpdate> posted;
  sender = state.gossip.SetSender(
      [&posted](const GossipUpdate& update) { posted.push_back(update); });
  answers = {
      [](const HttpRequest&, const CallerPtr& caller) { caller->Abort(); }};
  CHECK(StatusOf("/hold/1") == 502);
  REQUIRE(posted.size() == 1);
  auto suspect = std::get<SuspectUpdate>(posted.front());
  for (const char* name : {"s-8", "s-9"}) {
    suspect.upstream = UpstreamName(name);
    state.gossip.Deliver(suspect);
  }
  CHECK(StatusOf("/hold/1") == 503);
  CHECK(seen.size() == 1);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "the retry limits bound the retries of a pool") {
  const auto fail = [](const HttpRequest& request, const CallerPtr& caller) {
    caller->Respond(MakeSealed(request, 500, "sorry"));
  };
  state.relay.retry_limits = {.share = 0.0, .max_balance = 1.0};
  state.relay.budgets.clear();
  answers = {fail};
  CHECK(StatusOf("/read/1") == 200);
  answers = {fail};
  CHECK(StatusOf("/read/2") == 500);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a call to a silent upstream ends at the route's timeout") {
  std::vector<CallerPtr> held;
  answers = {[&held](const HttpRequest&, const CallerPtr& caller) {
    held.push_back(caller);
  }};
  const TimePoint begin = loop.Now();
  CHECK(StatusOf("/hold/1") == 504);
  CHECK(loop.Now() - begin < std::chrono::milliseconds(700));
}

TEST_CASE_FIXTURE(RelayFixture,
                  "an idempotent call that hangs is sent elsewhere in time") {
  std::vector<CallerPtr> held;
  answers = {[&held](const HttpRequest&, const CallerPtr& caller) {
    held.push_back(caller);
  }};
  const TimePoint begin = loop.Now();
  CHECK(StatusOf("/read/1") == 200);
  CHECK(loop.Now() - begin < std::chrono::milliseconds(300));
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a broken stream is resumed elsewhere after its last event") {
  answers = {[](const HttpRequest& request, const CallerPtr& caller) {
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(1) + MakeEvent(2) + "id: 3\nda");
               caller->BreakStream();
             },
             [](const HttpRequest& request, const CallerPtr& caller) {
               CHECK(FindField(request.fields, "Last-Event-Id") == "2");
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(2) + MakeEvent(3));
               caller->EndStream();
             }};
  const auto result = Call("/tale/1");
  CHECK(result.code == ResultCode::kOk);
  CHECK(result.response.body == MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
  REQUIRE(seen.size() == 2);
  CHECK(FindField(seen[0].fields, "Hop-Count").ends_with("=0-8"));
}

TEST_CASE_FIXTURE(RelayFixture,
                  "the stage that declined is excluded, not the first one") {
  state.relay.fleet.Remove(UpstreamName("w-1"), loop.Now());
  state.relay.fleet.Remove(UpstreamName("w-2"), loop.Now());
  AddUpstream("w-1", "w", {0, 4}, TestPorts::kUpstream);
  AddUpstream("w-2", "w", {4, 8}, TestPorts::kPeers);
  AddUpstream("w-3", "w", {4, 8}, TestPorts::kPlatform);
  answers = {[](const HttpRequest&, const CallerPtr& caller) {
               auto declined = MakeDeclined();
               declined.head.fields.push_back(
                   {"At-Server", LocalEndpoint(TestPorts::kPeers).ToString()});
               caller->Respond(declined);
             },
             [](const HttpRequest& request, const CallerPtr& caller) {
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(1));
               caller->EndStream();
             }};
  CHECK(Call("/tale/1").response.body == MakeEvent(1));
  REQUIRE(seen.size() == 2);
  const auto path = [this](std::size_t i) {
    return std::string(FindField(seen[i].fields, "Hop-Count"));
  };
  CHECK(path(0).find(LocalEndpoint(TestPorts::kPeers).ToString()) !=
        std::string::npos);
  CHECK(path(1).find(LocalEndpoint(TestPorts::kPlatform).ToString()) !=
        std::string::npos);
  CHECK(state.upstreams.HealthOf(UpstreamName("w-2"), loop.Now()) ==
        UpstreamHealth::kEjected);
  CHECK(state.upstreams.HealthOf(UpstreamName("w-1"), loop.Now()) ==
        UpstreamHealth::kHealthy);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a stalled stream leaves an upstream that answers no poll") {
  answers_polls = false;
  // Reasons recorded up to the second attempt.
  std::vector<std::string> reasons;
  answers = {[](const HttpRequest& request, const CallerPtr& caller) {
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(1) + MakeEvent(2));
             },
             [&](const HttpRequest& request, const CallerPtr& caller) {
               for (const auto& event : state.timeline.events()) {
                 if (event.kind != EventKind::kUpstreamSuspected) continue;
                 for (const auto& field : event.fields) {
                   if (field.first == "reason") reasons.push_back(field.second);
                 }
               }
               answers_polls = true;
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(3));
               caller->EndStream();
             }};
  const FetchResult result = Call("/tale/1");
  CHECK(result.response.body == MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
  REQUIRE(seen.size() == 2);
  CHECK(FindField(seen[1].fields, "Last-Event-Id") == "2");
  // The stream moved before the poll timed out.
  CHECK(reasons == std::vector<std::string>{"no answer to a report poll"});
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a started stream waits for a path while its caller stays") {
  Duration gone = std::chrono::milliseconds(400);
  SUBCASE("for a short repair") {}
  SUBCASE("for a slow repair") { gone = std::chrono::milliseconds(2500); }
  LoopTimerPtr back;
  answers = {[&](const HttpRequest& request, const CallerPtr& caller) {
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(1));
               for (const char* name : {"w-1", "w-2"}) {
                 state.relay.fleet.Remove(UpstreamName(name), loop.Now());
               }
               back = loop.Schedule(gone, [this] {
                 AddUpstream("w-2", "w", {0, 8}, TestPorts::kPeers);
               });
               caller->BreakStream();
             },
             [](const HttpRequest& request, const CallerPtr& caller) {
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(2));
               caller->EndStream();
             }};
  const auto result = Call("/tale/1");
  CHECK(result.code == ResultCode::kOk);
  CHECK(result.response.body == MakeEvent(1) + MakeEvent(2));
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a stream that can't be resumed ends as broken") {
  const auto fail_midway = [](const HttpRequest& request,
                              const CallerPtr& caller) {
    caller->StartStream(MakeSealed(request, 200, "").head);
    caller->WriteChunk(MakeEvent(1));
    caller->BreakStream();
  };
  answers = {fail_midway, fail_midway};
  const auto result = Call("/tale/1");
  CHECK(result.code == ResultCode::kConnectionBroken);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a stalled stream leaves the stage that a report names") {
  std::vector<CallerPtr> held;
  report = R"({"Sequence":1,"Stalled":[{"Id":"a1","Address":")" +
           LocalEndpoint(TestPorts::kUpstream).ToString() + R"("}]})";
  answers = {[&held](const HttpRequest& request, const CallerPtr& caller) {
               held.push_back(caller);
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(1));
             },
             [](const HttpRequest& request, const CallerPtr& caller) {
               caller->StartStream(MakeSealed(request, 200, "").head);
               caller->WriteChunk(MakeEvent(2));
               caller->EndStream();
             }};
  const TimePoint begin = loop.Now();
  const auto result = Call("/tale/1");
  CHECK(result.response.body == MakeEvent(1) + MakeEvent(2));
  CHECK(loop.Now() - begin < std::chrono::milliseconds(900));
  CHECK(FindField(seen[1].fields, "Expect-Instance") == "w-2");
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a caller that leaves ends the attempt at the upstream") {
  bool left = false;
  std::vector<CallerPtr> held;
  answers = {[&](const HttpRequest&, const CallerPtr& caller) {
    held.push_back(caller);
    caller->set_on_closed([&left] { left = true; });
  }};
  const auto call = HttpClientCall::Start(
      loop, LocalEndpoint(TestPorts::kFront), MakeRequest("/tale/1", "k1"), {},
      [](const CallEvent&) {});
  RunUntil([&held] { return !held.empty(); });
  call->Cancel();
  RunUntil([&left] { return left; });
  CHECK(state.upstreams.StateOf(UpstreamName("w-1")).in_flight == 0);
  CHECK(state.upstreams.StateOf(UpstreamName("w-2")).in_flight == 0);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a stop serves new requests for a while, then refuses them") {
  bool stopped = false;
  state.draining = true;
  front->Stop([&stopped] { stopped = true; });
  const auto answer = Call("/read/1").response;
  CHECK(answer.head.status == 200);
  CHECK(FindField(answer.head.fields, "Connection") == "close");
  RunUntil([&stopped] { return stopped; });
  CHECK(Call("/read/1").code == ResultCode::kConnectFailed);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "an upstream that says it is leaving gets no new request") {
  std::vector<GossipUpdate> posted;
  const auto sender = state.gossip.SetSender(
      [&posted](const GossipUpdate& update) { posted.push_back(update); });
  answers = {[](const HttpRequest& request, const CallerPtr& caller) {
    auto answer = MakeSealed(request, 200, "whole");
    answer.head.fields.push_back({"Server-Leaving", "1"});
    caller->Respond(answer);
  }};
  CHECK(StatusOf("/read/1") == 200);
  for (int i = 0; i < 6; ++i) CHECK(StatusOf("/read/1") == 200);
  REQUIRE(seen.size() == 7);
  const auto leaving = FindField(seen[0].fields, "Expect-Instance");
  for (std::size_t i = 1; i < seen.size(); ++i) {
    CHECK(FindField(seen[i].fields, "Expect-Instance") != leaving);
  }
  REQUIRE(posted.size() == 1);
  CHECK(std::get<LeavingUpdate>(posted[0]).upstream.text() == leaving);
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a refusal, a failure and a report say that an upstream is "
                  "leaving as well") {
  const std::vector<HttpResponse> texts{
      {{503, {{"Not-Executed", "1"}, {"Server-Leaving", "1"}}}, ""},
      {{500, {{"Server-Leaving", "1"}}}, ""}};
  for (const auto& text : texts) {
    state.relay.fleet = Fleet();
    AddUpstream("s-1", "s", {}, TestPorts::kPeers);
    answers = {[&text](const HttpRequest&, const CallerPtr& caller) {
      caller->Respond(text);
    }};
    StatusOf("/read/1");
    CHECK(state.relay.fleet.ListAvailable(PoolName("s")).empty());
  }
}

TEST_CASE_FIXTURE(RelayFixture,
                  "a peer's word that an upstream is leaving is followed") {
  state.gossip.Deliver(LeavingUpdate{.upstream = UpstreamName("s-1")});
  for (int i = 0; i < 4; ++i) CHECK(StatusOf("/read/1") == 200);
  for (const auto& request : seen) {
    CHECK(FindField(request.fields, "Expect-Instance") == "s-2");
  }
}

TEST_CASE_FIXTURE(RelayFixture,
                  "an upstream that asks for no work gets none for that time") {
  const auto turn_away = [](const HttpRequest&, const CallerPtr& caller) {
    auto answer = MakeDeclined();
    answer.head.fields.push_back({"Retry-After", "0.4"});
    caller->Respond(answer);
  };
  answers = {turn_away};
  for (int i = 0; i < 6; ++i) CHECK(StatusOf("/read/1") == 200);
  REQUIRE(seen.size() == 7);
  const auto asked = FindField(seen[0].fields, "Expect-Instance");
  for (std::size_t i = 1; i < seen.size(); ++i) {
    CHECK(FindField(seen[i].fields, "Expect-Instance") != asked);
  }
  // Now the other asks for the same, and callers learn when to return.
  answers = {turn_away};
  const auto refused = Call("/read/1").response;
  CHECK(refused.head.status == 503);
  seen.clear();
  const auto at_once = Call("/read/1").response;
  CHECK(at_once.head.status == 503);
  CHECK(seen.empty());
  const auto delay =
      ParseDecimal(FindField(at_once.head.fields, "Retry-After"));
  REQUIRE(delay.has_value());
  CHECK(*delay >= 0.25);
  CHECK(*delay <= 0.4);
  const TimePoint until = loop.Now() + std::chrono::milliseconds(420);
  RunUntil([&] { return loop.Now() >= until; });
  CHECK(StatusOf("/read/1") == 200);
}

}  // namespace wisteriayoke
