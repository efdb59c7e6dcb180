#ifndef WISTERIAYOKE_TESTS_STORE_FOLLOWER_FOLLOWER_FIXTURE_H_
#define WISTERIAYOKE_TESTS_STORE_FOLLOWER_FOLLOWER_FIXTURE_H_

#include <doctest/doctest.h>

#include <algorithm>

#include "supervisor/store_follower/store_follower.h"
#include "support/fake_row_store_server.h"

namespace wisteriayoke {

inline std::string MakeDocument(int version, const std::string& key) {
  return R"({"Version":)" + std::to_string(version) +
         R"(,"Routes":[{"Name":"r","Host":"h","Prefix":"/","Kind":"idempotent",
            "Service":"s"}],"Services":[{"Name":"s"}],
            "Tenants":[{"Name":"volta","ApiKeys":[")" +
         key + R"("]}]})";
}

inline std::string MakeEntry(const std::string& state) {
  return R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a","Slots":6,
             "State":")" +
         state + R"(","born":1})";
}

/// A store follower before a fake store.
struct FollowerFixture : DaemonFixture {
  FakeRowStoreServer store{loop};
  std::shared_ptr<StoreFollower> follower = std::make_shared<StoreFollower>(
      Context(), [] { return std::shared_ptr<PeerLink>(); },
      [](const LastReason&) {});

  void Start() {
    LastReason reason;
    REQUIRE(follower->Start(reason));
  }
  ~FollowerFixture() {
    follower->Stop([] {});
  }

  std::uint64_t Version() const {
    return state.relay.tables ? state.relay.tables->spec().version : 0;
  }
  std::ptrdiff_t Count(EventKind kind) const {
    const auto& events = state.timeline.events();
    return std::count_if(
        events.begin(), events.end(),
        [kind](const auto& event) { return event.kind == kind; });
  }
  /// Returns the last event of `kind` with the value `value` in its field
  /// `field`, or null.
  const TimelineEvent* FindEvent(EventKind kind, const std::string& field,
                                 const std::string& value) const {
    const auto& events = state.timeline.events();
    const auto found =
        std::find_if(events.rbegin(), events.rend(), [&](const auto& event) {
          const auto& fields = event.fields;
          return event.kind == kind &&
                 std::find(fields.begin(), fields.end(),
                           std::pair(field, value)) != fields.end();
        });
    return found == events.rend() ? nullptr : &*found;
  }
  /// Returns whether an event of `kind` was recorded for `table`.
  bool IsRecorded(EventKind kind, const std::string& table) const {
    return FindEvent(kind, "table", table) != nullptr;
  }
  /// Makes this daemon one that learns of changes from its peers.
  void SetBehindFollowers() {
    state.relay.follow_rank = 5;
    state.relay.group_size = 10;
    state.relay.freshness.RecordProof(loop.BootNow());
  }
  bool IsKnown(const std::string& name) const {
    return state.relay.fleet.Find(UpstreamName(name)) != nullptr;
  }
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_STORE_FOLLOWER_FOLLOWER_FIXTURE_H_
