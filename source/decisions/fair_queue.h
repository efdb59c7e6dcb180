#ifndef WISTERIAYOKE_DECISIONS_FAIR_QUEUE_H_
#define WISTERIAYOKE_DECISIONS_FAIR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Identifies one request that was offered for admission.
using TicketNumber = std::uint64_t;

/// A request that waits for a slot.
struct QueuedRequest {
  TicketNumber ticket = 0;
  WorkspaceName workspace;
  std::uint32_t weight = 1;
  Priority priority = Priority::kNormal;
  double cost = 1.0;  ///< Work, in units of a typical request.
  TimePoint latest_start;
  TimePoint queued_at;  ///< When it began to wait.
};

/// Deficit round robin between workspaces by weight; within a workspace by
/// priority, then by arrival.
///
/// While two workspaces both have requests queued, the costs dequeued for them,
/// each divided by the workspace's weight, differ by at most one quantum plus
/// the largest request cost of each, divided by its weight.
class FairQueue {
 public:
  /// Cost that a workspace of weight 1 may dequeue in one round.
  static constexpr double kQuantum = 1.0;

  void Push(QueuedRequest request);
  /// Queues a request that has run already before the others of its workspace
  /// and priority.
  void PushFront(QueuedRequest request);

  /// Removes and returns the next request in round-robin order, if any.
  std::optional<QueuedRequest> Pop();

  /// Removes and returns the request that has waited longest among the first
  /// requests of all workspaces, regardless of the round-robin order.
  std::optional<QueuedRequest> PopOldest();

  /// Removes a request; returns false if it isn't queued.
  bool Remove(TicketNumber ticket);

  /// Removes and returns all requests whose latest start lies before `now`.
  std::vector<QueuedRequest> TakeExpired(TimePoint now);

  /// Returns the cost of the requests of `workspace` that come before a new one
  /// of `priority`.
  double SumCostAhead(const WorkspaceName& workspace, Priority priority) const;

  /// Returns the cost that the workspaces other than `workspace` may dequeue in
  /// `rounds` rounds; for each at most the cost of its queued requests.
  double SumOtherCost(const WorkspaceName& workspace, double rounds) const;

  /// Returns the cost of all queued requests.
  double SumCost() const { return total_cost_; }

  /// Returns the sum of the weights of the workspaces with queued requests,
  /// other than `workspace`.
  double SumOtherWeights(const WorkspaceName& workspace) const;

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

 private:
  static constexpr std::size_t kPriorities = 3;

  struct Flow {
    std::array<std::deque<QueuedRequest>, kPriorities> queues;
    std::array<double, kPriorities> cost{};
    std::uint32_t weight = 1;
    double deficit = 0.0;
    bool visited = false;  ///< Whether it got its quantum on this visit.

    bool empty() const;
    std::deque<QueuedRequest>& FirstQueue();
  };

  Flow& Activate(const QueuedRequest& request);
  void DeactivateIfEmpty(const WorkspaceName& workspace);
  QueuedRequest PopHead(Flow& flow);
  void RecordRemoval(Flow& flow, const QueuedRequest& request);

  std::map<WorkspaceName, Flow> flows_;  ///< Workspaces with queued requests.
  std::deque<WorkspaceName> active_;     ///< The same, in round-robin order.
  std::size_t size_ = 0;
  double total_weight_ = 0.0;
  double total_cost_ = 0.0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_FAIR_QUEUE_H_
