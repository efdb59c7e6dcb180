#include "standins/standin_options.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>

#include "wire/table_codec.h"

namespace wisteriayoke {

std::optional<StandinOptions> ParseStandinOptions(const char* program, int argc,
                                                  const char** argv,
                                                  LastReason& reason) {
  char* listen = nullptr;
  int first_layer = 0;
  int end_layer = 1;
  int slots = 8;
  int token_us = 5000;
  int checks_fencing = 0;
  const poptOption table[] = {
      {"listen", 0, POPT_ARG_STRING, &listen, 0, "Listen here", "IP:PORT"},
      {"first-layer", 0, POPT_ARG_INT, &first_layer, 0, "First layer held",
       "N"},
      {"end-layer", 0, POPT_ARG_INT, &end_layer, 0, "Layer after the last held",
       "N"},
      {"slots", 0, POPT_ARG_INT, &slots, 0, "Requests run at once", "N"},
      {"token-us", 0, POPT_ARG_INT, &token_us, 0,
       "Time for one token, in microseconds", "N"},
      {"checks-fencing", 0, POPT_ARG_NONE, &checks_fencing, 0,
       "Refuse orders with an old fencing number", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(program, argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  const std::string address = listen == nullptr ? "" : listen;
  std::free(listen);
  poptFreeContext(context);
  if (result < -1) {
    reason.Set(ResultCode::kUsage, "unknown option: see --help.");
    return std::nullopt;
  }
  const auto endpoint = ParseEndpoint(address, reason);
  if (!endpoint) return std::nullopt;
  return StandinOptions{.listen = *endpoint,
                        .layers = {static_cast<std::uint32_t>(first_layer),
                                   static_cast<std::uint32_t>(end_layer)},
                        .slots = static_cast<unsigned>(slots),
                        .token_time = std::chrono::microseconds(token_us),
                        .checks_fencing = checks_fencing != 0};
}

int ExplainStandinFailure(const char* program, const LastReason& reason) {
  std::fprintf(stderr, "%s: error %d: %s\n", program,
               static_cast<int>(reason.code()), reason.message().c_str());
  return ExitStatusOf(reason.code());
}

}  // namespace wisteriayoke
