#include "supervisor/relay/path_search.h"

#include <algorithm>
#include <utility>

namespace wisteriayoke {
namespace {

/// Time between two searches of a started stream for another path.
constexpr Duration kPathSearchInterval = std::chrono::milliseconds(30);
/// Time for which a search in vain for a stalled attempt isn't repeated. Each
/// goes over all upstreams, and all streams of one upstream stall at once.
constexpr Duration kVainSearchLifetime = std::chrono::milliseconds(200);

}  // namespace

PlaceQueue& PathSearch::Places() const {
  return context_.state.relay.places[request_.pool];
}

double PathSearch::RoomShare(bool begun) const {
  return ranked_.applies() && !begun ? ranked_.RoomShare() : 1.0;
}

/// Returns whether it is the turn of the request to search.
bool PathSearch::MaySearch(const RelayPool& pool, bool first, TimePoint now) {
  if (!pool.model) return true;
  if (ranked_.ticket()) return ranked_.TakeTurn();
  if (!first) return true;
  return ranked_.applies() ? ranked_.TakeTurn()
                           : Places().MaySearch(queued_, now);
}

void PathSearch::RecordStart(const RelayPool& pool, TimePoint now) {
  if (ranked_.applies() && pool.model) ranked_.RecordStart();
  StopWaiting();
  Places().RecordStart(now);
}

TargetChoice PathSearch::Search(bool first, bool begun) {
  const RelayPool* pool = request_.tables->FindPool(request_.pool);
  if (pool == nullptr) return {};
  const TimePoint now = context_.loop.Now();
  searched_ = MaySearch(*pool, first, now);
  if (!searched_) return {.code = ResultCode::kOverloaded};
  searched_at_ = now;
  TargetChoice choice = Choose(*pool, RoomShare(begun));
  if (choice.target) {
    RecordStart(*pool, now);
    return choice;
  }
  // A request that avoids some upstreams says nothing about the others.
  const bool all_busy = choice.code == ResultCode::kOverloaded &&
                        failed_.empty() && stalled_.empty();
  if (all_busy) Places().RecordBusy(now);
  return choice;
}

/// Chooses a target without the upstreams that failed the request and, if there
/// is such a target, without those that may have stalled it.
TargetChoice PathSearch::Choose(const RelayPool& pool,
                                double room_share) const {
  const double tokens = request_.fields.prompt_tokens;
  if (!stalled_.empty()) {
    std::set<UpstreamName> avoided = failed_;
    avoided.insert(stalled_.begin(), stalled_.end());
    TargetChoice choice = ChooseWithout(pool, avoided, tokens,
                                        TargetSearchKind::kAttempt, room_share);
    if (choice.target) return choice;
  }
  return ChooseWithout(pool, failed_, tokens, TargetSearchKind::kAttempt,
                       room_share);
}

TargetChoice PathSearch::ChooseWithout(const RelayPool& pool,
                                       const std::set<UpstreamName>& excluded,
                                       double tokens, TargetSearchKind kind,
                                       double room_share) const {
  context_.state.relay.metrics.CountTargetSearch(kind);
  return ChooseTarget(context_, pool, excluded, tokens, request_, room_share);
}

bool PathSearch::IsKnownVain(const std::set<UpstreamName>& avoided) const {
  return vain_ && context_.loop.Now() - vain_->at < kVainSearchLifetime &&
         std::includes(avoided.begin(), avoided.end(), vain_->avoided.begin(),
                       vain_->avoided.end());
}

bool PathSearch::HasTargetWithout(const std::set<UpstreamName>& others,
                                  bool begun) {
  const RelayPool* pool = request_.tables->FindPool(request_.pool);
  if (pool == nullptr) return false;
  std::set<UpstreamName> avoided = failed_;
  avoided.insert(stalled_.begin(), stalled_.end());
  avoided.insert(others.begin(), others.end());
  if (IsKnownVain(avoided)) return false;
  const auto target = ChooseWithout(*pool, avoided, 0, TargetSearchKind::kStall,
                                    RoomShare(begun))
                          .target;
  // A plain service falls back to an upstream that is to be avoided.
  const auto names =
      target ? target->ListUpstreams() : std::vector<UpstreamName>{};
  const bool found = target && std::none_of(names.begin(), names.end(),
                                            [&avoided](const auto& name) {
                                              return avoided.contains(name);
                                            });
  if (!found) vain_ = {std::move(avoided), context_.loop.Now()};
  return found;
}

bool PathSearch::MayWait(ResultCode code, bool begun) {
  if (begun) return true;
  if (ranked_.applies()) {
    return code == ResultCode::kOverloaded && ranked_.MayWait(searched_);
  }
  const TimePoint now = context_.loop.Now();
  const Duration limit = TimelyWaitOf(request_);
  if (code != ResultCode::kOverloaded || !request_.is_stream()) return false;
  if (now - arrived_ >= limit) return false;
  queued_ = queued_ || Places().TryJoin(limit, now);
  return queued_;
}

bool PathSearch::IsDue(bool begun) const {
  if (!begun && ranked_.ticket()) return ranked_.IsOver();
  return !begun || context_.loop.Now() - searched_at_ >= kPathSearchInterval;
}

void PathSearch::StopWaiting() {
  if (std::exchange(queued_, false)) Places().Leave();
  ranked_.Stop();
}

}  // namespace wisteriayoke
