#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_MERGE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_MERGE_H_

#include <vector>

#include "supervisor/context/operators_codec.h"

namespace wisteriayoke {

/// Orders the events of all daemons by their hybrid times, those of one time
/// by the daemons' names. An event that another one caused stands before it.
std::vector<MergedEvent> MergeTimelines(
    const std::vector<DaemonTimeline>& timelines);

/// Returns the events that name `request`.
std::vector<MergedEvent> SelectRequest(const std::vector<MergedEvent>& events,
                                       const RequestId& request);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_MERGE_H_
