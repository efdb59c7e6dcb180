#ifndef WISTERIAYOKE_TESTS_DECISIONS_ENGINE_LOAD_H_
#define WISTERIAYOKE_TESTS_DECISIONS_ENGINE_LOAD_H_

#include <cstddef>
#include <functional>
#include <random>
#include <utility>

#include "decisions/request_cost.h"

namespace wisteriayoke {

/// Load and faults of a simulated run.
struct EngineLoad {
  std::size_t daemons = 28;
  bool by_cost = false;
  double requests_per_s = 100;
  double seconds = 30;
  /// Returns the traits and the output tokens of a new request.
  std::function<std::pair<RequestTraits, double>(std::mt19937_64&, double)>
      make_request;
  unsigned seed = 0;
  double slow_factor = 1;  ///< Of the first engine, unknown to the daemons.
};

/// What happened in a run, without its first third.
struct EngineResult {
  double arrivals = 0;
  double rejected = 0;   ///< Rejections by engines.
  double preempted = 0;  ///< Preemptions by engines.
  double refused = 0;    ///< Requests that no engine ran.
  double finished = 0;
  double use = 0;   ///< Mean share of the engines' memory that was occupied.
  double peak = 0;  ///< Mean over time of the busiest engine to the mean.
  void Add(const EngineResult& other) {
    arrivals += other.arrivals;
    rejected += other.rejected;
    preempted += other.preempted;
    refused += other.refused;
    finished += other.finished;
    use += other.use;
    peak += other.peak;
  }
  double RejectedShare() const { return rejected / arrivals; }
  double PreemptedShare() const { return preempted / arrivals; }
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_DECISIONS_ENGINE_LOAD_H_
