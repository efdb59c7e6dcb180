#include "decisions/table_follower.h"

#include <algorithm>

#include "base/invariant.h"
#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

TableSource OtherSource(TableSource source) {
  return source == TableSource::kStore ? TableSource::kPeer
                                       : TableSource::kStore;
}

void ReportFork(const TableVersion& known, const TableVersion& seen) {
  ReportBrokenInvariant(ResultCode::kVersionForked,
                        "version " + std::to_string(known.number) +
                            " has the hashes " + known.hash + " and " +
                            seen.hash);
}

}  // namespace

std::vector<TableAction> TableFollower::Handle(const TableEvent& event) {
  return std::visit(
      Overloaded{
          [this](const HeadSeen& head) { return HandleHead(head); },
          [this](const ContentArrived& content) {
            return HandleContent(content);
          },
          [this](const FetchFailed& failure) { return HandleFailure(failure); },
          [this](const ContentInvalid& refusal) {
            return HandleInvalid(refusal);
          },
          [this](const RetryDue& retry) { return HandleRetry(retry); },
          [this](const ListenPeriodEnded&) {
            return min_version_ > 0 ? EndColdStart()
                                    : std::vector<TableAction>{};
          },
          [this](const ColdStartTimedOut&) {
            min_version_ = 0;
            return EndColdStart();
          },
      },
      event);
}

std::vector<TableAction> TableFollower::HandleHead(const HeadSeen& event) {
  const TableVersion& version = event.version;
  std::vector<TableAction> actions;
  if (IsForked(version)) return actions;
  if (cold_starting_ && event.source == TableSource::kPeer) {
    min_version_ = std::max(min_version_, version.number);
  }
  if (IsWorthFetching(version)) {
    AddCandidate(event);
    if (!cold_starting_) actions.emplace_back(AnnounceHead{version});
    actions.emplace_back(FetchContent{version.hash, event.source});
  }
  return actions;
}

bool TableFollower::IsWorthFetching(const TableVersion& version) const {
  if (version.number <= in_force_.number) return false;
  if (version.number < min_version_) return false;
  if (invalid_hashes_.contains(version.hash)) return false;
  if (candidates_.contains(version.number)) return false;
  // Otherwise two heads that replace each other would be announced endlessly.
  return candidates_.size() < kMaxCandidates ||
         version.number > candidates_.begin()->first;
}

bool TableFollower::IsForked(const TableVersion& version) const {
  if (version.number == 0) return false;
  TableVersion known;
  const auto candidate = candidates_.find(version.number);
  if (version.number == in_force_.number) known = in_force_;
  if (candidate != candidates_.end()) {
    known = {version.number, candidate->second.hash};
  }
  if (known.number == 0 || known.hash == version.hash) return false;
  ReportFork(known, version);
  return true;
}

void TableFollower::AddCandidate(const HeadSeen& event) {
  candidates_[event.version.number] = {.hash = event.version.hash,
                                       .next_source = event.source};
  if (candidates_.size() > kMaxCandidates) {
    candidates_.erase(candidates_.begin());
  }
}

TableFollower::Candidate* TableFollower::FindCandidate(
    const std::string& hash) {
  for (auto& [number, candidate] : candidates_) {
    if (candidate.hash == hash && !candidate.arrived) return &candidate;
  }
  return nullptr;
}

std::vector<TableAction> TableFollower::HandleContent(
    const ContentArrived& event) {
  for (auto& [number, candidate] : candidates_) {
    if (candidate.hash == event.hash) candidate.arrived = event.tables;
  }
  if (cold_starting_) return {};
  return PutArrivedInForce();
}

std::vector<TableAction> TableFollower::PutArrivedInForce() {
  for (auto it = candidates_.rbegin(); it != candidates_.rend(); ++it) {
    if (!it->second.arrived) continue;
    const TableVersion version{it->first, it->second.hash};
    if (version.number <= in_force_.number) {
      ReportBrokenInvariant(ResultCode::kVersionReverted,
                            "version " + std::to_string(version.number) +
                                " after " + std::to_string(in_force_.number));
      return {};
    }
    in_force_ = version;
    PutInForce action{version, it->second.arrived};
    candidates_.erase(candidates_.begin(), it.base());
    return {std::move(action)};
  }
  return {};
}

std::vector<TableAction> TableFollower::HandleFailure(
    const FetchFailed& event) {
  Candidate* candidate = FindCandidate(event.hash);
  if (candidate == nullptr) return {};
  candidate->next_source = OtherSource(candidate->next_source);
  const Duration delay = candidate->retry_delay;
  candidate->retry_delay = std::min(2 * delay, kLastRetryDelay);
  return {RetryFetch{event.hash, delay}};
}

std::vector<TableAction> TableFollower::HandleInvalid(
    const ContentInvalid& event) {
  invalid_hashes_.insert(event.hash);
  std::erase_if(candidates_, [&event](const auto& item) {
    return item.second.hash == event.hash;
  });
  return {};
}

std::vector<TableAction> TableFollower::HandleRetry(const RetryDue& event) {
  const Candidate* candidate = FindCandidate(event.hash);
  if (candidate == nullptr) return {};
  return {FetchContent{event.hash, candidate->next_source}};
}

std::vector<TableAction> TableFollower::EndColdStart() {
  cold_starting_ = false;
  candidates_.erase(candidates_.begin(), candidates_.lower_bound(min_version_));
  std::vector<TableAction> actions;
  for (const auto& [number, candidate] : candidates_) {
    actions.emplace_back(AnnounceHead{{number, candidate.hash}});
  }
  for (auto& action : PutArrivedInForce()) {
    actions.push_back(std::move(action));
  }
  return actions;
}

}  // namespace wisteriayoke
