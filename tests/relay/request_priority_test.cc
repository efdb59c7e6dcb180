#include <doctest/doctest.h>

#include "relay/relay_fixture.h"

namespace wisteriayoke {
namespace {

/// Sends a request with an urgency of its own and returns the one that the
/// upstream got.
std::string FindUrgency(RelayFixture& fixture) {
  HttpRequest request = fixture.MakeRequest("/tale/1", "k1");
  request.fields.push_back({"Request-Urgency", "7"});
  fixture.seen.clear();
  fixture.answers = {[](const HttpRequest& sent, const CallerPtr& caller) {
    caller->StartStream(MakeSealed(sent, 200, "").head);
    caller->WriteChunk(MakeEvent(1));
    caller->EndStream();
  }};
  fixture.Fetch(TestPorts::kFront, request);
  REQUIRE(fixture.seen.size() == 1);
  return std::string(FindField(fixture.seen[0].fields, "Request-Urgency"));
}

}  // namespace

// Guards against a caller that ranks itself, and against a header on
// deployments that rank no request.
TEST_CASE_FIXTURE(RelayFixture,
                  "the rank reaches the upstream, the caller's own doesn't") {
  CHECK(FindUrgency(*this) == "7");
  ChangeSpec([](RelaySpec& spec) {
    RelayRoute urgent = spec.routes.back();
    urgent.path_prefix = "/urgent/";
    urgent.priority = 0;
    spec.routes.back().priority = 2;
    spec.routes.push_back(urgent);
  });
  CHECK(FindUrgency(*this) == "1");
}

}  // namespace wisteriayoke
