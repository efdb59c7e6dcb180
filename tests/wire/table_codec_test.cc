#include "wire/table_codec.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE("tables are unchanged by formatting and parsing") {
  LastReason reason;
  const auto spec = ParseTableSpec(
      R"({"workspaces":[{"name":"w","weight":3}],
          "routes":[{"name":"r","prefix":"/","pool":"p","deadline_ms":5}],
          "pools":[{"name":"p","layers":4,"upstreams":[
            {"name":"u","address":"127.0.0.1:80","end_layer":4}]}]})",
      reason);
  REQUIRE(spec.has_value());
  const std::string text = FormatTableSpec(*spec);
  const auto again = ParseTableSpec(text, reason);
  REQUIRE(again.has_value());
  CHECK(FormatTableSpec(*again) == text);
  CHECK(again->pools[0].upstreams[0].endpoint.port == 80);
}

TEST_CASE("an unknown field is refused with its name") {
  LastReason reason;
  CHECK_FALSE(ParseTableSpec(R"({"routes":[{"nam":"r"}]})", reason));
  CHECK(reason.code() == ResultCode::kTableInvalid);
  CHECK(reason.message().find("\"nam\"") != std::string::npos);
}

TEST_CASE("a number out of range is refused with the name of its field") {
  for (const char* weight : {"-1", "4294967296", "1.5"}) {
    LastReason reason;
    const std::string json = std::string(R"({"workspaces":[{"name":"w",)") +
                             "\"weight\":" + weight + "}]}";
    CHECK_FALSE(ParseTableSpec(json, reason).has_value());
    CHECK(reason.code() == ResultCode::kTableInvalid);
    CHECK(reason.message().find("\"weight\"") != std::string::npos);
  }
}

TEST_CASE("an address must be an IPv4 address and a port") {
  LastReason reason;
  CHECK(ParseEndpoint("127.0.0.1:80", reason).has_value());
  CHECK_FALSE(ParseEndpoint("localhost:80", reason).has_value());
  CHECK_FALSE(ParseEndpoint("127.0.0.1:99999", reason).has_value());
  CHECK_FALSE(ParseEndpoint("127.0.0.1", reason).has_value());
}

// Guards against an address that continues in the head of a request.
TEST_CASE("an address with a zero byte is none") {
  using std::string_literals::operator""s;
  LastReason reason;
  CHECK(ParseEndpoint("10.0.0.1:80", reason).has_value());
  for (const auto& text :
       {"10.0.0.1\0:80"s, "10.0.0.1\0\r\nA: b:80"s, "10.0.0.1:80\0"s}) {
    CHECK_FALSE(ParseEndpoint(text, reason).has_value());
  }
}

}  // namespace wisteriayoke
