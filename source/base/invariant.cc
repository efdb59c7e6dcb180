#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace wisteriayoke {
namespace {

void AbortProcess(ResultCode code, const std::string& state) {
  std::fprintf(stderr, "invariant %d (%s) broken: %s\n", static_cast<int>(code),
               std::string(DescribeResultCode(code).name).c_str(),
               state.c_str());
  std::abort();
}

InvariantHandler& Handler() {
  static InvariantHandler handler = AbortProcess;
  return handler;
}

std::uint64_t g_broken_invariants = 0;

}  // namespace

void SetInvariantHandler(InvariantHandler handler) {
  Handler() = std::move(handler);
}

void ReportBrokenInvariant(ResultCode code, const std::string& state) {
  ++g_broken_invariants;
  Handler()(code, state);
}

std::uint64_t CountBrokenInvariants() { return g_broken_invariants; }

}  // namespace wisteriayoke
