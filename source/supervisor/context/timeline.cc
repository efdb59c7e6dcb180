#include "supervisor/context/timeline.h"

#include <algorithm>
#include <chrono>

namespace wisteriayoke {
namespace {

std::uint64_t ReadWallClock() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

}  // namespace

HybridTime Timeline::Tick() {
  const HybridTime now{ReadWallClock(), 0};
  last_ = std::max(now, HybridTime{last_.wall_us, last_.counter + 1});
  return last_;
}

void Timeline::AdvancePast(const HybridTime& seen) {
  last_ = std::max(last_, seen);
}

void Timeline::RecordFields(LogLevel level, EventKind kind, ResultCode code,
                            std::span<const LogField> fields) {
  TimelineEvent event{.time = Tick(), .kind = kind, .code = code};
  for (const auto& field : fields) {
    event.fields.emplace_back(field.name, field.value);
  }
  events_.push_back(std::move(event));
  if (events_.size() > kCapacity) events_.pop_front();
  metrics_.CountEvent(kind, code);
  LogEvent(level, kEventKindNames.NameOf(kind), code, fields);
}

}  // namespace wisteriayoke
