#ifndef WISTERIAYOKE_STANDINS_STANDIN_OPTIONS_H_
#define WISTERIAYOKE_STANDINS_STANDIN_OPTIONS_H_

#include <optional>
#include <string>

#include "base/last_reason.h"
#include "base/time_types.h"
#include "decisions/layer_range.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Options of the stand-ins.
struct StandinOptions {
  Endpoint listen;
  LayerRange layers{0, 1};
  unsigned slots = 8;
  Duration token_time = std::chrono::milliseconds(5);
  bool checks_fencing = false;
  /// Name, pool and data centre under which a layered worker registers itself,
  /// and the address of the store.
  std::string name;
  std::string pool;
  std::string accelerator;  ///< Accelerator kind; empty for a plain service.
  std::string data_centre;
  std::optional<Endpoint> store;
};

/// Parses the command line of `program`. Fails with kUsage or kFieldInvalid.
std::optional<StandinOptions> ParseStandinOptions(const char* program, int argc,
                                                  const char** argv,
                                                  LastReason& reason);

/// Prints `reason` to stderr and returns the exit status of `program`.
int ReportStandinFailure(const char* program, const LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_STANDIN_OPTIONS_H_
