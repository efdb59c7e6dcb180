#include "supervisor/instances/instance_watcher.h"

#include <doctest/doctest.h>

#include "support/daemon_fixture.h"

namespace wisteriayoke {
namespace {

const UpstreamName kEngine("engine1");

/// A watcher and a fake platform that serves the list set by the test.
struct WatcherFixture : DaemonFixture {
  std::string list = R"({"instances":[]})";
  int revision = 1;
  FakeServer server{
      loop, TestPorts::kPlatform,
      [this](const HttpRequest&,
             const std::shared_ptr<HttpServerSession>& caller) {
        caller->Respond(
            {{200, {{"Record-Version", std::to_string(revision)}}}, list});
      }};
  std::shared_ptr<TableServiceClient> platform =
      std::make_shared<TableServiceClient>(Context(), [](const LastReason&) {});
  std::shared_ptr<InstanceWatcher> watcher = Make();

  std::shared_ptr<InstanceWatcher> Make() {
    auto made = std::make_shared<InstanceWatcher>(
        Context(), [this] { return platform; }, [] { return nullptr; },
        [](const LastReason&) {});
    LastReason reason;
    REQUIRE(made->Start(reason));
    return made;
  }

  ~WatcherFixture() {
    watcher->Stop([] {});
  }

  void SetListed(const std::string& state) {
    ++revision;
    list = R"({"instances":[{"role":"upstream","name":"engine1","state":")" +
           state + R"("}]})";
  }

  bool Leaving() const { return state.upstreams.StateOf(kEngine).leaving; }
};

}  // namespace

TEST_CASE_FIXTURE(WatcherFixture,
                  "a listed leaving state survives a restart of the watcher") {
  SetListed("leaving");
  RunUntil([this] { return Leaving(); });
  watcher->Stop([] {});
  watcher = Make();
  CHECK(Leaving());
  SetListed("live");
  RunUntil([this] { return !Leaving(); });
}

TEST_CASE_FIXTURE(WatcherFixture,
                  "a peer's gossip update marks the upstream as leaving") {
  state.gossip.Deliver(LeavingUpdate{kEngine, {}});
  CHECK(Leaving());
}

TEST_CASE_FIXTURE(WatcherFixture, "a malformed list is recorded as refused") {
  ++revision;
  list = "[]";
  RunUntil([this] {
    return !state.timeline.events().empty() &&
           state.timeline.events().back().kind ==
               EventKind::kInstanceListRefused;
  });
}

}  // namespace wisteriayoke
