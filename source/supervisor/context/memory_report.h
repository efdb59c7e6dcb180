#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_MEMORY_REPORT_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_MEMORY_REPORT_H_

#include <array>
#include <cstdint>
#include <string>

#include "runtime/event_loop.h"
#include "supervisor/context/timeline.h"

namespace wisteriayoke {

/// Records the connections that the memory budget has closed, at most once a
/// second and by rule.
class MemoryReport {
 public:
  MemoryReport(EventLoop& loop, Timeline& timeline);

 private:
  static constexpr Duration kInterval = std::chrono::seconds(1);

  void Check();
  /// Returns how many were closed by `rule` since the last call.
  std::uint64_t TakeNewClosures(MemoryRule rule);

  EventLoop& loop_;
  Timeline& timeline_;
  std::array<std::uint64_t, kMemoryRuleNames.rows().size()> reported_{};
  LoopTimerPtr timer_;
};

/// Returns the metrics of the memory budget.
std::string DescribeMemory(const MemoryBudget& budget);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_MEMORY_REPORT_H_
