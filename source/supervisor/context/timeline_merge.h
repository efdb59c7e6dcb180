#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_MERGE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_MERGE_H_

#include <vector>

#include "supervisor/context/operators_codec.h"

namespace wisteriayoke {

/// Sorts the events of all daemons by hybrid time, events of the same time by
/// daemon name. An event comes after the event that caused it.
std::vector<MergedEvent> MergeTimelines(
    const std::vector<DaemonTimeline>& timelines);

/// Returns the events with `request` in their "request" field.
std::vector<MergedEvent> SelectRequest(const std::vector<MergedEvent>& events,
                                       const RequestId& request);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_MERGE_H_
