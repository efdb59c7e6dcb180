#include "supervisor/relay/cost_routing.h"

#include <algorithm>
#include <utility>

#include "decisions/upstream_capacity.h"
#include "decisions/work_load.h"

namespace wisteriayoke {
namespace {

double UsualWorkOf(const RelayPool& pool) {
  return pool.model ? pool.model->mean_output_tokens : kUsualServiceWork;
}

}  // namespace

bool IsCostRouted(const Settings& settings, const RelayTables& tables,
                  const PoolName& pool) {
  switch (settings.CostRoutingMode()) {
    case CostRouting::kOff:
      return false;
    case CostRouting::kRanked:
      return tables.HasRanks(pool);
    case CostRouting::kOn:
      return true;
  }
  return false;
}

RequestTraits TraitsOf(const RelayedRequest& request) {
  return {.route = request.route.name,
          .workspace = request.workspace,
          .prompt_tokens = request.fields.prompt_tokens,
          .max_output_tokens = request.fields.max_output_tokens,
          .hinted_output_tokens = request.fields.hinted_output_tokens};
}

RequestCosts& CostsOf(RelayState& relay, const RelayPool& pool) {
  const double usual = UsualWorkOf(pool);
  RequestCosts& costs = relay.costs.try_emplace(pool.name, usual).first->second;
  costs.set_usual_output_tokens(usual);
  return costs;
}

void SetWork(const DaemonContext& context, const RelayPool& pool,
             const RelayedRequest& request,
             std::vector<PathCandidate>& candidates) {
  DaemonState& state = context.state;
  const TimePoint now = context.loop.Now();
  const LayeredModel& model = *pool.model;
  const RequestCosts& costs = CostsOf(state.relay, pool);
  const AmountEstimate output =
      costs.Estimate(TraitsOf(request), request.events, now);
  const double usual_prompt =
      model.mean_request_tokens - model.mean_output_tokens;
  PeerWork peers = DescribePeerWork(costs.mean_prompt_tokens() > 0
                                        ? costs.mean_prompt_tokens()
                                        : usual_prompt,
                                    costs.EstimateAny(now));
  peers.scale = state.peer_loads.Scale();
  std::vector<WorkSample> samples;
  for (auto& candidate : candidates) {
    const UpstreamSpec& upstream = *candidate.upstream;
    const double layers = upstream.layers.end - upstream.layers.first;
    const std::uint32_t own = state.upstreams.StateOf(upstream.name).in_flight;
    peers.requests = candidate.in_flight - std::min(own, candidate.in_flight);
    peers.layers = layers;
    const double capacity =
        TokenLayersOf(model, model.accelerators.at(upstream.accelerator),
                      upstream, candidate.slowdown) *
        state.relay.work.capacity_factor();
    const double need = (request.fields.prompt_tokens + output.high) * layers;
    // An idle upstream may take a request of any size.
    samples.push_back(
        {.estimate = state.relay.work.Estimate(upstream.name, peers, now),
         .capacity = capacity,
         .need = std::min(need, capacity),
         .kind = upstream.accelerator});
    candidate.limit = upstream.slots;
  }
  const auto loads = DrawWorkLoads(samples, state.random);
  for (std::size_t i = 0; i < loads.size(); ++i) candidates[i].work = loads[i];
}

void SetServiceWork(const DaemonContext& context,
                    std::vector<RoutingCandidate>& candidates) {
  DaemonState& state = context.state;
  for (auto& candidate : candidates) {
    PeerWork peers;
    peers.each = {kUsualServiceWork, kUsualServiceWork};
    peers.requests = candidate.in_flight -
                     std::min(candidate.own_in_flight, candidate.in_flight);
    const WorkEstimate work = state.relay.work.Estimate(
        candidate.upstream->name, peers, context.loop.Now());
    candidate.work = work.used / kUsualServiceWork;
  }
}

void RecordFull(const DaemonContext& context, const RelayPool& pool,
                const UpstreamName& upstream) {
  DaemonState& state = context.state;
  const FleetEntry* entry = state.relay.fleet.Find(upstream);
  if (entry == nullptr || !pool.model) return;
  const auto kind = pool.model->accelerators.find(entry->upstream.accelerator);
  if (kind == pool.model->accelerators.end()) return;
  const TimePoint now = context.loop.Now();
  const double slowdown = state.upstreams.SlowdownOf(upstream, now);
  state.relay.work.RecordRejection(
      upstream,
      TokenLayersOf(*pool.model, kind->second, entry->upstream, slowdown), now);
}

}  // namespace wisteriayoke
