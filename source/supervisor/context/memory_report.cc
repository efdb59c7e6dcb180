#include "supervisor/context/memory_report.h"

#include "supervisor/context/metrics_text.h"

namespace wisteriayoke {

MemoryReport::MemoryReport(EventLoop& loop, Timeline& timeline)
    : loop_(loop), timeline_(timeline) {
  Check();
}

void MemoryReport::Check() {
  timer_ = loop_.Schedule(kInterval, [this] { Check(); });
  const MemoryBudget& budget = loop_.memory().budget();
  const std::uint64_t stalled = TakeNewClosures(MemoryRule::kStalled);
  const std::uint64_t over_budget = TakeNewClosures(MemoryRule::kOverBudget);
  const std::uint64_t descriptors = TakeNewClosures(MemoryRule::kDescriptors);
  if (stalled + over_budget + descriptors == 0) return;
  timeline_.Record(LogLevel::kWarning, EventKind::kMemoryLow,
                   ResultCode::kMemoryLimit,
                   {{"stalled", std::to_string(stalled)},
                    {"over_budget", std::to_string(over_budget)},
                    {"descriptors", std::to_string(descriptors)},
                    {"used_bytes", std::to_string(budget.used())},
                    {"budget_bytes", std::to_string(budget.limit())}});
}

std::uint64_t MemoryReport::TakeNewClosures(MemoryRule rule) {
  const std::uint64_t count = loop_.memory().budget().CountClosures(rule);
  return count -
         std::exchange(reported_[static_cast<std::size_t>(rule)], count);
}

std::string DescribeMemory(const MemoryBudget& budget) {
  std::string text = MetricSample("memory_budget_bytes", "gauge",
                                  std::to_string(budget.limit())) +
                     MetricSample("memory_used_bytes", "gauge",
                                  std::to_string(budget.used())) +
                     MetricType("memory_closures_total", "counter");
  for (const auto& row : kMemoryRuleNames.rows()) {
    text += MetricLine("memory_closures_total", MetricLabel("rule", row.name),
                       std::to_string(budget.CountClosures(row.value)));
  }
  return text;
}

}  // namespace wisteriayoke
