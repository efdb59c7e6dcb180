#ifndef WISTERIAYOKE_TESTS_RELAY_RELAY_FIXTURE_H_
#define WISTERIAYOKE_TESTS_RELAY_RELAY_FIXTURE_H_

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/relay_tables_codec.h"
#include "supervisor/relay/relay_front_end.h"
#include "support/daemon_fixture.h"

namespace wisteriayoke {

inline constexpr auto kRelayDocument = R"({"Version":1,"Routes":[
  {"Name":"read","Host":"h","Prefix":"/read/","Kind":"idempotent",
   "Service":"s","MaxAttempts":2,"TimeoutMs":800,"TargetLatencyMs":300},
  {"Name":"hold","Host":"h","Prefix":"/hold/","Kind":"non_idempotent",
   "Service":"s","MaxAttempts":1,"TimeoutMs":400},
  {"Name":"open","Host":"h","Prefix":"/open/","Kind":"idempotent",
   "Service":"s","AllowAnonymous":true},
  {"Name":"tale","Host":"h","Prefix":"/tale/","Kind":"streaming",
   "Service":"w","MaxAttempts":2,"TimeoutMs":5000,"TargetLatencyMs":500,
   "StreamResume":true}],
 "Services":[{"Name":"s"},{"Name":"w","Engine":{"KvTokenBytes":1000,
   "Layers":8,"LayerMb":10.0,"Models":[{"Name":"m"}],
   "Kinds":[{"Name":"big","Mb":1000.0,"pace":1.0}]}}],
 "Tenants":[{"Name":"volta","ApiKeys":["k1"]}]})";

using CallerPtr = std::shared_ptr<HttpServerSession>;

inline HttpResponse MakeSealed(const HttpRequest& request, int status,
                               std::string body) {
  return {
      {status,
       {{"Attempt-Id", std::string(FindField(request.fields, "Attempt-Id"))},
        {"Response-Seal", "seal"}}},
      std::move(body)};
}

inline HttpResponse MakeDeclined() {
  return {{503, {{"Not-Executed", "1"}}}, ""};
}

inline std::string MakeEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

/// A relay and its upstreams, whose answers the test gives: two plain ones and
/// two engines, each with all layers.
struct RelayFixture : DaemonFixture {
  std::vector<HttpRequest> seen;
  /// Handlers of the next requests at any upstream, used in order.
  std::vector<std::function<void(const HttpRequest&, const CallerPtr&)>>
      answers;
  LoopTimerPtr timer;  ///< Timer of a delayed answer.
  std::string report = R"({"Sequence":1})";
  std::vector<CallerPtr> unanswered;  ///< Polls that are left open.
  bool answers_polls = true;
  FakeServer first{loop, TestPorts::kUpstream,
                   [this](const HttpRequest& request, const CallerPtr& caller) {
                     Handle(request, caller);
                   }};
  FakeServer others{
      loop, TestPorts::kPeers,
      [this](const HttpRequest& request, const CallerPtr& caller) {
        Handle(request, caller);
      }};
  std::shared_ptr<RelayFrontEnd> front =
      std::make_shared<RelayFrontEnd>(Context(), [](const LastReason&) {});

  RelayFixture() {
    state.quarantine = Quarantine(DaemonName("d1"), {.crashes = 3});
    LastReason reason;
    auto spec = ParseRelaySpec(kRelayDocument, reason);
    REQUIRE_MESSAGE(spec.has_value(), reason.message());
    state.relay.tables = std::make_shared<const RelayTables>(*spec);
    state.relay.fleet_known = true;
    state.relay.freshness.RecordProof(loop.BootNow());
    AddUpstream("s-1", "s", {}, TestPorts::kPeers);
    AddUpstream("s-2", "s", {}, TestPorts::kPeers);
    AddUpstream("w-1", "w", {0, 8}, TestPorts::kUpstream);
    AddUpstream("w-2", "w", {0, 8}, TestPorts::kPeers);
    REQUIRE(front->Start(reason));
  }
  ~RelayFixture() { front->TerminateSessions(); }

  void Handle(const HttpRequest& request, const CallerPtr& caller) {
    if (request.target == "/-/report") {
      if (!answers_polls) return unanswered.push_back(caller);
      return caller->Respond({{200, {}}, report});
    }
    seen.push_back(request);
    if (answers.empty()) {
      return caller->Respond(MakeSealed(request, 200, "whole"));
    }
    const auto answer = answers.front();
    answers.erase(answers.begin());
    answer(request, caller);
  }

  void AddUpstream(const char* name, const char* pool, const LayerRange& layers,
                   std::uint16_t port) {
    state.relay.fleet.Apply({.upstream = {.name = UpstreamName(name),
                                          .endpoint = LocalEndpoint(port),
                                          .data_centre = DataCentreName("a"),
                                          .accelerator = "big",
                                          .layers = layers},
                             .pool = PoolName(pool)});
  }

  /// Puts a new version of the tables in force, changed by `change`.
  void ChangeSpec(const std::function<void(RelaySpec&)>& change) {
    RelaySpec spec = state.relay.tables->spec();
    ++spec.version;
    change(spec);
    state.relay.tables = std::make_shared<const RelayTables>(spec);
  }

  HttpRequest MakeRequest(const std::string& target, const std::string& key) {
    HttpRequest request{
        .method = "POST",
        .target = target,
        .fields = {
            {"Host", "h"}, {"Attempt-Id", "a1"}, {"Deadline-Ms", "5000"}}};
    if (!key.empty()) {
      request.fields.push_back({"Authorization", "Bearer " + key});
    }
    return request;
  }

  FetchResult Call(const std::string& target, const std::string& key = "k1") {
    return Fetch(TestPorts::kFront, MakeRequest(target, key));
  }

  int StatusOf(const std::string& target, const std::string& key = "k1") {
    return Call(target, key).response.head.status;
  }
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_RELAY_RELAY_FIXTURE_H_
