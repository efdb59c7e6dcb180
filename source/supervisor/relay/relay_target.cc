#include "supervisor/relay/relay_target.h"

#include <algorithm>
#include <cmath>

#include "decisions/layer_path.h"
#include "decisions/upstream_capacity.h"
#include "supervisor/relay/cost_routing.h"
#include "supervisor/relay/relay_refusal.h"

namespace wisteriayoke {
namespace {

/// Part of the links between data centres that the hidden states of prompts may
/// fill; the rest is for those of generated tokens.
constexpr double kLinkShare = 0.7;

std::vector<PathCandidate> ListCandidates(
    const DaemonContext& context, const RelayPool& pool,
    const std::set<UpstreamName>& excluded) {
  const DaemonState& state = context.state;
  const TimePoint now = context.loop.Now();
  std::vector<PathCandidate> candidates;
  for (const auto* entry : state.relay.fleet.ListAvailable(pool.name)) {
    const UpstreamSpec& upstream = entry->upstream;
    if (upstream.layers == LayerRange{} || excluded.contains(upstream.name)) {
      continue;
    }
    if (state.upstreams.HealthOf(upstream.name, now) !=
        UpstreamHealth::kHealthy) {
      continue;
    }
    const double slowdown = state.upstreams.SlowdownOf(upstream.name, now);
    const auto kind = pool.model->accelerators.find(upstream.accelerator);
    if (kind == pool.model->accelerators.end()) continue;
    candidates.push_back(
        {.upstream = &upstream,
         .step_factor = kind->second.step_factor,
         .read_factor = kind->second.read_factor,
         .slowdown = slowdown,
         .limit = CountCapacity(*pool.model, kind->second, upstream, slowdown),
         .in_flight =
             state.upstreams.CountInFlight(upstream.name, state.peer_loads),
         .prefilling = state.upstreams.StateOf(upstream.name).prefilling});
  }
  return candidates;
}

/// Leaves only `share` of the room of each candidate, rounded; one with few
/// places has no tenth to leave out.
void LimitRoom(std::vector<PathCandidate>& candidates, double share) {
  for (auto& candidate : candidates) {
    candidate.limit = static_cast<std::uint32_t>(
        std::lround(share * static_cast<double>(candidate.limit)));
  }
}

std::uint64_t StartOf(const DaemonContext& context, const UpstreamName& name) {
  const FleetEntry* entry = context.state.relay.fleet.Find(name);
  return entry == nullptr ? 0 : entry->started_ms;
}

/// Charges `hidden_states` to this daemon's share of the links. Returns false,
/// and charges nothing, if the share doesn't allow it.
bool TryTakeLinks(const DaemonContext& context, const LayeredModel& model,
                  double hidden_states) {
  if (hidden_states <= 0 || model.link_tokens_per_s <= 0) return true;
  RelayState& relay = context.state.relay;
  const double rate =
      kLinkShare * model.link_tokens_per_s / relay.max_members_seen;
  return relay.links.TryTake(hidden_states, rate, context.loop.Now());
}

TargetChoice ChooseChainTarget(const DaemonContext& context,
                               const RelayPool& pool,
                               const std::set<UpstreamName>& excluded,
                               double tokens, const RelayedRequest& request,
                               double room_share) {
  auto candidates = ListCandidates(context, pool, excluded);
  if (IsCostRouted(context.settings, *request.tables, pool.name)) {
    SetWork(context, pool, request, candidates);
  }
  if (room_share < 1.0) LimitRoom(candidates, room_share);
  PathChoice choice = ChoosePath(pool.model->layer_count, candidates);
  const bool busy =
      choice.outcome == PathOutcome::kBusy ||
      !TryTakeLinks(context, *pool.model, tokens * choice.cross_hops);
  if (busy) {
    return {.code = ResultCode::kOverloaded};
  }
  if (choice.outcome == PathOutcome::kUncovered) return {};
  const Stage& first = choice.chain.front();
  return {RelayTarget{first.upstream, first.endpoint, std::move(choice.chain),
                      StartOf(context, first.upstream)},
          ResultCode::kOk};
}

TargetChoice ChooseServiceTarget(const DaemonContext& context,
                                 const RelayPool& pool,
                                 const std::set<UpstreamName>& excluded,
                                 const RelayedRequest& request) {
  DaemonState& state = context.state;
  const TimePoint now = context.loop.Now();
  Pool members;
  for (const auto* entry : state.relay.fleet.ListAvailable(pool.name)) {
    members.upstreams.push_back(entry->upstream);
  }
  auto usable = state.upstreams.ListUsable(members, excluded, now);
  // An upstream that just failed is better than none.
  if (usable.empty()) usable = state.upstreams.ListUsable(members, {}, now);
  auto candidates =
      BuildCandidates(usable, state.upstreams, state.peer_loads, now);
  if (IsCostRouted(context.settings, *request.tables, pool.name)) {
    SetServiceWork(context, candidates);
  }
  const auto chosen =
      ChooseUpstream(state.routing, candidates, {}, state.random);
  if (!chosen) return {};
  const UpstreamSpec& upstream = *candidates[*chosen].upstream;
  return {RelayTarget{upstream.name,
                      upstream.endpoint,
                      {},
                      StartOf(context, upstream.name)},
          ResultCode::kOk};
}

}  // namespace

std::vector<UpstreamName> RelayTarget::ListUpstreams() const {
  if (chain.empty()) return {upstream};
  std::vector<UpstreamName> names;
  for (const auto& stage : chain) names.push_back(stage.upstream);
  return names;
}

std::string RelayTarget::Describe() const {
  if (chain.empty()) return upstream.text();
  std::string text;
  for (const auto& stage : chain) {
    if (!text.empty()) text += ",";
    text += stage.upstream.text() + ":" + std::to_string(stage.layers.first) +
            "-" + std::to_string(stage.layers.end);
  }
  return text;
}

Duration ComputeRetryDelay(const DaemonContext& context, const PoolName& pool) {
  const TimePoint now = context.loop.Now();
  std::optional<Duration> least;
  for (const auto* entry : context.state.relay.fleet.ListAvailable(pool)) {
    const Duration left =
        context.state.upstreams.HoldOffLeft(entry->upstream.name, now);
    least = std::min(least.value_or(left), left);
  }
  return std::max(least.value_or(Duration::zero()), kRetryAfter);
}

TargetChoice ChooseTarget(const DaemonContext& context, const RelayPool& pool,
                          const std::set<UpstreamName>& excluded, double tokens,
                          const RelayedRequest& request, double room_share) {
  return pool.model ? ChooseChainTarget(context, pool, excluded, tokens,
                                        request, room_share)
                    : ChooseServiceTarget(context, pool, excluded, request);
}

}  // namespace wisteriayoke
