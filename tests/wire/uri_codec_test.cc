#include "wire/uri_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisteriayoke {

TEST_CASE("texts are encoded for paths and queries") {
  using std::string_literals::operator""s;
  CHECK(PercentEncode("i-1._~AZ09") == "i-1._~AZ09");
  CHECK(PercentEncode("a b&c+d#e%f\r\n\0/?=\xc3\xbc"s) ==
        "a%20b%26c%2Bd%23e%25f%0D%0A%00%2F%3F%3D%C3%BC");
  CHECK(PercentEncodePath("a/b c") == "a/b%20c");
  CHECK(PercentDecode("a+b%2B%00") == "a+b+\0"s);
  for (const char* bad : {"%", "%0", "%zz"}) {
    CHECK_FALSE(PercentDecode(bad).has_value());
  }
}

TEST_CASE("targets are decoded as servers do") {
  const auto target = ParseRequestTarget("/a%20b/c?From=x%2By+z&To=");
  REQUIRE(target.has_value());
  CHECK(target->path == "/a b/c");
  CHECK(target->parameters.at("From") == "x+y z");
  CHECK(target->parameters.at("To").empty());
  for (const char* bad : {"", "a", "/a b", "/a#b", "/a?b=%", "/a?b=\r\n"}) {
    CAPTURE(bad);
    CHECK_FALSE(ParseRequestTarget(bad).has_value());
  }
  CHECK(rc::check("any text is unchanged by a query and a path", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    const auto parsed = ParseRequestTarget("/x/" + PercentEncode(text) +
                                           "?From=" + PercentEncode(text));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->path == "/x/" + text);
    RC_ASSERT(parsed->parameters.at("From") == text);
    RC_ASSERT(PercentDecode(PercentEncodePath(text)) == text);
  }));
}

}  // namespace wisteriayoke
