#ifndef WISTERIAYOKE_STANDINS_LAGGING_RECORD_H_
#define WISTERIAYOKE_STANDINS_LAGGING_RECORD_H_

#include <cstdint>
#include <deque>
#include <string>

#include "base/time_types.h"

namespace wisteriayoke {

/// A value of a record and its version.
struct RecordValue {
  std::string value;
  std::uint64_t version = 0;  ///< 0 if the record is absent.
};

/// A record with its history, so that a read can return the value that a
/// lagging replica would.
class LaggingRecord {
 public:
  /// Number of values kept for lagging reads.
  static constexpr std::size_t kHistory = 64;

  /// Writes `value` as the next version at `now`.
  void Write(std::string value, TimePoint now);

  /// Returns the latest value; version 0 if there is none.
  RecordValue Latest() const;

  /// Returns the value that was the latest at `then`; version 0 if there was
  /// none.
  RecordValue ValueAt(TimePoint then) const;

 private:
  struct TimedValue {
    RecordValue record;
    TimePoint time;
  };

  std::deque<TimedValue> history_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_LAGGING_RECORD_H_
