#include "supervisor/context/operators_codec.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE("a daemon's status survives a round trip") {
  DaemonStatus status;
  status.name = DaemonName("daemon1");
  status.version = {3, "hash"};
  status.ready = true;
  status.follow = FollowStatus{true, 1500, "daemon2", 7, 9};
  status.children.push_back({"upstreams/assistant", true, 2});
  status.upstreams.push_back({UpstreamName("engine1"), PoolName("assistant"),
                              UpstreamHealth::kLeaving, 4});
  LastReason reason;
  const std::string text = EncodeDaemonStatus(status);
  const auto parsed = ParseDaemonStatus(text, reason);
  REQUIRE(parsed.has_value());
  CHECK(EncodeDaemonStatus(*parsed) == text);
  REQUIRE(parsed->follow.has_value());
  CHECK(parsed->follow->proof_source == "daemon2");
  CHECK(parsed->follow->proof_age_us == 1500);
  CHECK(parsed->children[0].restarts == 2);
  CHECK(parsed->upstreams[0].health == UpstreamHealth::kLeaving);
}

TEST_CASE("a timeline survives a round trip, even with invalid UTF-8") {
  const DaemonTimeline timeline{
      DaemonName("daemon1"),
      {{{17, 2},
        EventKind::kAttemptBroke,
        ResultCode::kTimedOut,
        {{"request", "r1"}}},
       {{18, 0}, EventKind::kEnded, ResultCode::kOk, {{"reason", "\xff"}}}}};
  LastReason reason;
  const auto parsed =
      ParseDaemonTimeline(EncodeDaemonTimeline(timeline), reason);
  REQUIRE(parsed.has_value());
  REQUIRE(parsed->events.size() == 2);
  CHECK(parsed->events[0].time == HybridTime{17, 2});
  CHECK(parsed->events[0].kind == EventKind::kAttemptBroke);
  CHECK(parsed->events[0].code == ResultCode::kTimedOut);
  CHECK(parsed->events[0].fields == timeline.events[0].fields);
}

TEST_CASE("an incomplete status or timeline is rejected") {
  LastReason reason;
  CHECK_FALSE(ParseDaemonStatus(R"({"name":"d"})", reason));
  CHECK(reason.code() == ResultCode::kMalformedJson);
  CHECK_FALSE(ParseDaemonTimeline("[1", reason));
}

}  // namespace wisteriayoke
