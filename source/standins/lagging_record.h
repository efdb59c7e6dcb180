#ifndef WISTERIAYOKE_STANDINS_LAGGING_RECORD_H_
#define WISTERIAYOKE_STANDINS_LAGGING_RECORD_H_

#include <cstdint>
#include <deque>
#include <string>

#include "base/time_types.h"

namespace wisteriayoke {

/// One versioned value, as a replica holds it.
struct RecordValue {
  std::string value;
  std::uint64_t version = 0;  ///< 0 stands for "absent".
};

/// A record with its history, so that a read can show what a lagging replica
/// would answer.
class LaggingRecord {
 public:
  /// Values that are kept for lagging reads.
  static constexpr std::size_t kHistory = 64;

  /// Writes the next version at `now`.
  void Write(std::string value, TimePoint now);

  /// Returns the latest value.
  RecordValue Latest() const;

  /// Returns the value that was the latest at `then`.
  RecordValue At(TimePoint then) const;

 private:
  struct Written {
    RecordValue record;
    TimePoint time;
  };

  std::deque<Written> history_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_LAGGING_RECORD_H_
