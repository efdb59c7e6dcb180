#ifndef WISTERIAYOKE_TESTS_DECISIONS_ENGINE_SIMULATION_H_
#define WISTERIAYOKE_TESTS_DECISIONS_ENGINE_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decisions/layer_path.h"
#include "decisions/layer_plan.h"
#include "decisions/peer_loads.h"
#include "decisions/request_cost.h"
#include "decisions/upstream_capacity.h"
#include "decisions/upstream_tracker.h"
#include "decisions/upstream_work.h"
#include "decisions/work_load.h"
#include "engine_load.h"

namespace wisteriayoke {

/// Simulates daemons that choose paths over engines with a KV cache, in steps
/// of 5 ms. Requests progress at the speed of their path.
class EngineSimulation {
 public:
  explicit EngineSimulation(EngineLoad load)
      : load_(std::move(load)), daemons_(load_.daemons) {
    MakeEngines();
    random_.seed(20261206 + load_.seed);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      daemons_[i].name = DaemonName("d" + std::to_string(i));
      daemons_[i].random.seed(1000 * load_.seed + i + 1);
      daemons_[i].peers.SetPeerCount(load_.daemons - 1);
    }
  }

  EngineResult Run() {
    const auto steps = static_cast<int>(load_.seconds * 1000 / kStepMs);
    std::poisson_distribution<int> arrivals(load_.requests_per_s * kStepMs /
                                            1000);
    for (step_ = 0; step_ < steps; ++step_) {
      measured_ = step_ * 3 >= steps;
      SendCounts();
      for (int n = arrivals(random_); n > 0; --n) Arrive();
      RetryWaiting();
      Progress();
      for (std::size_t i = 0; i < engines_.size(); ++i) PreemptAt(i);
      if (measured_) Measure();
    }
    const double measured = steps - steps / 3.0;
    result_.use /= measured;
    result_.peak /= measured;
    return result_;
  }

 private:
  static constexpr double kStepMs = 5;
  static constexpr std::uint32_t kLayers = 80;
  static constexpr double kPromptMs = 4;   ///< Reading of a prompt.
  static constexpr double kTokenMs = 3.0;  ///< Step of the whole model.
  static constexpr int kWaitSteps = 30;    ///< Longest wait for a place.
  static constexpr int kCountSteps = 60;   ///< Between reports to peers.
  static constexpr std::size_t kCountTargets = 4;

  struct Engine {
    UpstreamSpec spec;
    const Accelerator* kind = nullptr;
    double capacity = 0;  ///< Tokens x layers.
    double used = 0;
    double slow = 1;
    std::vector<std::size_t> running;  ///< Oldest first.
  };
  struct Daemon {
    DaemonName name;
    UpstreamTracker tracker;
    PeerLoads peers;
    UpstreamWork work;
    RequestCosts costs{225};
    std::mt19937_64 random;
    std::size_t next_target = 1;
  };
  struct Stage {
    std::size_t engine;
    double layers;
  };
  struct Request {
    std::size_t daemon;
    RequestTraits traits;
    double output;
    int arrived;
    std::vector<Stage> stages;
    std::vector<WorkAmount> amounts;
    double produced = 0;
    double reading_ms = 0;
    double token_ms = 1;
    bool preempted = false;
    bool ended = false;
    int attempts = 0;
    std::set<UpstreamName> excluded;
    double Tokens() const { return traits.prompt_tokens + produced; }
  };

  TimePoint Now() const {
    return TimePoint(std::chrono::seconds(100) +
                     step_ * std::chrono::milliseconds(5));
  }

