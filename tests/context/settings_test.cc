#include "supervisor/context/settings.h"

#include <doctest/doctest.h>

#include <string>

namespace wisteriayoke {
namespace {

const std::string kComplete =
    "[daemon]\nname = d1\ndata_centre = accra-1\n"
    "[front]\naddress = 127.0.0.1:1\n[operators]\naddress = 127.0.0.1:2\n"
    "[peers]\naddress = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n";

}  // namespace

TEST_CASE("an unknown setting is refused with its line and the nearest name") {
  LastReason reason;
  CHECK_FALSE(Settings::Create(kComplete + "head_pol_ms = 5\n", reason));
  CHECK(reason.code() == ResultCode::kSettingUnknown);
  CHECK(reason.message().find("line 12") != std::string::npos);
  CHECK(reason.message().find("platform.head_poll_ms") != std::string::npos);
}

TEST_CASE("a missing or malformed setting is refused by name") {
  LastReason reason;
  CHECK_FALSE(Settings::Create("[daemon]\nname = d1\n", reason));
  CHECK(reason.code() == ResultCode::kSettingMissing);
  CHECK_FALSE(Settings::Create(kComplete + "head_poll_ms = soon\n", reason));
  CHECK(reason.code() == ResultCode::kSettingInvalid);
  CHECK(reason.message().find("platform.head_poll_ms") != std::string::npos);
}

TEST_CASE("printed settings parse to the same settings") {
  LastReason reason;
  const auto settings = Settings::Create(kComplete, reason);
  REQUIRE(settings.has_value());
  const auto again = Settings::Create(settings->Print(), reason);
  REQUIRE(again.has_value());
  CHECK(again->Print() == settings->Print());
}

}  // namespace wisteriayoke
