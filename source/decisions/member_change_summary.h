#ifndef WISTERIAYOKE_DECISIONS_MEMBER_CHANGE_SUMMARY_H_
#define WISTERIAYOKE_DECISIONS_MEMBER_CHANGE_SUMMARY_H_

#include <cstddef>
#include <map>
#include <utility>

#include "base/time_types.h"
#include "decisions/member.h"

namespace wisteriayoke {

/// Bounds the log lines about members: the first few changes in a second get
/// lines of their own, the others are counted for one summary.
class MemberChangeSummary {
 public:
  static constexpr std::size_t kOwnLines = 5;
  static constexpr Duration kPeriod = std::chrono::seconds(1);

  using Counts = std::map<MemberStatus, std::size_t>;

  /// Records a change. Returns whether it gets a line of its own.
  bool Record(MemberStatus status, TimePoint now) {
    if (lines_ == 0) started_ = now;
    if (lines_ < kOwnLines) {
      ++lines_;
      return true;
    }
    ++counts_[status];
    return false;
  }

  /// Returns the changes without lines of their own if a period has ended; else
  /// nothing.
  Counts TakeDue(TimePoint now) {
    if (lines_ == 0 || now - started_ < kPeriod) return {};
    lines_ = 0;
    return std::exchange(counts_, {});
  }

 private:
  std::size_t lines_ = 0;
  TimePoint started_{};
  Counts counts_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MEMBER_CHANGE_SUMMARY_H_
