#include "decisions/fair_queue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace wisteriayoke {
namespace {

QueuedRequest MakeRequest(TicketNumber ticket, int workspace,
                          std::uint32_t weight, double cost) {
  QueuedRequest request;
  request.ticket = ticket;
  request.workspace = WorkspaceName(std::to_string(workspace));
  request.weight = weight;
  request.cost = cost;
  return request;
}

}  // namespace

TEST_CASE("waiting workspaces get work by weight within one quantum and cost") {
  CHECK(rc::check("shares", [] {
    constexpr double kMaxCost = 4.0;
    constexpr int kRequests = 400;
    const auto weights = *rc::gen::container<std::vector<std::uint32_t>>(
        3, rc::gen::inRange<std::uint32_t>(1, 5));
    FairQueue queue;
    TicketNumber ticket = 0;
    for (int workspace = 0; workspace < 3; ++workspace) {
      for (int i = 0; i < kRequests; ++i) {
        const double cost = *rc::gen::inRange(1, 17) * kMaxCost / 16.0;
        queue.Push(MakeRequest(++ticket, workspace,
                               weights[static_cast<std::size_t>(workspace)],
                               cost));
      }
    }
    std::vector<double> served(3, 0.0);
    for (int i = 0; i < 200; ++i) {
      const auto request = queue.Pop();
      RC_ASSERT(request.has_value());
      const auto w =
          static_cast<std::size_t>(std::stoi(request->workspace.text()));
      served[w] += request->cost / weights[w];
      for (std::size_t a = 0; a < 3; ++a) {
        for (std::size_t b = 0; b < 3; ++b) {
          const double bound = FairQueue::kQuantum + kMaxCost / weights[a] +
                               kMaxCost / weights[b];
          RC_ASSERT(served[a] - served[b] <= bound);
        }
      }
    }
  }));
}

TEST_CASE("every request leaves the queue once, in its workspace's order") {
  CHECK(rc::check("conservation", [] {
    FairQueue queue;
    TicketNumber ticket = 0;
    std::map<std::string, TicketNumber> last;
    std::size_t expected = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
      if (step < 4) {
        queue.Push(MakeRequest(++ticket, step, 1, 0.5 * (step + 1)));
        ++expected;
      } else if (step == 4) {
        const auto request = queue.Pop();
        RC_ASSERT(request.has_value() == (expected > 0));
        if (!request) continue;
        --expected;
        TicketNumber& previous = last[request->workspace.text()];
        RC_ASSERT(previous < request->ticket);
        previous = request->ticket;
      } else if (ticket > 0 && queue.Remove(ticket)) {
        --expected;
      }
      RC_ASSERT(queue.size() == expected);
    }
  }));
}

TEST_CASE("within a workspace a higher priority goes first") {
  FairQueue queue;
  QueuedRequest low = MakeRequest(1, 0, 1, 1.0);
  low.priority = Priority::kLow;
  QueuedRequest high = MakeRequest(2, 0, 1, 1.0);
  high.priority = Priority::kHigh;
  queue.Push(low);
  queue.Push(high);
  CHECK(queue.SumCostAhead(WorkspaceName("0"), Priority::kHigh) == 1.0);
  CHECK(queue.SumCostAhead(WorkspaceName("0"), Priority::kLow) == 2.0);
  CHECK(queue.Pop()->ticket == 2);
  CHECK(queue.Pop()->ticket == 1);
}

}  // namespace wisteriayoke
