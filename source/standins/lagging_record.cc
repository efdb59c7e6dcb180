#include "standins/lagging_record.h"

#include <utility>

namespace wisteriayoke {

void LaggingRecord::Write(std::string value, TimePoint now) {
  history_.push_back({{std::move(value), Latest().version + 1}, now});
  if (history_.size() > kHistory) history_.pop_front();
}

RecordValue LaggingRecord::Latest() const {
  return history_.empty() ? RecordValue{} : history_.back().record;
}

RecordValue LaggingRecord::ValueAt(TimePoint then) const {
  RecordValue found;
  for (const auto& written : history_) {
    if (written.time <= then) found = written.record;
  }
  return found;
}

}  // namespace wisteriayoke
