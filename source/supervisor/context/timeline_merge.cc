#include "supervisor/context/timeline_merge.h"

#include <algorithm>
#include <tuple>

namespace wisteriayoke {

std::vector<MergedEvent> MergeTimelines(
    const std::vector<DaemonTimeline>& timelines) {
  std::vector<MergedEvent> merged;
  for (const auto& timeline : timelines) {
    for (const auto& event : timeline.events) {
      merged.push_back({timeline.daemon, event});
    }
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const MergedEvent& a, const MergedEvent& b) {
                     return std::tie(a.event.time, a.daemon) <
                            std::tie(b.event.time, b.daemon);
                   });
  return merged;
}

std::vector<MergedEvent> SelectRequest(const std::vector<MergedEvent>& events,
                                       const RequestId& request) {
  std::vector<MergedEvent> selected;
  for (const auto& row : events) {
    const auto& fields = row.event.fields;
    const bool names_request = std::any_of(
        fields.begin(), fields.end(), [&request](const auto& field) {
          return field.first == "request" && field.second == request.text();
        });
    if (names_request) selected.push_back(row);
  }
  return selected;
}

}  // namespace wisteriayoke
