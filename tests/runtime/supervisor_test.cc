#include "runtime/supervisor.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wisteriayoke {
namespace {

/// A child that records its starts and stops.
class RecordingChild {
 public:
  RecordingChild(std::string name, std::vector<std::string>& events,
                 FailureHandler on_failure)
      : name_(std::move(name)),
        events_(events),
        on_failure_(std::move(on_failure)) {}

  bool Start(LastReason& /*reason*/) {
    events_.push_back("start " + name_);
    return true;
  }
  void Stop(const std::function<void()>& done) {
    events_.push_back("stop " + name_);
    done();
  }
  void Fail() {
    LastReason reason;
    reason.Set(ResultCode::kConnectionBroken, "test");
    on_failure_(reason);
  }

 private:
  std::string name_;
  std::vector<std::string>& events_;
  FailureHandler on_failure_;
};

using Child = std::variant<std::shared_ptr<RecordingChild>>;
using TestSupervisor = Supervisor<Child>;

TestSupervisor::ChildSpec MakeSpec(const std::string& name,
                                   std::vector<std::string>& events) {
  return {.name = name,
          .intensity = {.max_restarts = 2},
          .create = [name, &events](FailureHandler on_failure) {
            return Child(std::make_shared<RecordingChild>(
                name, events, std::move(on_failure)));
          }};
}

}  // namespace

TEST_CASE("children start in the order of addition and stop in reverse order") {
  EventLoop loop;
  std::vector<std::string> events;
  TestSupervisor supervisor(
      loop, [](auto&&...) {}, [](const LastReason&) {});
  LastReason reason;
  REQUIRE(supervisor.Add(MakeSpec("a", events), reason));
  REQUIRE(supervisor.Add(MakeSpec("b", events), reason));
  supervisor.Stop([&loop] { loop.Stop(); });
  loop.Run();
  CHECK(events ==
        std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}

TEST_CASE(
    "a supervisor escalates with the child's reason if it fails too often") {
  EventLoop loop;
  std::vector<std::string> events;
  LastReason escalated;
  TestSupervisor* target = nullptr;
  TestSupervisor supervisor(
      loop,
      [&](const std::string&, RestartDecision decision, const LastReason&) {
        if (decision != RestartDecision::kRestart) return;
        loop.Post([&target] { target->Find<RecordingChild>()->Fail(); });
      },
      [&](const LastReason& reason) {
        escalated = reason;
        loop.Stop();
      });
  target = &supervisor;
  LastReason reason;
  REQUIRE(supervisor.Add(MakeSpec("a", events), reason));
  supervisor.Find<RecordingChild>()->Fail();
  loop.Run();
  CHECK(escalated.code() == ResultCode::kRestartLimitReached);
  CHECK(escalated.message().find("test") != std::string::npos);
}

}  // namespace wisteriayoke
