#ifndef WISTERIAYOKE_BASE_FAULT_H_
#define WISTERIAYOKE_BASE_FAULT_H_

#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <string_view>

#include "base/names_table.h"

namespace wisteriayoke {

/// Where an exception of a library is caught, so that it doesn't end the
/// process.
enum class FaultBoundary {
  kServerSession,  ///< A connection from a caller, a peer or an operator.
  kClientCall,     ///< A call to an upstream, a peer or the store.
  kDatagram,       ///< A datagram from a peer.
  kSignal,         ///< The handler of a signal.
  kStoreFeed,      ///< A reply of the store to a feed.
  kLoop,           ///< Any other call of the event loop.
};

inline constexpr auto kFaultBoundaryNames = MakeNamesTable<FaultBoundary>({
    {FaultBoundary::kServerSession, "server-session"},
    {FaultBoundary::kClientCall, "client-call"},
    {FaultBoundary::kDatagram, "datagram"},
    {FaultBoundary::kSignal, "signal"},
    {FaultBoundary::kStoreFeed, "store-feed"},
    {FaultBoundary::kLoop, "loop"},
});

/// Called for each exception that was caught, with its description.
using FaultHandler = std::function<void(FaultBoundary, std::string_view)>;

/// Replaces the process-wide handler. The default handler aborts the process,
/// so that tests fail; daemons set one that logs the fault and continues.
void SetFaultHandler(FaultHandler handler);

/// Counts a caught exception and calls the handler.
void ReportFault(FaultBoundary boundary, std::string_view description);

/// Returns the number of exceptions caught since the process started.
std::uint64_t CountFaults();

/// Runs `call` and returns whether it ended without an exception; else reports
/// the exception.
template <typename Call>
bool RunGuarded(FaultBoundary boundary, const Call& call) {
  try {
    call();
    return true;
  } catch (const std::exception& error) {
    ReportFault(boundary, error.what());
    return false;
  }
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_FAULT_H_
