#include "wire/instance_list_codec.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE("the platform's list of instances gives upstreams and daemons") {
  LastReason reason;
  const auto list = ParseInstanceList(
      R"({"instances":[{"role":"upstream","name":"e1","state":"leaving"},
          {"role":"upstream","name":"e2","state":"live"},
          {"role":"daemon","address":"127.0.0.1:7002"},{"role":"other"}]})",
      reason);
  REQUIRE(list.has_value());
  REQUIRE(list->upstreams.size() == 2);
  CHECK(list->upstreams[0].leaving);
  CHECK_FALSE(list->upstreams[1].leaving);
  REQUIRE(list->daemons.size() == 1);
  CHECK(list->daemons[0].port == 7002);
}

TEST_CASE("a malformed list of instances is refused") {
  LastReason reason;
  for (const auto* text :
       {"", "[]", "{}", "7", R"({"instances":{}})", R"({"instances":7})"}) {
    CHECK_FALSE(ParseInstanceList(text, reason).has_value());
    CHECK(reason.code() == ResultCode::kMalformedJson);
  }
}

// Guards against an entry that hides all others of the list.
TEST_CASE("a malformed instance is refused alone") {
  LastReason reason;
  for (const auto* odd :
       {"1", "null", "[]", "{}", R"({"role":7})", R"({"role":"upstream"})",
        R"({"role":"upstream","name":["e2"]})", R"({"role":"daemon"})",
        R"({"role":"daemon","address":7})",
        R"({"role":"daemon","address":"nowhere"})"}) {
    CAPTURE(std::string(odd));
    const auto list = ParseInstanceList(
        R"({"instances":[{"role":"upstream","name":"e1","state":"leaving"},)" +
            std::string(odd) +
            R"(,{"role":"daemon","address":"127.0.0.1:7002"}]})",
        reason);
    REQUIRE(list.has_value());
    CHECK(list->upstreams.size() == 1);
    CHECK(list->daemons.size() == 1);
    CHECK(list->refused.size() == 1);
  }
  // The state of an instance is optional.
  const auto list = ParseInstanceList(
      R"({"instances":[{"role":"upstream","name":"e1","state":7}]})", reason);
  REQUIRE(list.has_value());
  CHECK(list->upstreams.size() == 1);
  CHECK(list->refused.empty());
}

}  // namespace wisteriayoke
