#include "decisions/ranked_queue.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "decisions/place_queue.h"
#include "decisions/retry_budget.h"

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr double kHighRate = 1000;

PlaceRequest MakeRequest(unsigned rank, const std::string& workspace = "w",
                         Duration age = Duration::zero()) {
  return {RequestRank{rank}, WorkspaceName(workspace),
          kNow + milliseconds(150) - age, kNow + milliseconds(1600) - age};
}

PlaceTicket Join(RankedQueue& queue, const PlaceRequest& request) {
  const auto result = queue.Join(request, kHighRate, kNow);
  REQUIRE(std::holds_alternative<PlaceTicket>(result));
  return std::get<PlaceTicket>(result);
}

std::optional<PlaceRule> RuleOf(RankedQueue& queue, const PlaceRequest& request,
                                double rate) {
  const auto result = queue.Join(request, rate, kNow);
  const auto* rule = std::get_if<PlaceRule>(&result);
  return rule == nullptr ? std::nullopt : std::optional(*rule);
}

std::vector<PlaceTicket> TakeAll(RankedQueue& queue) {
  std::vector<PlaceTicket> order;
  while (const auto next = queue.Next(kNow)) {
    order.push_back(*next);
    queue.Take(*next, kNow);
  }
  return order;
}

}  // namespace

// Guards against a late request that takes the place of one that can still be
// answered in time.
TEST_CASE("requests go by rank, then those in time, then by arrival") {
  RankedQueue queue;
  const auto late = Join(queue, MakeRequest(0, "w", milliseconds(500)));
  const auto other = Join(queue, MakeRequest(2));
  const auto timely = Join(queue, MakeRequest(0));
  const auto second = Join(queue, MakeRequest(0));
  CHECK(TakeAll(queue) ==
        std::vector<PlaceTicket>{timely, second, late, other});
}

// Guards against requests that are refused although all get their places: an
// arrival with little time measured the whole queue by its own time.
TEST_CASE("an arrival that has little time displaces nobody in vain") {
  RankedQueue queue;
  constexpr double kRate = 10;
  for (int i = 0; i < 8; ++i) {
    CHECK_FALSE(RuleOf(queue, MakeRequest(2), kRate).has_value());
  }
  PlaceRequest hurried = MakeRequest(0);
  hurried.leaves_at = kNow + milliseconds(400);
  CHECK_FALSE(RuleOf(queue, hurried, kRate).has_value());
  CHECK(queue.waiting() == 9);
}

TEST_CASE("the workspaces of a rank take turns") {
  RankedQueue queue;
  const auto a1 = Join(queue, MakeRequest(0, "a"));
  const auto a2 = Join(queue, MakeRequest(0, "a"));
  const auto a3 = Join(queue, MakeRequest(0, "a"));
  const auto b1 = Join(queue, MakeRequest(0, "b"));
  const auto b2 = Join(queue, MakeRequest(0, "b"));
  CHECK(TakeAll(queue) == std::vector<PlaceTicket>{a1, b1, a2, b2, a3});
}

// Guards against starvation of the less urgent ranks.
TEST_CASE("a twentieth of the places goes to the ranks below the top one") {
  RankedQueue queue;
  for (int i = 0; i < 100; ++i) Join(queue, MakeRequest(0));
  const auto middle = Join(queue, MakeRequest(1));
  const auto last = Join(queue, MakeRequest(2));
  queue.RecordArrival(RequestRank{0}, kNow);
  const auto order = TakeAll(queue);
  CHECK(order[RankedQueue::kTurnOfOthers - 1] == middle);
  CHECK(order[2 * RankedQueue::kTurnOfOthers - 1] == last);
}

TEST_CASE("an urgent request displaces the least urgent of a full queue") {
  RankedQueue queue;
  const double rate = 2;  // Three places within the callers' patience.
  CHECK_FALSE(RuleOf(queue, MakeRequest(1), rate));
  const auto last = queue.Join(MakeRequest(2), rate, kNow);
  REQUIRE(std::holds_alternative<PlaceTicket>(last));
  CHECK_FALSE(RuleOf(queue, MakeRequest(1), rate));
  CHECK(RuleOf(queue, MakeRequest(2), rate) == PlaceRule::kWaitTooLong);
  CHECK_FALSE(RuleOf(queue, MakeRequest(0), rate));
  CHECK_FALSE(queue.Contains(std::get<PlaceTicket>(last)));
}

// Guards against requests that are held and refused afterwards, although it is
// known at their arrival that no place becomes free in time.
TEST_CASE("late requests join only as far as such get places") {
  RankedQueue queue;
  constexpr int kWaiting = 10;
  std::vector<PlaceTicket> waiting;
  waiting.reserve(kWaiting);
  for (int i = 0; i < kWaiting; ++i) {
    waiting.push_back(Join(queue, MakeRequest(0, "w", milliseconds(1000))));
  }
  const TimePoint end = kNow + milliseconds(700);
  for (const auto ticket : waiting) queue.Expire(ticket, end);
  Join(queue, MakeRequest(0, "w", milliseconds(200)));
  Join(queue, MakeRequest(0, "w", milliseconds(200)));
  CHECK(RuleOf(queue, MakeRequest(0, "w", milliseconds(200)), kHighRate) ==
        PlaceRule::kWaitTooLong);
}

// Guards against room that is kept idle while the more urgent lack none, and
// against none that is kept while they do.
TEST_CASE("the last tenth of the room is for the ranks that lacked a place") {
  RankedQueue queue;
  queue.RecordArrival(RequestRank{2}, kNow);
  queue.RecordArrival(RequestRank{1}, kNow);
  CHECK(queue.RoomShare(RequestRank{2}, kNow) == 1.0);
  Join(queue, MakeRequest(1));
  CHECK(queue.RoomShare(RequestRank{2}, kNow) == RankedQueue::kOpenShare);
  CHECK(queue.RoomShare(RequestRank{1}, kNow) == 1.0);
  CHECK(queue.RoomShare(RequestRank{0}, kNow) == 1.0);
  queue.RecordArrival(RequestRank{2}, kNow + seconds(1));
  const TimePoint later = kNow + RecentRanks::kRecent;
  CHECK(queue.RoomShare(RequestRank{2}, later) == 1.0);
}

// Guards against urgent callers that return behind all others.
TEST_CASE("more urgent callers are told to return earlier") {
  PlaceQueue queue;
  Duration other{};
  for (int i = 0; i < 8; ++i) {
    other = queue.ScheduleReturn(milliseconds(250), seconds(6), kNow,
                                 RequestRank{1});
  }
  const Duration urgent =
      queue.ScheduleReturn(milliseconds(250), seconds(6), kNow, RequestRank{0});
  CHECK(urgent < other);
}

TEST_CASE("a fifth of the retry budget is for the most urgent rank") {
  RetryBudget budget({.share = 0, .max_balance = 10});
  int others = 0;
  const RetryRequest other{.may_have_run = false, .uses_reserve = false};
  while (budget.TakeRetry(other) == RetryDecision::kAllowed) ++others;
  CHECK(others == 8);
  const RetryRequest urgent{.may_have_run = false};
  CHECK(budget.TakeRetry(urgent) == RetryDecision::kAllowed);
  CHECK(budget.TakeRetry(urgent) == RetryDecision::kAllowed);
  CHECK(budget.TakeRetry(urgent) == RetryDecision::kBudgetSpent);
}

}  // namespace wisteriayoke
