#ifndef WISTERIAYOKE_DECISIONS_TABLE_FOLLOWER_H_
#define WISTERIAYOKE_DECISIONS_TABLE_FOLLOWER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/names_table.h"
#include "base/time_types.h"
#include "decisions/table_set.h"

namespace wisteriayoke {

/// Who told of a head, and where content is fetched.
enum class TableSource { kStore, kPeer };

inline constexpr auto kTableSourceNames = MakeNamesTable<TableSource>({
    {TableSource::kStore, "store"},
    {TableSource::kPeer, "peer"},
});

/// A head was read from the store or announced by a peer.
struct HeadSeen {
  TableVersion version;
  TableSource source = TableSource::kStore;
};

/// Content that was asked for, or handed over, has arrived and was validated;
/// its digest was computed by the receiver.
struct ContentArrived {
  std::string hash;
  TableSetPtr tables;
};

/// A fetch ended without content, or with content of another digest.
struct FetchFailed {
  std::string hash;
};

/// Content with the right digest is not a valid set of tables.
struct ContentInvalid {
  std::string hash;
};

/// The delay that `RetryFetch` asked for is over.
struct RetryDue {
  std::string hash;
};

/// A daemon that starts has listened to its peers for long enough.
struct ListenPeriodEnded {};

/// A daemon that starts has waited long enough for any peer to speak, and for
/// the content that they told of.
struct ColdStartTimedOut {};

using TableEvent =
    std::variant<HeadSeen, ContentArrived, FetchFailed, ContentInvalid,
                 RetryDue, ListenPeriodEnded, ColdStartTimedOut>;

/// Fetch the content with this digest.
struct FetchContent {
  std::string hash;
  TableSource source = TableSource::kStore;
};

/// Feed `RetryDue` after `delay`.
struct RetryFetch {
  std::string hash;
  Duration delay{};
};

/// Tell the peers of this head at once.
struct AnnounceHead {
  TableVersion version;
};

/// Serve new requests under these tables from now on.
struct PutInForce {
  TableVersion version;
  TableSetPtr tables;
};

using TableAction =
    std::variant<FetchContent, RetryFetch, AnnounceHead, PutInForce>;

/// Decides which version of the tables is in force in one daemon.
///
/// Versions in force only rise, in whatever order heads and contents arrive. A
/// daemon that starts without tables first listens to its peers and then puts
/// nothing in force below what any of them told, since the store's replica may
/// lag behind what was in force before. Every head above the
/// version in force is fetched on its own, so that one whose content can't be
/// had doesn't hold back a lower one.
class TableFollower {
 public:
  /// Delay before the first retry of a fetch; it doubles up to the last.
  static constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(20);
  static constexpr Duration kLastRetryDelay = std::chrono::milliseconds(500);
  /// Most heads that are fetched at a time; the lowest go first.
  static constexpr std::size_t kMaxCandidates = 64;

  /// Goes on from the version that is in force already, if any.
  explicit TableFollower(TableVersion in_force = {})
      : in_force_(std::move(in_force)), cold_(in_force_.number == 0) {}

  /// Handles one event and returns what to do, in order.
  std::vector<TableAction> Handle(const TableEvent& event);

  /// Version in force; its number is 0 before the first.
  const TableVersion& in_force() const { return in_force_; }

  /// Tells whether the daemon still listens to its peers after its start.
  bool cold() const { return cold_; }

 private:
  /// A head above the version in force whose content is being fetched.
  struct Candidate {
    std::string hash;
    TableSource next_source = TableSource::kStore;
    Duration retry_delay = kFirstRetryDelay;
    TableSetPtr arrived;  ///< Held back while the daemon starts cold.
  };

  std::vector<TableAction> HandleHead(const HeadSeen& event);
  std::vector<TableAction> HandleContent(const ContentArrived& event);
  std::vector<TableAction> HandleFailure(const FetchFailed& event);
  std::vector<TableAction> HandleRefusal(const ContentInvalid& event);
  std::vector<TableAction> HandleRetry(const RetryDue& event);
  std::vector<TableAction> EndColdStart();
  /// Puts the highest candidate whose content has arrived in force.
  std::vector<TableAction> PutArrivedInForce();
  bool IsWorthFetching(const TableVersion& version) const;
  /// Tells whether `version` has the number of a known one and another hash.
  bool IsForked(const TableVersion& version) const;
  void AddCandidate(const HeadSeen& event);
  Candidate* FindCandidate(const std::string& hash);

  TableVersion in_force_;
  std::map<std::uint64_t, Candidate> candidates_;  ///< By version number.
  std::set<std::string> refused_;
  bool cold_;
  /// Least version that may follow a cold start: the highest that was told.
  std::uint64_t least_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TABLE_FOLLOWER_H_
