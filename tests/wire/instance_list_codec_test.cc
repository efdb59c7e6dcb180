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
  for (const auto* text : {"", "[]", "{}", R"({"instances":[1]})",
                           R"({"instances":[{"role":"upstream"}]})"}) {
    CHECK_FALSE(ParseInstanceList(text, reason).has_value());
    CHECK(reason.code() == ResultCode::kMalformedJson);
  }
}

}  // namespace wisteriayoke
