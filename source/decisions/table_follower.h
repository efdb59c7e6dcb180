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

/// Where a head was seen, or where content is fetched from.
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

/// Content that was fetched, or supplied together with its head, is valid.
/// `hash` is the digest that the receiver computed.
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

/// The delay requested by `RetryFetch` is over.
struct RetryDue {
  std::string hash;
};

/// A starting daemon has listened to its peers for the minimum time.
struct ListenPeriodEnded {};

/// A starting daemon has waited long enough for any peer to report a head and
/// for the content of the reported heads.
struct ColdStartTimedOut {};

using TableEvent =
    std::variant<HeadSeen, ContentArrived, FetchFailed, ContentInvalid,
                 RetryDue, ListenPeriodEnded, ColdStartTimedOut>;

/// Fetch the content with this digest from `source`.
struct FetchContent {
  std::string hash;
  TableSource source = TableSource::kStore;
};

/// Send the follower `RetryDue` after `delay`.
struct RetryFetch {
  std::string hash;
  Duration delay{};
};

/// Report this head to the peers at once.
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
/// Versions in force only increase, in whatever order heads and contents
/// arrive. A daemon that starts without tables first listens to its peers and
/// then puts no version in force below the highest that a peer reported, since
/// the store's replica may lag behind the version that was in force before. The
/// content of every head above the version in force is fetched separately, so
/// that content that can't be fetched doesn't block a lower version.
class TableFollower {
 public:
  /// Delay before the first retry of a fetch; it doubles up to
  /// `kLastRetryDelay`.
  static constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(20);
  static constexpr Duration kLastRetryDelay = std::chrono::milliseconds(500);
  /// Maximum number of heads fetched at a time; the lowest are dropped first.
  static constexpr std::size_t kMaxCandidates = 64;

  /// Continues from the version that is already in force, if any.
  explicit TableFollower(TableVersion in_force = {})
      : in_force_(std::move(in_force)), cold_starting_(in_force_.number == 0) {}

  /// Handles one event and returns the actions to take, in order.
  std::vector<TableAction> Handle(const TableEvent& event);

  /// Returns the version in force; its number is 0 before the first.
  const TableVersion& in_force() const { return in_force_; }

  /// Returns whether the daemon still listens to its peers after its start.
  bool cold_starting() const { return cold_starting_; }

 private:
  /// A head above the version in force whose content is being fetched.
  struct Candidate {
    std::string hash;
    TableSource next_source = TableSource::kStore;
    Duration retry_delay = kFirstRetryDelay;
    TableSetPtr arrived;  ///< Not put in force during a cold start.
  };

  std::vector<TableAction> HandleHead(const HeadSeen& event);
  std::vector<TableAction> HandleContent(const ContentArrived& event);
  std::vector<TableAction> HandleFailure(const FetchFailed& event);
  std::vector<TableAction> HandleInvalid(const ContentInvalid& event);
  std::vector<TableAction> HandleRetry(const RetryDue& event);
  std::vector<TableAction> EndColdStart();
  /// Puts in force the highest candidate whose content has arrived.
  std::vector<TableAction> PutArrivedInForce();
  bool IsWorthFetching(const TableVersion& version) const;
  /// Returns whether `version` has the number of a known version and another
  /// hash, and reports the broken invariant if so.
  bool IsForked(const TableVersion& version) const;
  void AddCandidate(const HeadSeen& event);
  Candidate* FindCandidate(const std::string& hash);

  TableVersion in_force_;
  std::map<std::uint64_t, Candidate> candidates_;  ///< By version number.
  std::set<std::string> invalid_hashes_;
  bool cold_starting_;
  /// Lowest version that may be put in force after a cold start: the highest
  /// that a peer reported.
  std::uint64_t min_version_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TABLE_FOLLOWER_H_
