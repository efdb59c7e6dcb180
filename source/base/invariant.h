#ifndef WISTERIAYOKE_BASE_INVARIANT_H_
#define WISTERIAYOKE_BASE_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/result_code.h"

namespace wisteriayoke {

/// Called for each broken invariant with its code (group 9) and the state that
/// broke it.
using InvariantHandler = std::function<void(ResultCode, const std::string&)>;

/// Replaces the handler of the process. Without one, a broken invariant ends
/// the process, as tests want; daemons log it and go on.
void SetInvariantHandler(InvariantHandler handler);

/// Counts a broken invariant and calls the handler.
void ReportBrokenInvariant(ResultCode code, const std::string& state);

/// Returns how many invariants broke since the start of the process.
std::uint64_t CountBrokenInvariants();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_INVARIANT_H_
