#ifndef WISTERIAYOKE_BASE_INVARIANT_H_
#define WISTERIAYOKE_BASE_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/result_code.h"

namespace wisteriayoke {

/// Called for each broken invariant with its result code (group 9) and a
/// description of the state that violates it.
using InvariantHandler = std::function<void(ResultCode, const std::string&)>;

/// Replaces the process-wide handler. The default handler aborts the process,
/// so that tests fail; daemons set one that logs the violation and continues.
void SetInvariantHandler(InvariantHandler handler);

/// Increments the count of broken invariants and calls the handler.
void ReportBrokenInvariant(ResultCode code, const std::string& state);

/// Returns the number of broken invariants since the process started.
std::uint64_t CountBrokenInvariants();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_INVARIANT_H_
