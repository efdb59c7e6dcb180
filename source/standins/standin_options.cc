#include "standins/standin_options.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>

#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

/// Returns a copy of `text`, which popt allocated, and frees it; "" for null.
std::string CopyAndFree(char* text) {
  std::string copy = text == nullptr ? "" : text;
  std::free(text);
  return copy;
}

}  // namespace

std::optional<StandinOptions> ParseStandinOptions(const char* program, int argc,
                                                  const char** argv,
                                                  LastReason& reason) {
  char* listen = nullptr;
  char* name = nullptr;
  char* pool = nullptr;
  char* accelerator = nullptr;
  char* data_centre = nullptr;
  char* store = nullptr;
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
      {"name", 0, POPT_ARG_STRING, &name, 0, "Id of the upstream", "ID"},
      {"pool", 0, POPT_ARG_STRING, &pool, 0, "Pool that it serves", "NAME"},
      {"accelerator", 0, POPT_ARG_STRING, &accelerator, 0,
       "Kind of its accelerator; none for a plain service", "KIND"},
      {"data-centre", 0, POPT_ARG_STRING, &data_centre, 0, "Where it is",
       "NAME"},
      {"store", 0, POPT_ARG_STRING, &store, 0, "Store to register itself in",
       "IP:PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(program, argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  StandinOptions options{.slots = static_cast<unsigned>(slots),
                         .token_time = std::chrono::microseconds(token_us),
                         .checks_fencing = checks_fencing != 0,
                         .name = CopyAndFree(name),
                         .pool = CopyAndFree(pool),
                         .accelerator = CopyAndFree(accelerator),
                         .data_centre = CopyAndFree(data_centre)};
  const std::string address = CopyAndFree(listen);
  const std::string store_address = CopyAndFree(store);
  if (result < -1) {
    reason.Set(ResultCode::kUsage, "unknown option: see --help.");
    return std::nullopt;
  }
  const auto endpoint = ParseEndpoint(address, reason);
  if (!endpoint) return std::nullopt;
  options.listen = *endpoint;
  options.layers = {static_cast<std::uint32_t>(first_layer),
                    static_cast<std::uint32_t>(end_layer)};
  if (store_address.empty()) return options;
  options.store = ParseEndpoint(store_address, reason);
  if (!options.store) return std::nullopt;
  return options;
}

int ReportStandinFailure(const char* program, const LastReason& reason) {
  std::fprintf(stderr, "%s: error %d: %s\n", program,
               static_cast<int>(reason.code()), reason.message().c_str());
  return ExitStatusOf(reason.code());
}

}  // namespace wisteriayoke
