// Entries of other writers that name no upstream to use.
#include "store_follower/follower_fixture.h"

namespace wisteriayoke {
namespace {

using std::string_literals::operator""s;

/// An entry under a name that is odd, or whose value is.
struct OddEntry {
  std::string key;
  std::string value;
};

std::string ReplaceInEntry(const std::string& field, const std::string& by) {
  std::string entry = MakeEntry("ready");
  return entry.replace(entry.find(field), field.size(), by);
}

const std::vector<OddEntry> kOddEntries = {
    {"i-1x", ""},
    {"i-1x", "no JSON"},
    {"i-1x", "[]"},
    {"i-1x", "\"text\""},
    {"i-1x", "{}"},
    {"i-1x", std::string(60'000, '[')},
    {"i-1x", "\xff\xfe\0"s},
    {"i-1x", ReplaceInEntry("\"Slots\":6", "\"Slots\":\"6\"")},
    {"i-1x", ReplaceInEntry("\"Slots\":6", "\"Slots\":0")},
    {"i-1x", ReplaceInEntry("\"ready\"", "\"resting\"")},
    {"i-1x", ReplaceInEntry("\"ready\"", "{}")},
    {"i-1x", ReplaceInEntry("\"Service\":\"s\"", "\"Service\":7")},
    {"i-1x", ReplaceInEntry("\"Zone\":\"a\",", "")},
    {"i-1x", ReplaceInEntry("10.0.0.1:80", "nowhere")},
    {"i-1x", ReplaceInEntry("10.0.0.1:80", "10.0.0.1:0")},
    {"i-1x", ReplaceInEntry("10.0.0.1:80", R"(10.0.0.1\u0000\r\nA: b:80)")},
    {"i-1", "no JSON"},
    {std::string(200, 'i'), "no JSON"},
    {"\"i-1\"", "no JSON"},
    {"i-1\0"s, MakeEntry("ready")},
    {"i-1\r\nA: b", MakeEntry("ready")},
    {"", MakeEntry("ready")}};

struct OddEntryFixture : FollowerFixture {
  OddEntryFixture() {
    store.set_page_rows(2);
    store.Put("op", "config", MakeDocument(3, "k1"));
    for (const char* name : {"i-0", "i-10", "i-2"}) {
      store.Put("servers", name, MakeEntry("ready"));
    }
  }
  bool KnowsOthers() const {
    return IsKnown("i-0") && IsKnown("i-10") && IsKnown("i-2");
  }
  std::ptrdiff_t CountRefusals(const OddEntry& odd) const {
    const auto& events = state.timeline.events();
    const std::pair<std::string, std::string> field("upstream", odd.key);
    return std::count_if(
        events.begin(), events.end(), [&field](const auto& event) {
          return event.kind == EventKind::kEntryRefused &&
                 std::find(event.fields.begin(), event.fields.end(), field) !=
                     event.fields.end();
        });
  }
};

}  // namespace

TEST_CASE("an entry that can't be used costs itself and one line of the log") {
  for (const auto& odd : kOddEntries) {
    for (const bool over_feed : {false, true}) {
      CAPTURE(odd.key);
      CAPTURE(odd.value.substr(0, 80));
      CAPTURE(over_feed);
      OddEntryFixture daemon;
      if (!over_feed) daemon.store.Put("servers", odd.key, odd.value);
      daemon.Start();
      daemon.RunUntil([&] { return daemon.KnowsOthers(); });
      if (over_feed) daemon.store.Put("servers", odd.key, odd.value);
      daemon.RunUntil([&] { return daemon.CountRefusals(odd) == 1; });
      // The entry is written again, as each heartbeat does.
      daemon.store.Put("servers", odd.key, odd.value);
      daemon.store.Put("servers", "i-3", MakeEntry("ready"));
      daemon.RunUntil([&] { return daemon.IsKnown("i-3"); });
      CHECK(daemon.CountRefusals(odd) == 1);
      CHECK_FALSE(daemon.IsKnown(odd.key));
      CHECK(daemon.KnowsOthers());
    }
  }
}

TEST_CASE("an entry that can't be used hides no other of a peer's page") {
  RowMirror peer;
  MirrorChanges page{.head = {0, 90}, .position = {0, 90}, .whole = true};
  for (const char* name : {"i-0", "i-10", "i-2"}) {
    page.rows.push_back({name, MakeEntry("ready"), {0, 7}, false});
  }
  for (const auto& odd : kOddEntries) {
    page.rows.push_back({odd.key, odd.value, {0, 8}, false});
  }
  peer.Apply(page);
  OddEntryFixture daemon;
  const FakeServer server(
      daemon.loop, TestPorts::kPeers,
      [&peer](const HttpRequest&,
              const std::shared_ptr<HttpServerSession>& caller) {
        caller->Respond({{200, {}}, EncodeMirrorPage(peer.ChangesAfter({}))});
      });
  daemon.SetBehindFollowers();
  daemon.Start();
  daemon.state.relay.peer_views.Deliver({.entries = peer.view()},
                                        LocalEndpoint(TestPorts::kPeers));
  daemon.RunUntil([&] { return daemon.KnowsOthers(); });
  CHECK(daemon.state.relay.fleet.entries().size() == 3);
}

TEST_CASE_FIXTURE(OddEntryFixture, "an entry that is mended is used again") {
  const OddEntry odd{"i-1", "no JSON"};
  store.Put("servers", odd.key, odd.value);
  Start();
  RunUntil([&] { return CountRefusals(odd) == 1; });
  store.Put("servers", odd.key, MakeEntry("ready"));
  RunUntil([&] { return IsKnown(odd.key); });
  store.Put("servers", odd.key, odd.value);
  RunUntil([&] { return CountRefusals(odd) == 2 && !IsKnown(odd.key); });
}

}  // namespace wisteriayoke
