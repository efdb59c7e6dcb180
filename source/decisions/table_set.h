#ifndef WISTERIAYOKE_DECISIONS_TABLE_SET_H_
#define WISTERIAYOKE_DECISIONS_TABLE_SET_H_

#include <memory>
#include <optional>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Validated, immutable contents of the tables with look-up functions.
class TableSet {
 public:
  /// Validates `spec` as a whole. On failure returns nullopt and sets `reason`
  /// to kTableInvalid with a message that names the entry and the remedy.
  static std::optional<TableSet> Create(TableSpec spec, LastReason& reason);

  /// Returns the route with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view path) const;

  /// Returns the pool called `name`, or null.
  const Pool* FindPool(const PoolName& name) const;

  /// Returns the workspace called `name`, or null.
  const Workspace* FindWorkspace(const WorkspaceName& name) const;

  /// Returns the number of upstreams in all pools.
  std::size_t CountUpstreams() const;

  const TableSpec& spec() const { return spec_; }

 private:
  explicit TableSet(TableSpec spec) : spec_(std::move(spec)) {}

  TableSpec spec_;
};

/// Shared by all users of one version of the tables.
using TableSetPtr = std::shared_ptr<const TableSet>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TABLE_SET_H_
