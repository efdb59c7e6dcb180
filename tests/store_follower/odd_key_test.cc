// Entries of other writers under keys that have a meaning in a URI or a header.
#include "store_follower/follower_fixture.h"

namespace wisteriayoke {
namespace {

using std::string_literals::operator""s;

/// Endings of a key, most of which mean something in a target or a head.
const std::vector<std::string> kOddEndings = {
    " ",    " x",   "#",          "#x",  "&",        "&From=zz", "+",
    "+x",   "%",    "%00",        "%zz", "\r\nA: b", "\0x"s,     "\"",
    "?x=1", "/../", "\xc3\xbc\t", "=",   ";",        "\x7f",     "00"};

const std::vector<std::string> kSound = {"i-1", "i-10", "i-2", "i-3", "i-9"};

struct OddKeyFixture : FollowerFixture {
  OddKeyFixture() {
    store.Put("op", "config", MakeDocument(3, "k1"));
    for (const auto& name : kSound) {
      store.Put("servers", name, MakeEntry("ready"));
    }
  }
  bool KnowsAll() const {
    return Version() == 3 &&
           std::all_of(kSound.begin(), kSound.end(),
                       [this](const auto& name) { return IsKnown(name); });
  }
};

}  // namespace

// Guards against a page that begins at a key which isn't encoded: the store
// refused the request, or returned the same page again and again.
TEST_CASE("odd keys at any place of a page hide no other row") {
  for (const std::size_t page_rows : {1U, 2U, 3U, 500U}) {
    for (const auto& ending : kOddEndings) {
      CAPTURE(page_rows);
      CAPTURE(ending);
      OddKeyFixture daemon;
      daemon.store.set_page_rows(page_rows);
      daemon.store.Put("servers", "i-1" + ending, "no entry");
      daemon.store.Put("op", "conf" + ending, "no document");
      daemon.store.Put("op", "config" + ending, "no document");
      daemon.Start();
      daemon.RunUntil([&] { return daemon.KnowsAll(); });
      // Each page once, then the wait for changes of each table.
      const auto pages = [page_rows](std::size_t rows) {
        return (rows + page_rows - 1) / page_rows;
      };
      CHECK(static_cast<std::size_t>(daemon.store.calls()) <=
            pages(kSound.size() + 1) + pages(3) + 2);
    }
  }
}

// The store refuses a key of more than 200 bytes, also as the start of a page.
TEST_CASE("a page may end with a key of full length") {
  for (const char* last : {"x", "\x7f", "\xc3\xbc", "\xc2\xbf"}) {
    CAPTURE(std::string(last));
    const std::size_t size = 200 - std::string_view(last).size();
    OddKeyFixture daemon;
    daemon.store.set_page_rows(3);
    daemon.store.Put("servers", "i-1" + std::string(size - 3, '0') + last,
                     "no entry");
    daemon.Start();
    daemon.RunUntil([&] { return daemon.KnowsAll(); });
  }
}

TEST_CASE_FIXTURE(OddKeyFixture,
                  "beside an odd key the others hold without the store and "
                  "after it discards its history") {
  store.set_page_rows(2);
  store.Put("servers", "i-1 &#+", "no entry");
  Start();
  RunUntil([this] { return KnowsAll(); });
  store.set_fault(StoreFault::kSilent);
  const TimePoint later = loop.Now() + std::chrono::seconds(1);
  RunUntil([&] { return loop.Now() >= later; });
  CHECK(KnowsAll());
  store.set_fault(StoreFault::kForgetting);
  store.Put("servers", "i-4", MakeEntry("ready"));
  store.Drop("servers", "i-9");
  RunUntil([this] { return IsKnown("i-4"); });
  CHECK(IsKnown("i-10"));
  CHECK(IsKnown("i-3"));
}

// Guards against a store that is called as fast as it answers.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a list whose next page doesn't advance ends in an error") {
  int calls = 0;
  std::string rows;
  SUBCASE("the same page") {
    rows = R"({"Table":"servers","part":"","Key":"i-1","Ver":4,"Value":""})";
  }
  SUBCASE("no row") {}
  SUBCASE("no row with a key") { rows = R"({"Table":"servers","Ver":4})"; }
  const FakeServer server(
      loop, TestPorts::kUpstream,
      [&](const HttpRequest&,
          const std::shared_ptr<HttpServerSession>& caller) {
        ++calls;
        caller->Respond(
            {{200, {}}, R"({"Ver":9,"HasMore":true,"Rows":[)" + rows + "]}"});
      });
  const auto client =
      std::make_shared<RowStore>(loop, LocalEndpoint(TestPorts::kUpstream));
  std::optional<RowReply> reply;
  client->ReadTable("servers", [&](RowReply end) { reply = std::move(end); });
  RunUntil([&] { return reply.has_value() || calls > 100; });
  REQUIRE(reply.has_value());
  CHECK(reply->code == ResultCode::kStoreUnreachable);
  CHECK_FALSE(reply->message.empty());
  CHECK(calls <= 2);
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "a feed that repeats its changes ends in an error") {
  std::string rows;
  SUBCASE("a row") { rows = R"({"Table":"servers","Key":"i-1","Ver":9})"; }
  SUBCASE("a row of other use") { rows = R"({"Table":"servers","Ver":9})"; }
  const FakeServer server(
      loop, TestPorts::kUpstream,
      [&](const HttpRequest&,
          const std::shared_ptr<HttpServerSession>& caller) {
        caller->Respond({{200, {}}, R"({"Ver":9,"Rows":[)" + rows + "]}"});
      });
  const auto client =
      std::make_shared<RowStore>(loop, LocalEndpoint(TestPorts::kUpstream));
  for (const std::uint64_t after : {8U, 9U}) {
    CAPTURE(after);
    std::optional<RowReply> reply;
    client->Follow("servers", after, Duration::zero(),
                   [&](RowReply end) { reply = std::move(end); });
    RunUntil([&] { return reply.has_value(); });
    CHECK(reply->code ==
          (after < 9 ? ResultCode::kOk : ResultCode::kStoreUnreachable));
  }
}

}  // namespace wisteriayoke
