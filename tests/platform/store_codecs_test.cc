#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>

#include "platform/fleet_codec.h"
#include "platform/relay_tables_codec.h"
#include "platform/row_codec.h"

namespace wisteriayoke {
namespace {

constexpr auto kDocument = R"({"Version":7,"Routes":[
  {"Name":"r1","Host":"a.example","Prefix":"/lohu/","Kind":"streaming",
   "TimeoutMs":20000,"TargetLatencyMs":500,"GapAimMs":200,"Priority":1,
   "TrafficSplit":[{"Service":"w","Weight":90},{"Service":"x","Weight":10}],
   "MaxAttempts":2,"AllowAnonymous":false,"StreamResume":true},
  {"Name":"r2","Host":"a.example","Prefix":"/","Kind":"non_idempotent",
   "Service":"x","AllowAnonymous":true}],
 "Services":[{"Name":"w","Engine":{"KvTokenBytes":590000,"Layers":80,
   "LayerMb":1750.0,"ActBytes":29500,"PipeMbps":11000.0,"step_ms":0.85,
   "loads_at_once":6,"usual":{"prompt":772,"answer":174},
   "Models":[{"Name":"m"}],
   "Kinds":[{"Name":"h100","Mb":72000.0,"pace":1.4}]}},{"Name":"x"}],
 "Limits":{"MaxBodyBytes":9000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"volta","ApiKeys":["k1","k2"]}]})";

constexpr auto kEntry = R"({"Service":"w","Address":"10.1.0.9:8080",
  "Zone":"accra-a","Version":"v1","Slots":192,"State":"ready","Kind":"l4",
  "Layers":{"From":0,"To":8,"Version":1},"Sequence":4,"born":1769306965007})";

/// Returns random text made of fragments that the codecs expect.
std::string DrawText() {
  std::string text;
  const int fragments = *rc::gen::inRange(0, 14);
  for (int i = 0; i < fragments; ++i) {
    text += *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>(
            "{", "}", "[", "]", ",", ":", "\"Version\":", "\"Ver\":",
            "\"Rows\":", "\"Routes\":", "\"Value\":", "\"Key\":", "\"k\"",
            "\"Layers\":", "-1", "1e999", "7", "18446744073709551616", "null",
            "true", "\"====\"", "\"AAA\""));
  }
  return text;
}

}  // namespace

TEST_CASE("the operator's document is decoded") {
  LastReason reason;
  const auto spec = ParseRelaySpec(kDocument, reason);
  REQUIRE_MESSAGE(spec.has_value(), reason.message());
  CHECK(spec->version == 7);
  REQUIRE(spec->routes.size() == 2);
  const RelayRoute& route = spec->routes[0];
  CHECK(route.kind == RelayKind::kStreaming);
  CHECK(route.repeatable());
  CHECK(route.timeout == std::chrono::seconds(20));
  CHECK(route.max_event_gap == std::chrono::milliseconds(200));
  CHECK(route.max_attempts == 2);
  REQUIRE(route.pools.size() == 2);
  CHECK(route.pools[1].weight == 10);
  CHECK(spec->routes[1].anonymous);
  CHECK_FALSE(spec->routes[1].repeatable());
  CHECK(spec->max_body_bytes == 9000);
  REQUIRE(spec->workspaces.value().size() == 1);
  CHECK(spec->workspaces.value().at(0).keys.size() == 2);
  REQUIRE(spec->pools.size() == 2);
  CHECK_FALSE(spec->pools[1].model.has_value());
  const LayeredModel& model = spec->pools[0].model.value();
  CHECK(model.layer_count == 80);
  CHECK(model.mean_request_tokens == 946);
  CHECK(model.mean_output_tokens == 174);
  CHECK(model.accelerators.at("h100").memory_mb == 72000);
  CHECK(model.link_tokens_per_s == doctest::Approx(46610).epsilon(0.001));
}

TEST_CASE(
    "a document with an invalid route is rejected as a whole and names the "
    "route") {
  LastReason reason;
  CHECK_FALSE(ParseRelaySpec("[]", reason).has_value());
  CHECK(reason.code() == ResultCode::kTableInvalid);
  const auto bad = R"({"Version":1,"Routes":[{"Name":"r9","Host":"h",
    "Prefix":"/","Kind":"odd","Service":"x"}]})";
  CHECK_FALSE(ParseRelaySpec(bad, reason).has_value());
  CHECK(reason.message().find("r9") != std::string::npos);
}

