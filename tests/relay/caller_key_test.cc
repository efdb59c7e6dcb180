#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "relay/relay_fixture.h"

namespace wisteriayoke {

/// A relay whose callers send keys on a route that requires none.
struct OptionalKeyFixture : RelayFixture {
  /// Returns the status of a request with the field Authorization, or without
  /// one if `authorization` is empty.
  int StatusWith(const std::string& authorization) {
    HttpRequest request = MakeRequest("/open/1", "");
    request.fields.push_back({"Tenant", "forged"});
    if (!authorization.empty()) {
      request.fields.push_back({"Authorization", authorization});
    }
    return Fetch(TestPorts::kFront, request).response.head.status;
  }

  /// Puts tables in force in which the workspace has another key.
  void ReplaceKey(const std::string& key) {
    ChangeSpec([&key](RelaySpec& spec) {
      spec.workspaces.value().at(0).keys = {key};
    });
  }

  /// Puts the document in force with the value `tenants` as its list of
  /// workspaces, or without that list if `tenants` is empty.
  void PutTenants(const std::string& tenants) {
    auto document = nlohmann::json::parse(kRelayDocument);
    document.erase("Tenants");
    if (!tenants.empty()) {
      document["Tenants"] = nlohmann::json::parse(tenants);
    }
    LastReason reason;
    auto spec = ParseRelaySpec(document.dump(), reason);
    REQUIRE_MESSAGE(spec.has_value(), reason.message());
    state.relay.tables = std::make_shared<const RelayTables>(std::move(*spec));
  }

  std::string WorkspaceSeen() const {
    return std::string(FindField(seen.back().fields, "Tenant"));
  }
};

TEST_CASE_FIXTURE(RelayFixture, "unknown routes and keys are refused") {
  CHECK(StatusOf("/none") == 404);
  CHECK(StatusOf("/read/1", "k9") == 401);
  CHECK(StatusOf("/read/1", "") == 401);
  CHECK(StatusOf("/open/1", "") == 200);
  CHECK(seen.size() == 1);
}

TEST_CASE_FIXTURE(
    RelayFixture,
    "with stale tables all but anonymous routes are temporarily refused") {
  state.relay.freshness =
      Freshness({.revocation = std::chrono::milliseconds(1)});
  CHECK(StatusOf("/read/1") == 503);
  CHECK(StatusOf("/read/1", "k9") == 503);
  CHECK(StatusOf("/none") == 503);
  CHECK(StatusOf("/open/1", "") == 200);
  CHECK(seen.size() == 1);
}

// Guards against a revoked key that still runs requests on a route that
// requires no key.
TEST_CASE_FIXTURE(OptionalKeyFixture,
                  "a revoked key is refused on an anonymous route as well") {
  CHECK(StatusWith("Bearer k1") == 200);
  ReplaceKey("k2");
  SUBCASE("the same spelling") { CHECK(StatusWith("Bearer k1") == 401); }
  SUBCASE("another case of the scheme") {
    CHECK(StatusWith("bearer k1") == 401);
  }
  SUBCASE("more space after the scheme") {
    CHECK(StatusWith("Bearer  k1") == 401);
  }
  CHECK(seen.size() == 1);
  CHECK(StatusWith("Bearer k2") == 200);
}

TEST_CASE_FIXTURE(OptionalKeyFixture,
                  "an anonymous route takes requests without a key, and those "
                  "of a workspace in its name") {
  CHECK(StatusWith("") == 200);
  CHECK(WorkspaceSeen().empty());
  CHECK(StatusWith("Basic k1") == 200);
  CHECK(WorkspaceSeen().empty());
  CHECK(StatusWith("Bearer k1") == 200);
  CHECK(WorkspaceSeen() == "volta");
  CHECK(StatusWith("Bearer k9") == 401);
  CHECK(seen.size() == 3);
}

TEST_CASE_FIXTURE(
    OptionalKeyFixture,
    "with stale tables an anonymous route refuses keys temporarily") {
  state.relay.freshness =
      Freshness({.revocation = std::chrono::milliseconds(1)});
  CHECK(StatusWith("Bearer k1") == 503);
  CHECK(StatusWith("Bearer k9") == 503);
  CHECK(StatusWith("") == 200);
  CHECK(seen.size() == 1);
}

// Guards against a list of workspaces that became empty and opens all routes,
// and against an empty key, which every caller without a key would hold.
TEST_CASE_FIXTURE(OptionalKeyFixture,
                  "without the last workspace its key and all others are "
                  "refused") {
  for (const char* tenants : {"[]", R"([{"Name":"volta","ApiKeys":[""]}])"}) {
    PutTenants(tenants);
    for (const char* key : {"k1", "k9", ""}) {
      CHECK(StatusOf("/read/1", key) == 401);
    }
    CHECK(StatusWith("Bearer k1") == 401);
  }
  CHECK(seen.empty());
  CHECK(StatusWith("") == 200);
}

// Guards against tables without workspaces that stay in force while a later
// version takes a key away: the age of the tables wasn't looked at.
TEST_CASE_FIXTURE(OptionalKeyFixture,
                  "tables without workspaces take any key while they are "
                  "fresh, and callers without one always") {
  PutTenants("");
  CHECK(StatusOf("/read/1", "k9") == 200);
  CHECK(WorkspaceSeen().empty());
  CHECK(StatusOf("/read/1", "") == 200);
  state.relay.freshness =
      Freshness({.revocation = std::chrono::milliseconds(1)});
  CHECK(StatusOf("/read/1", "k9") == 503);
  CHECK(StatusOf("/read/1", "") == 200);
}

}  // namespace wisteriayoke
