#include "supervisor/table_service/table_service_client.h"

#include <doctest/doctest.h>

#include "support/daemon_fixture.h"
#include "wire/uri_codec.h"

namespace wisteriayoke {
namespace {

/// A client and a fake platform that always gives `answer`.
struct PlatformFixture : DaemonFixture {
  HttpResponse answer;
  HttpRequest seen;
  FakeServer server{loop, TestPorts::kPlatform,
                    [this](HttpRequest request,
                           const std::shared_ptr<HttpServerSession>& caller) {
                      seen = std::move(request);
                      caller->Respond(answer);
                    }};
  std::shared_ptr<TableServiceClient> client =
      std::make_shared<TableServiceClient>(Context(), [](const LastReason&) {});

  StoreReply Write() {
    std::optional<StoreReply> reply;
    client->WriteRecord("k", "v", 3,
                        [&reply](StoreReply got) { reply = std::move(got); });
    RunUntil([&reply] { return reply.has_value(); });
    return *reply;
  }
};

}  // namespace

TEST_CASE_FIXTURE(PlatformFixture, "each HTTP status has its result code") {
  const auto code_of = [this](int status) {
    answer = {{status, {{"Record-Version", "4"}}}, "value"};
    return Write().code;
  };
  CHECK(code_of(200) == ResultCode::kOk);
  CHECK(code_of(404) == ResultCode::kObjectMissing);
  CHECK(code_of(409) == ResultCode::kStoreConflict);
  CHECK(code_of(429) == ResultCode::kStoreRateLimited);
  CHECK(code_of(500) == ResultCode::kStoreUnreachable);
}

TEST_CASE_FIXTURE(PlatformFixture, "a conflict returns the current record") {
  answer = {{409, {{"Record-Version", "9"}}}, "other"};
  const StoreReply reply = Write();
  CHECK(reply.version == 9);
  CHECK(reply.value == "other");
  CHECK(seen.method == "PUT");
  CHECK(seen.target == "/records/k");
  CHECK(FindField(seen.fields, "Expected-Version") == "3");
}

TEST_CASE_FIXTURE(DaemonFixture, "a call ends even if its client is replaced") {
  std::optional<StoreReply> reply;
  auto client =
      std::make_shared<TableServiceClient>(Context(), [](const LastReason&) {});
  client->ReadRecord("k", [&reply](StoreReply got) { reply = std::move(got); });
  client->Stop([] {});
  client.reset();
  RunUntil([&reply] { return reply.has_value(); });
  CHECK(reply->code == ResultCode::kStoreUnreachable);
}

// Guards against a digest, which a record of another writer may give as any
// text, that changes which object is read or breaks the request.
TEST_CASE_FIXTURE(PlatformFixture, "an odd digest names one object") {
  for (const std::string hash :
       {"a?b=c", "a#b", "a b", "a/../b", "a\r\nA: b"}) {
    CAPTURE(hash);
    answer = {{404, {}}, ""};
    seen = {};
    bool done = false;
    client->ReadObject(hash, [&done](const StoreReply&) { done = true; });
    RunUntil([&done] { return done; });
    const auto target = ParseRequestTarget(seen.target);
    REQUIRE(target.has_value());
    CHECK(target->path == "/objects/" + hash);
    CHECK(seen.target.find('/', std::string("/objects/").size()) ==
          std::string::npos);
    CHECK(FindField(seen.fields, "A").empty());
  }
}

}  // namespace wisteriayoke
