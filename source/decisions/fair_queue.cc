#include "decisions/fair_queue.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace wisteriayoke {
namespace {

std::size_t IndexOf(Priority priority) {
  return static_cast<std::size_t>(priority);
}

}  // namespace

bool FairQueue::Flow::empty() const {
  return std::all_of(queues.begin(), queues.end(),
                     [](const auto& queue) { return queue.empty(); });
}

std::deque<QueuedRequest>& FairQueue::Flow::FirstQueue() {
  return *std::find_if(queues.begin(), queues.end(),
                       [](const auto& queue) { return !queue.empty(); });
}

FairQueue::Flow& FairQueue::Activate(const QueuedRequest& request) {
  const auto [found, is_new] = flows_.try_emplace(request.workspace);
  if (is_new) active_.push_back(request.workspace);
  Flow& flow = found->second;
  if (!is_new) total_weight_ -= flow.weight;
  flow.weight = std::max(1U, request.weight);
  total_weight_ += flow.weight;
  flow.cost[IndexOf(request.priority)] += request.cost;
  total_cost_ += request.cost;
  ++size_;
  return flow;
}

void FairQueue::Push(QueuedRequest request) {
  Flow& flow = Activate(request);
  flow.queues[IndexOf(request.priority)].push_back(std::move(request));
}

void FairQueue::PushFront(QueuedRequest request) {
  Flow& flow = Activate(request);
  flow.queues[IndexOf(request.priority)].push_front(std::move(request));
}

void FairQueue::DeactivateIfEmpty(const WorkspaceName& workspace) {
  const auto found = flows_.find(workspace);
  if (found == flows_.end() || !found->second.empty()) return;
  total_weight_ -= found->second.weight;
  flows_.erase(found);
  active_.erase(std::find(active_.begin(), active_.end(), workspace));
}

QueuedRequest FairQueue::PopHead(Flow& flow) {
  auto& queue = flow.FirstQueue();
  QueuedRequest request = std::move(queue.front());
  queue.pop_front();
  RecordRemoval(flow, request);
  return request;
}

void FairQueue::RecordRemoval(Flow& flow, const QueuedRequest& request) {
  flow.cost[IndexOf(request.priority)] -= request.cost;
  total_cost_ -= request.cost;
  // Clears the rounding errors of the sum.
  if (--size_ == 0) total_cost_ = 0.0;
}

std::optional<QueuedRequest> FairQueue::Pop() {
  while (!active_.empty()) {
    Flow& flow = flows_.at(active_.front());
    if (!flow.visited) flow.deficit += kQuantum * flow.weight;
    flow.visited = true;
    const double cost = flow.FirstQueue().front().cost;
    if (cost <= flow.deficit) {
      flow.deficit -= cost;
      QueuedRequest request = PopHead(flow);
      DeactivateIfEmpty(request.workspace);
      return request;
    }
    flow.visited = false;
    active_.push_back(std::move(active_.front()));
    active_.pop_front();
  }
  return std::nullopt;
}

std::optional<QueuedRequest> FairQueue::PopOldest() {
  const auto oldest = std::min_element(
      flows_.begin(), flows_.end(), [](auto& one, auto& other) {
        return one.second.FirstQueue().front().queued_at <
               other.second.FirstQueue().front().queued_at;
      });
  if (oldest == flows_.end()) return std::nullopt;
  QueuedRequest request = PopHead(oldest->second);
  DeactivateIfEmpty(request.workspace);
  return request;
}

bool FairQueue::Remove(TicketNumber ticket) {
  for (auto& [workspace, flow] : flows_) {
    for (std::size_t i = 0; i < kPriorities; ++i) {
      auto& queue = flow.queues[i];
      const auto found = std::find_if(
          queue.begin(), queue.end(),
          [ticket](const auto& request) { return request.ticket == ticket; });
      if (found == queue.end()) continue;
      RecordRemoval(flow, *found);
      queue.erase(found);
      DeactivateIfEmpty(WorkspaceName(workspace));
      return true;
    }
  }
  return false;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (const auto& [workspace, flow] : flows_) {
    for (const auto& queue : flow.queues) {
      for (const auto& request : queue) {
        if (request.latest_start < now) expired.push_back(request);
      }
    }
  }
  for (const auto& request : expired) Remove(request.ticket);
  return expired;
}

double FairQueue::SumCostAhead(const WorkspaceName& workspace,
                               Priority priority) const {
  const auto found = flows_.find(workspace);
  if (found == flows_.end()) return 0.0;
  double cost = 0.0;
  for (std::size_t i = 0; i <= IndexOf(priority); ++i) {
    cost += std::max(0.0, found->second.cost[i]);
  }
  return cost;
}

double FairQueue::SumOtherCost(const WorkspaceName& workspace,
                               double rounds) const {
  double sum = 0.0;
  for (const auto& [name, flow] : flows_) {
    if (name == workspace) continue;
    const double waiting =
        std::accumulate(flow.cost.begin(), flow.cost.end(), 0.0);
    sum += std::min(std::max(0.0, waiting), rounds * flow.weight);
  }
  return sum;
}

double FairQueue::SumOtherWeights(const WorkspaceName& workspace) const {
  const auto found = flows_.find(workspace);
  return total_weight_ - (found == flows_.end() ? 0 : found->second.weight);
}

}  // namespace wisteriayoke
