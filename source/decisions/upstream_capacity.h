#ifndef WISTERIAYOKE_DECISIONS_UPSTREAM_CAPACITY_H_
#define WISTERIAYOKE_DECISIONS_UPSTREAM_CAPACITY_H_

#include <cstdint>

#include "decisions/layered_model.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Returns the number of usual requests for which `upstream` has memory.
std::uint32_t CountCapacity(const LayeredModel& model,
                            const Accelerator& accelerator,
                            const UpstreamSpec& upstream, double slowdown);

/// Returns the memory of `upstream` beside its layers, in tokens x layers.
double TokenLayersOf(const LayeredModel& model, const Accelerator& accelerator,
                     const UpstreamSpec& upstream, double slowdown);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_UPSTREAM_CAPACITY_H_
