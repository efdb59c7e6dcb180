#include "base/fault.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace wisteriayoke {
namespace {

void AbortProcess(FaultBoundary boundary, std::string_view description) {
  std::fprintf(stderr, "exception caught at %s: %s\n",
               std::string(kFaultBoundaryNames.NameOf(boundary)).c_str(),
               std::string(description).c_str());
  std::abort();
}

FaultHandler& Handler() {
  static FaultHandler handler = AbortProcess;
  return handler;
}

std::uint64_t g_faults = 0;

}  // namespace

void SetFaultHandler(FaultHandler handler) { Handler() = std::move(handler); }

void ReportFault(FaultBoundary boundary, std::string_view description) {
  ++g_faults;
  Handler()(boundary, description);
}

std::uint64_t CountFaults() { return g_faults; }

}  // namespace wisteriayoke