  void MakeEngines() {
    model_ = {.name = "m",
              .layer_count = kLayers,
              .layer_mb = 1750,
              .kv_token_bytes = 590'000,
              .mean_request_tokens = 975,
              .accelerators = {{"large", {72'000, 1.4, 1}},
                               {"middle", {21'600, 16, 8}},
                               {"small", {14'400, 15, 8}}}};
    const std::vector<std::string> kinds = {"large",  "middle", "small",
                                            "middle", "small",  "small",
                                            "middle", "small"};
    std::vector<LayerHost> hosts;
    for (std::size_t i = 0; i < kEngines; ++i) {
      const std::string& kind = kinds[i / 4 % kinds.size()];
      hosts.push_back(
          {.name = UpstreamName("u" + std::to_string(i)),
           .data_centre = DataCentreName("c" + std::to_string(i % 4)),
           .memory_mb = model_.accelerators.at(kind).memory_mb});
      kind_of_[hosts.back().name] = kind;
    }
    const LayerPlan plan = PlanLayers(model_, hosts);
    for (const auto& host : hosts) {
      const auto found = plan.find(host.name);
      if (found == plan.end()) continue;
      Engine engine;
      engine.spec = {.name = host.name,
                     .data_centre = host.data_centre,
                     .accelerator = kind_of_.at(host.name),
                     .layers = found->second};
      engine.spec.slots = 10'000;
      engine.kind = &model_.accelerators.at(engine.spec.accelerator);
      engine.capacity = TokenLayersOf(model_, *engine.kind, engine.spec, 1);
      index_of_[host.name] = engines_.size();
      engines_.push_back(engine);
    }
    engines_.front().slow = load_.slow_factor;
  }

  void SendCounts() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if ((step_ + static_cast<int>(i * 7)) % kCountSteps != 0) continue;
      InFlightCounts counts;
      for (const auto& engine : engines_) {
        const auto own =
            daemons_[i].tracker.StateOf(engine.spec.name).in_flight;
        if (own == 0) continue;
        counts.push_back(
            {DigestOf(engine.spec.name), static_cast<std::uint16_t>(own)});
      }
      for (std::size_t n = 0; n < kCountTargets; ++n) {
        std::size_t& next = daemons_[i].next_target;
        next = 1 + next % std::max<std::size_t>(1, daemons_.size() - 1);
        Daemon& target = daemons_[(i + next) % daemons_.size()];
        if (&target == &daemons_[i]) break;
        target.peers.Record(daemons_[i].name, counts, Now());
      }
      daemons_[i].peers.Expire(Now());
    }
  }

  void Arrive() {
    if (measured_) ++result_.arrivals;
    Request request;
    request.daemon = random_() % daemons_.size();
    request.arrived = step_;
    std::tie(request.traits, request.output) =
        load_.make_request(random_, step_ * kStepMs / 1000);
    requests_.push_back(std::move(request));
    waiting_.push_back(requests_.size() - 1);
  }

  std::vector<PathCandidate> ListCandidates(Daemon& daemon,
                                            const Request& request) {
    const AmountEstimate output =
        daemon.costs.Estimate(request.traits, 0, Now());
    PeerWork peers = DescribePeerWork(daemon.costs.mean_prompt_tokens() > 0
                                          ? daemon.costs.mean_prompt_tokens()
                                          : 750,
                                      daemon.costs.EstimateAny(Now()));
    peers.scale = daemon.peers.Scale();
    std::vector<PathCandidate> candidates;
    std::vector<WorkSample> samples;
    for (const auto& engine : engines_) {
      const UpstreamName& name = engine.spec.name;
      if (request.excluded.contains(name)) continue;
      if (daemon.tracker.HealthOf(name, Now()) != UpstreamHealth::kHealthy) {
        continue;
      }
      PathCandidate candidate{
          .upstream = &engine.spec,
          .step_factor = engine.kind->step_factor,
          .read_factor = engine.kind->read_factor,
          .limit = CountCapacity(model_, *engine.kind, engine.spec, 1),
          .in_flight = daemon.tracker.CountInFlight(name, daemon.peers),
          .prefilling = daemon.tracker.StateOf(name).prefilling};
      if (load_.by_cost) {
        const double layers = engine.spec.layers.end - engine.spec.layers.first;
        peers.requests = daemon.peers.InFlightOf(name);
        peers.layers = layers;
        candidate.limit = engine.spec.slots;
        samples.push_back(
            {.estimate = daemon.work.Estimate(name, peers, Now()),
             .capacity = engine.capacity * daemon.work.capacity_factor(),
             .need = (request.traits.prompt_tokens + output.high) * layers,
             .kind = engine.spec.accelerator});
      }
      candidates.push_back(candidate);
    }
    const auto loads = DrawWorkLoads(samples, daemon.random);
    for (std::size_t i = 0; i < loads.size(); ++i) {
      candidates[i].work = loads[i];
    }
    return candidates;
  }

  void RetryWaiting() {
    std::vector<std::size_t> still;
    for (const std::size_t index : waiting_) {
      if (TryStart(index)) continue;
      if (step_ - requests_[index].arrived < kWaitSteps) {
        still.push_back(index);
      } else if (measured_) {
        ++result_.refused;
      }
    }
    waiting_ = std::move(still);
  }

  /// Returns whether the request has started.
  bool TryStart(std::size_t index) {
    Request& request = requests_[index];
    Daemon& daemon = daemons_[request.daemon];
    while (request.attempts < 2) {
      const PathChoice choice =
          ChoosePath(kLayers, ListCandidates(daemon, request));
      if (choice.outcome != PathOutcome::kFound) return false;
      ++request.attempts;
      const Engine* full = nullptr;
      for (const auto& stage : choice.chain) {
        Engine& engine = engines_[index_of_.at(stage.upstream)];
        const double need = request.traits.prompt_tokens *
                            (stage.layers.end - stage.layers.first);
        if (engine.used + need > engine.capacity) full = &engine;
      }
      if (full == nullptr) {
        Start(index, choice.chain);
        return true;
      }
      if (measured_) ++result_.rejected;
      request.excluded.insert(full->spec.name);
      daemon.tracker.RecordDecline(full->spec.name, Now());
      daemon.work.RecordRejection(full->spec.name, full->capacity, Now());
    }
    return false;
  }

  void Start(std::size_t index, const Chain& chain) {
    Request& request = requests_[index];
    Daemon& daemon = daemons_[request.daemon];
    const AmountEstimate output =
        daemon.costs.Estimate(request.traits, 0, Now());
    request.token_ms = 0;
    for (const auto& stage : chain) {
      const std::size_t at = index_of_.at(stage.upstream);
      Engine& engine = engines_[at];
      const double layers = stage.layers.end - stage.layers.first;
      request.stages.push_back({at, layers});
      request.amounts.push_back(
          {request.traits.prompt_tokens * layers,
           (request.traits.prompt_tokens + output.mean) * layers});
      request.token_ms +=
          kTokenMs * engine.kind->step_factor * engine.slow * layers / kLayers;
      request.reading_ms +=
          kPromptMs * engine.kind->read_factor * engine.slow * layers /
          kLayers * (1 + daemon.tracker.StateOf(stage.upstream).prefilling);
      engine.used += request.traits.prompt_tokens * layers;
      engine.running.push_back(index);
      daemon.tracker.RecordStart(stage.upstream);
      daemon.tracker.RecordPrefillStart(stage.upstream);
      daemon.work.Add(stage.upstream, request.amounts.back(), layers);
      daemon.work.RecordAcceptance(stage.upstream);
    }
    running_.push_back(index);
  }

  void Occupy(const Request& request, double tokens) {
    for (const auto& stage : request.stages) {
      engines_[stage.engine].used += tokens * stage.layers;
    }
  }

  void Progress() {
    std::vector<std::size_t> still;
    for (const std::size_t index : running_) {
      Request& request = requests_[index];
      if (request.preempted && !TryReadmit(index)) {
        still.push_back(index);
        continue;
      }
      double time = kStepMs;
      if (request.reading_ms > 0) {
        const double read = std::min(time, request.reading_ms);
        request.reading_ms -= read;
        time -= read;
        if (request.reading_ms <= 0 && request.produced <= 0) {
          EndPrefill(request);
        }
      }
      const double tokens =
          std::min(time / request.token_ms, request.output - request.produced);
      request.produced += tokens;
      Occupy(request, tokens);
      if (request.produced < request.output) {
        if ((step_ + index) % 10 == 0) Report(request);
        still.push_back(index);
        continue;
      }
      Finish(index);
    }
    running_ = std::move(still);
  }

  void EndPrefill(const Request& request) {
    for (const auto& stage : request.stages) {
      daemons_[request.daemon].tracker.RecordPrefillEnd(
          engines_[stage.engine].spec.name);
    }
  }

  void Report(Request& request) {
    Daemon& daemon = daemons_[request.daemon];
    const AmountEstimate output = daemon.costs.Estimate(
        request.traits, request.produced / kTokensPerEvent, Now());
    for (std::size_t i = 0; i < request.stages.size(); ++i) {
      const double layers = request.stages[i].layers;
      const WorkAmount amount{
          request.Tokens() * layers,
          (request.traits.prompt_tokens + output.mean) * layers};
      daemon.work.Change(engines_[request.stages[i].engine].spec.name,
                         request.amounts[i], amount);
      request.amounts[i] = amount;
    }
  }

  void Finish(std::size_t index) {
    Request& request = requests_[index];
    Daemon& daemon = daemons_[request.daemon];
    if (measured_) ++result_.finished;
    Occupy(request, -request.Tokens());
    for (std::size_t i = 0; i < request.stages.size(); ++i) {
      Engine& engine = engines_[request.stages[i].engine];
      std::erase(engine.running, index);
      daemon.tracker.RecordSuccess(engine.spec.name);
      daemon.work.Remove(engine.spec.name, request.amounts[i]);
    }
    daemon.costs.Record(request.traits, request.output / kTokensPerEvent,
                        Now());
  }

  void PreemptAt(std::size_t at) {
    Engine& engine = engines_[at];
    while (engine.used > engine.capacity && !engine.running.empty()) {
      const std::size_t index = engine.running.back();
      Request& request = requests_[index];
      if (measured_) ++result_.preempted;
      request.preempted = true;
      Occupy(request, -request.Tokens());
      for (const auto& stage : request.stages) {
        std::erase(engines_[stage.engine].running, index);
      }
    }
  }

  bool TryReadmit(std::size_t index) {
    Request& request = requests_[index];
    for (const auto& stage : request.stages) {
      const Engine& engine = engines_[stage.engine];
      if (engine.used + request.Tokens() * stage.layers > engine.capacity) {
        return false;
      }
    }
    request.preempted = false;
    Occupy(request, request.Tokens());
    for (const auto& stage : request.stages) {
      engines_[stage.engine].running.push_back(index);
    }
    request.reading_ms = kPromptMs * 8;
    return true;
  }

  void Measure() {
    double used = 0;
    double capacity = 0;
    double most = 0;
    for (const auto& engine : engines_) {
      used += engine.used;
      capacity += engine.capacity;
      most = std::max(most, engine.used / engine.capacity);
    }
    result_.use += used / capacity;
    result_.peak += most / (used / capacity);
  }

  static constexpr std::size_t kEngines = 32;
  static constexpr double kTokensPerEvent = 4;

  EngineLoad load_;
  LayeredModel model_;
  std::map<UpstreamName, std::string> kind_of_;
  std::map<UpstreamName, std::size_t> index_of_;
  std::vector<Engine> engines_;
  std::vector<Daemon> daemons_;
  std::vector<Request> requests_;
  std::vector<std::size_t> waiting_;
  std::vector<std::size_t> running_;
  std::mt19937_64 random_;
  int step_ = 0;
  bool measured_ = false;
  EngineResult result_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_DECISIONS_ENGINE_SIMULATION_H_