// Guards against a list that can't be read and passes for an empty one, which
// takes away keys, routes or a split, or for an absent one, which opens routes.
TEST_CASE("a document with a list that can't be read is rejected") {
  const auto is_accepted = [](const char* list, const nlohmann::json& value) {
    auto json = nlohmann::json::parse(kDocument);
    json[nlohmann::json::json_pointer(list)] = value;
    LastReason reason;
    return ParseRelaySpec(json.dump(), reason).has_value();
  };
  for (const char* list : {"/Tenants", "/Routes", "/Services",
                           "/Tenants/0/ApiKeys", "/Routes/0/TrafficSplit"}) {
    CAPTURE(list);
    for (const char* odd : {"null", "{}", "\"k1\"", "7", "true", "[7]"}) {
      CAPTURE(odd);
      CHECK_FALSE(is_accepted(list, nlohmann::json::parse(odd)));
    }
  }
  const auto empty = nlohmann::json::array();
  CHECK(is_accepted("/Tenants", empty));
  CHECK(is_accepted("/Tenants/0/ApiKeys", empty));
  CHECK_FALSE(is_accepted("/Tenants/0/Name", ""));
  LastReason reason;
  CHECK_FALSE(ParseRelaySpec(R"({"Version":9})", reason).has_value());
}

TEST_CASE("an upstream's entry is decoded") {
  LastReason reason;
  const auto entry = ParseFleetEntry("i-7f", kEntry, reason);
  REQUIRE_MESSAGE(entry.has_value(), reason.message());
  CHECK(entry->upstream.name == UpstreamName("i-7f"));
  CHECK(entry->upstream.endpoint == Endpoint{"10.1.0.9", 8080});
  CHECK(entry->upstream.layers == LayerRange{0, 8});
  CHECK(entry->upstream.accelerator == "l4");
  CHECK(entry->pool == PoolName("w"));
  CHECK(entry->started_ms == 1769306965007);
  CHECK_FALSE(entry->draining);
}

TEST_CASE("an entry with a missing or mistyped field is rejected") {
  LastReason reason;
  for (const char* field : {"Service", "Address", "Zone", "State", "Slots"}) {
    auto json = nlohmann::json::parse(kEntry);
    json.erase(field);
    CHECK_FALSE(ParseFleetEntry("i", json.dump(), reason).has_value());
    json[field] = nlohmann::json::array();
    CHECK_FALSE(ParseFleetEntry("i", json.dump(), reason).has_value());
  }
  // Fields that an entry need not have.
  for (const char* field : {"Kind", "Layers", "born", "Sequence"}) {
    auto json = nlohmann::json::parse(kEntry);
    json.erase(field);
    CHECK(ParseFleetEntry("i", json.dump(), reason).has_value());
    json[field] = nullptr;
    CHECK(ParseFleetEntry("i", json.dump(), reason).has_value());
    json[field] = true;
    CHECK_FALSE(ParseFleetEntry("i", json.dump(), reason).has_value());
  }
  auto json = nlohmann::json::parse(kEntry);
  json["State"] = "resting";
  CHECK_FALSE(ParseFleetEntry("i", json.dump(), reason).has_value());
  CHECK_FALSE(ParseFleetEntry("i", "\xff{", reason).has_value());
  CHECK(reason.code() == ResultCode::kFieldInvalid);
}

// Guards against a request that is sent without the name of its upstream or to
// another process, and against a name that no datagram holds.
TEST_CASE("an entry to which no request can be sent is rejected") {
  using std::string_literals::operator""s;
  LastReason reason;
  CHECK(ParseFleetEntry(std::string(200, 'x'), kEntry, reason).has_value());
  CHECK(ParseFleetEntry("a b&\"\xc3\xbc", kEntry, reason).has_value());
  for (const auto& id : {""s, " a"s, "a "s, "a\tb"s, "a\r\nb"s, "a\0b"s,
                         "\x7f"s, std::string(201, 'x')}) {
    CAPTURE(id);
    CHECK_FALSE(ParseFleetEntry(id, kEntry, reason).has_value());
    CHECK(reason.code() == ResultCode::kFieldInvalid);
  }
  auto json = nlohmann::json::parse(kEntry);
  for (const auto& address :
       {"10.1.0.9:0"s, "0.0.0.0:80"s, "10.1.0.9"s, "host:80"s, "[::1]:80"s,
        "10.1.0.9:80 "s, "10.1.0.9\0:80"s, "10.1.0.9:65536"s}) {
    CAPTURE(address);
    json["Address"] = address;
    CHECK_FALSE(ParseFleetEntry("i", json.dump(), reason).has_value());
  }
  json = nlohmann::json::parse(kEntry);
  for (const auto& slots : {"0", "-1", "1.5", "4294967296", "\"8\"", "null"}) {
    json["Slots"] = nlohmann::json::parse(slots);
    CHECK_FALSE(ParseFleetEntry("i", json.dump(), reason).has_value());
  }
}

