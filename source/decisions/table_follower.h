#ifndef WISTERIAYOKE_DECISIONS_TABLE_FOLLOWER_H_
#define WISTERIAYOKE_DECISIONS_TABLE_FOLLOWER_H_

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/table_set.h"

namespace wisteriayoke {

/// A head record was read from the store or announced by a peer.
struct HeadSeen {
  TableVersion version;
};

/// Content that was asked for has arrived and was validated; its digest was
/// computed by the receiver.
struct ContentArrived {
  std::string hash;
  TableSetPtr tables;
};

using TableEvent = std::variant<HeadSeen, ContentArrived>;

/// Fetch the content with this digest from a peer or the object store.
struct FetchContent {
  std::string hash;
};

/// Serve new requests under these tables from now on.
struct PutInForce {
  TableVersion version;
  TableSetPtr tables;
};

using TableAction = std::variant<FetchContent, PutInForce>;

/// Decides which version of the tables is in force in one daemon.
///
/// Versions in force only rise, in whatever order heads and contents arrive.
class TableFollower {
 public:
  /// Goes on from the version that is in force already, if any.
  explicit TableFollower(TableVersion in_force = {})
      : in_force_(std::move(in_force)) {}

  /// Handles one event and returns what to do, in order.
  std::vector<TableAction> Handle(const TableEvent& event);

  /// Version in force; its number is 0 before the first.
  const TableVersion& in_force() const { return in_force_; }

 private:
  std::vector<TableAction> HandleHead(const HeadSeen& event);
  std::vector<TableAction> HandleContent(const ContentArrived& event);

  TableVersion in_force_;
  std::optional<TableVersion> wanted_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TABLE_FOLLOWER_H_
