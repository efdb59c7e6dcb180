#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "base/last_reason.h"
#include "bench/bench_report.h"
#include "bench/experiment.h"

namespace wisteriayoke {
namespace {

constexpr int kDefaultSeeds = 5;

/// Options of the command line.
struct Options {
  std::vector<Experiment> experiments;
  std::vector<RoutingKind> policies;
  std::uint64_t seed = 1;
  int seeds = 1;
  bool check = false;
  bool json = false;
  std::string svg;
};

std::vector<Experiment> ListExperiments() {
  std::vector<Experiment> all;
  for (const auto& row : kExperimentNames.rows()) all.push_back(row.value);
  return all;
}

std::vector<RoutingKind> ListPolicies() {
  std::vector<RoutingKind> all;
  for (const auto& row : kRoutingKindNames.rows()) all.push_back(row.value);
  return all;
}

/// Parses the operands: EXPERIMENT, `check` or `check EXPERIMENT`.
bool ReadExperiment(poptContext context, Options& options, LastReason& reason) {
  const char* word = poptGetArg(context);
  options.check = word != nullptr && std::string_view(word) == "check";
  if (options.check) {
    options.experiments = ListExperiments();
    word = poptGetArg(context);
    if (word == nullptr) return true;
  }
  const std::string text = word == nullptr ? "" : word;
  const auto experiment = kExperimentNames.Find(text);
  if (experiment) {
    options.experiments = {*experiment};
    return true;
  }
  reason.Set(ResultCode::kUsage,
             "\"" + text +
                 "\": give bound, recovery, tight-recovery, crest, blocking "
                 "or check; see --help.");
  return false;
}

bool ReadPolicy(const char* name, Options& options, LastReason& reason) {
  options.policies = ListPolicies();
  if (name == nullptr) return true;
  const auto policy = kRoutingKindNames.Find(name);
  if (policy) {
    options.policies = {*policy};
    return true;
  }
  reason.Set(ResultCode::kUsage,
             "--policy \"" + std::string(name) +
                 "\": give two-choices, round-robin or least-reported.");
  return false;
}

std::optional<Options> ParseOptions(int argc, const char** argv,
                                    LastReason& reason) {
  int seed = 1;
  int seeds = 0;
  int json = 0;
  char* policy = nullptr;
  char* svg = nullptr;
  const poptOption table[] = {
      {"seed", 0, POPT_ARG_INT, &seed, 0, "First seed (1)", "N"},
      {"seeds", 0, POPT_ARG_INT, &seeds, 0, "Seeds to run (1; for check 5)",
       "N"},
      {"policy", 0, POPT_ARG_STRING, &policy, 0,
       "Run only two-choices, round-robin or least-reported", "NAME"},
      {"json", 0, POPT_ARG_NONE, &json, 0, "Print JSON", nullptr},
      {"svg", 0, POPT_ARG_STRING, &svg, 0, "Write a bar chart", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("wisteriayoke_bench", argc, argv, table, 0);
  poptSetOtherOptionHelp(context,
                         "bound|recovery|tight-recovery|crest|blocking|"
                         "check [EXPERIMENT]");
  const int result = poptGetNextOpt(context);
  Options options{.seed = static_cast<std::uint64_t>(seed),
                  .json = json != 0,
                  .svg = svg == nullptr ? "" : svg};
  if (result < -1) {
    reason.Set(ResultCode::kUsage, "unknown option: see --help.");
  }
  const bool good = result >= -1 && ReadExperiment(context, options, reason) &&
                    ReadPolicy(policy, options, reason);
  options.seeds = seeds > 0 ? seeds : options.check ? kDefaultSeeds : 1;
  std::free(policy);
  std::free(svg);
  poptFreeContext(context);
  if (!good) return std::nullopt;
  return options;
}

std::vector<BenchResult> RunAll(const Options& options) {
  std::vector<BenchResult> results;
  for (int i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(i);
    for (const Experiment experiment : options.experiments) {
      for (const RoutingKind kind : options.policies) {
        const BenchPolicy policy{kind, kind == RoutingKind::kTwoChoices};
        results.push_back(
            {experiment, kind, seed, RunExperiment(experiment, policy, seed)});
      }
    }
  }
  return results;
}

int Main(int argc, const char** argv) {
  LastReason reason;
  const auto options = ParseOptions(argc, argv, reason);
  if (!options) {
    std::fprintf(stderr, "wisteriayoke_bench: error %d: %s\n",
                 static_cast<int>(reason.code()), reason.message().c_str());
    return ExitStatusOf(reason.code());
  }
  const auto results = RunAll(*options);
  if (!options->svg.empty()) std::ofstream(options->svg) << FormatSvg(results);
  if (options->json) {
    std::fputs(FormatJson(results).c_str(), stdout);
    return 0;
  }
  for (const auto& result : results) {
    std::printf("seed=%llu\n", static_cast<unsigned long long>(result.seed));
    std::fputs(FormatLines(result).c_str(), stdout);
  }
  if (!options->check) return 0;
  bool all_met = false;
  std::fputs(FormatTargets(results, all_met).c_str(), stdout);
  return all_met ? 0 : 1;
}

}  // namespace
}  // namespace wisteriayoke

int main(int argc, const char** argv) { return wisteriayoke::Main(argc, argv); }