TEST_CASE("reports are decoded and orders encoded in the platform's format") {
  LastReason reason;
  const auto report = ParseReport(
      R"({"Busy":true,"Sequence":2,"Stalled":[{"Id":"x","Address":"10.1.0.2:80"}]})",
      reason);
  REQUIRE(report.has_value());
  CHECK(report->accepted_orders == 2);
  CHECK(report->loading);
  REQUIRE(report->stalled_at.size() == 1);
  const HttpRequest order = BuildLayerOrder({UpstreamName("i-1"), {20, 31}, 2});
  const auto body = nlohmann::json::parse(order.body);
  CHECK(order.target == "/-/order");
  CHECK(body["Operation"] == "place");
  CHECK(body["From"] == 20);
  CHECK(body["To"] == 31);
  CHECK(body["Precondition"] == 2);
  CHECK(ClassifyOrderStatus(202) == LayerOrderResult::kAccepted);
  CHECK(ClassifyOrderStatus(409) == LayerOrderResult::kMismatched);
  CHECK(ClassifyOrderStatus(500) == LayerOrderResult::kLost);
}

TEST_CASE("any value is unchanged by encoding and decoding") {
  CHECK(rc::check("values", [] {
    const auto value = *rc::gen::arbitrary<std::string>();
    const auto request = BuildWriteRequest({"t", "k", value, 3});
    const auto body = nlohmann::json::parse(request.body);
    RC_ASSERT(body["Precondition"][0]["Ver"] == 3);
    LastReason reason;
    const auto page = ParseRowPage(
        nlohmann::json{{"Rows", body["Writes"]}, {"Ver", 9}}.dump(), reason);
    RC_ASSERT(page.has_value());
    RC_ASSERT(page->rows.size() == 1U);
    RC_ASSERT(page->rows[0].value == value);
  }));
}

// Guards against a row that ends every daemon that reads it.
TEST_CASE("a row whose value isn't base64 spoils no other row") {
  const auto parse = [](const std::string& value) {
    LastReason reason;
    return ParseRowPage(
        R"({"Ver":2,"Rows":[{"Table":"t","Key":"a","Value":")" + value +
            R"(","Ver":1},{"Table":"t","Key":"b","Value":"b2s=","Ver":2}]})",
        reason);
  };
  for (const char* value : {"====", "A===", "===", "=", "AA=A", "A", "!!!!"}) {
    CAPTURE(std::string(value));
    const auto page = parse(value);
    REQUIRE(page.has_value());
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[0].value.empty());
    CHECK(page->rows[1].value == "ok");
  }
  CHECK(rc::check("no value crashes the codec", [&parse] {
    const auto value = *rc::gen::container<std::string>(
        rc::gen::element('A', 'b', '=', '/', '+', '0', '-'));
    const auto page = parse(value);
    RC_ASSERT(page.has_value());
    RC_ASSERT(page->rows.back().value == "ok");
  }));
}

// Guards against a row that replaces the one with its key in the empty part,
// since feeds of changes are not limited to a part.
TEST_CASE("a row of another part is skipped") {
  LastReason reason;
  const auto page = ParseRowPage(
      R"({"Ver":2,"Rows":[{"Table":"t","part":"","Key":"a","Value":"b2s="},
          {"Table":"t","part":"x","Key":"a","Value":"","Removed":true}]})",
      reason);
  REQUIRE(page.has_value());
  REQUIRE(page->rows.size() == 1);
  CHECK(page->rows[0].value == "ok");
  CHECK(page->has_skipped);
}

TEST_CASE("no input crashes the codecs") {
  CHECK(rc::check("random texts", [] {
    const std::string text = DrawText();
    LastReason reason;
    ParseRelaySpec(text, reason);
    ParseFleetEntry("i", text, reason);
    ParseReport(text, reason);
    ParseRowPage(text, reason);
  }));
}

// Guards against a priority that is read but wrong: an odd value must neither
// refuse the document nor rank a request.
TEST_CASE("priorities of routes and tenants are read, odd values ignored") {
  const auto parse = [](const std::string& value) {
    LastReason reason;
    const auto spec = ParseRelaySpec(
        R"({"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/",
            "Kind":"streaming","Service":"w","Priority":)" +
            value + R"(}],"Tenants":[{"Name":"volta","Priority":)" + value +
            "}]}",
        reason);
    REQUIRE_MESSAGE(spec.has_value(), reason.message());
    CHECK(spec->routes[0].priority == spec->workspaces.value().at(0).priority);
    return spec->routes[0].priority;
  };
  CHECK(parse("0") == 0);
  CHECK(parse("7") == 7);
  for (const char* odd : {"-1", "1.5", "\"1\"", "null", "[1]", "4294967296"}) {
    CHECK_FALSE(parse(odd).has_value());
  }
}

}  // namespace wisteriayoke
