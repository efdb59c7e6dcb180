#ifndef WISTERIAYOKE_DECISIONS_MEMBER_H_
#define WISTERIAYOKE_DECISIONS_MEMBER_H_

#include <cstdint>

#include "base/ids.h"
#include "base/names_table.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Status of a member as the group knows it. Of two records with the same
/// incarnation, the one whose status is later in this list wins.
enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

inline constexpr auto kMemberStatusNames = MakeNamesTable<MemberStatus>({
    {MemberStatus::kAlive, "alive"},
    {MemberStatus::kSuspect, "suspect"},
    {MemberStatus::kDead, "dead"},
    {MemberStatus::kLeft, "left"},
});

/// Record of one daemon as the group knows it. Only the daemon itself raises
/// its incarnation, to refute a wrong status.
struct Member {
  DaemonName name;
  Endpoint endpoint;
  std::uint64_t incarnation = 0;
  MemberStatus status = MemberStatus::kAlive;

  /// Returns whether the member is part of the group.
  bool present() const {
    return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
  }

  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MEMBER_H_
