#include <doctest/doctest.h>

#include "decisions/priority_simulation.h"

namespace wisteriayoke {
namespace {

/// Draws three ranks, a quarter each of the two most urgent.
std::pair<unsigned, std::string> DrawRank(std::mt19937_64& random) {
  const unsigned draw = random() % 4;
  return {std::min(draw, 2U), "w" + std::to_string(random() % 6)};
}

GroupOutcome Sum(const PrioritySimulation& simulation) {
  GroupOutcome sum;
  for (const auto& [rank, group] : simulation.by_rank) {
    sum.requests += group.requests;
    sum.served += group.served;
    sum.in_time += group.in_time;
    sum.refused_after_wait += group.refused_after_wait;
  }
  return sum;
}

GroupOutcome Share(GroupOutcome group) {
  return {group.requests, group.served / group.requests,
          group.in_time / group.requests,
          group.refused_after_wait / group.requests};
}

std::string Describe(const GroupOutcome& group) {
  const GroupOutcome share = Share(group);
  return std::to_string(share.served) + " served, " +
         std::to_string(share.in_time) + " in time, " +
         std::to_string(share.refused_after_wait) + " refused after a wait; ";
}

/// Runs a load twice, with the queue without ranks as the baseline.
struct Pair {
  PrioritySimulation baseline;
  PrioritySimulation ranked;

  Pair(std::size_t daemons, int places)
      : baseline(false, daemons, places), ranked(true, daemons, places) {}

  template <typename Load>
  void Run(const char* what, Load load) {
    for (auto* simulation : {&baseline, &ranked}) {
      load(*simulation);
      simulation->Run();
    }
    std::string text;
    for (auto* simulation : {&baseline, &ranked}) {
      text += simulation == &baseline ? "baseline: " : " ranked: ";
      for (const auto& [rank, group] : simulation->by_rank) {
        text += "rank " + std::to_string(rank) + " " + Describe(group);
      }
      text += "value " + std::to_string(Share(Sum(*simulation)).value());
    }
    MESSAGE(std::string(what), ": ", text);
  }
};

/// Returns the requests a second that `places` serve.
double RateOf(int places) {
  return places * 1000.0 / PrioritySimulation::kMeanHold;
}

}  // namespace

// Load: one and a half times the capacity for ten seconds. Guards against the
// most urgent callers getting the worst service, and against ranks that cost
// more than they give.
TEST_CASE("too few places go to the more urgent of three ranks") {
  for (const auto& [daemons, places] :
       {std::pair{4, 200}, {28, 400}, {71, 600}}) {
    Pair pair(static_cast<std::size_t>(daemons), places);
    pair.Run(("daemons: " + std::to_string(daemons)).c_str(),
             [places = places](PrioritySimulation& simulation) {
               const double rate = RateOf(places);
               simulation.AddLoad(0.7 * rate, 0, 4000, DrawRank);
               simulation.AddLoad(1.5 * rate, 4000, 14'000, DrawRank);
               simulation.AddLoad(0.7 * rate, 14'000, 22'000, DrawRank);
             });
    auto& ranks = pair.ranked.by_rank;
    CHECK(Share(ranks[0]).in_time >= 0.95);
    CHECK(Share(ranks[0]).in_time > Share(pair.baseline.by_rank[0]).in_time);
    CHECK(Share(ranks[0]).value() >= Share(ranks[1]).value());
    CHECK(Share(ranks[1]).value() >= Share(ranks[2]).value());
    // The reserve leaves a tenth of the room unused at most.
    CHECK(Sum(pair.ranked).served >= 0.9 * Sum(pair.baseline).served);
  }
}

// Load: one of six workspaces sends half of the requests of each rank, at 1.4
// times the capacity. Guards against a workspace that crowds out the others.
TEST_CASE("a workspace with half of the traffic leaves the others theirs") {
  Pair pair(4, 200);
  pair.Run("workspaces", [](PrioritySimulation& simulation) {
    simulation.AddLoad(1.4 * RateOf(200), 0, 12'000, [](auto& random) {
      const auto draw = random() % 10;
      return std::pair{static_cast<unsigned>(random() % 2),
                       "w" + std::to_string(draw < 5 ? 0 : draw - 4)};
    });
  });
  auto& workspaces = pair.ranked.by_workspace;
  for (const auto& [name, group] : workspaces) {
    MESSAGE(name, ": baseline ", Describe(pair.baseline.by_workspace[name]),
            "ranked ", Describe(group));
  }
  const double heavy = Share(workspaces["w0"]).served;
  for (const char* light : {"w1", "w2", "w3", "w4", "w5"}) {
    CHECK(Share(workspaces[light]).served >= heavy);
  }
}

// Load: 1.2 times the capacity, and a crowd of three seconds' requests at once.
// Guards against callers that return when they are refused once more.
TEST_CASE("many clients that return are served in the order of their ranks") {
  Pair pair(28, 400);
  pair.Run("returns", [](PrioritySimulation& simulation) {
    simulation.AddLoad(0.8 * RateOf(400), 0, 12'000, DrawRank);
    simulation.AddLoad(30 * RateOf(400), 3000, 3100, DrawRank);
  });
  auto& ranks = pair.ranked.by_rank;
  CHECK(Share(ranks[0]).served >= Share(ranks[2]).served);
  CHECK(Sum(pair.ranked).served >= 0.9 * Sum(pair.baseline).served);
}

// Load: two thirds of the capacity in the most urgent rank, and a burst of the
// least urgent one. Guards against a burst that fills all places.
TEST_CASE("a burst of the least urgent requests leaves room for the others") {
  Pair pair(28, 400);
  pair.Run("burst", [](PrioritySimulation& simulation) {
    const auto urgent = [](auto&) { return std::pair{0U, std::string("a")}; };
    const auto other = [](auto&) { return std::pair{2U, std::string("b")}; };
    simulation.AddLoad(0.65 * RateOf(400), 0, 12'000, urgent);
    simulation.AddLoad(3.0 * RateOf(400), 4000, 6000, other);
  });
  auto& ranks = pair.ranked.by_rank;
  CHECK(Share(ranks[0]).in_time >= 0.95);
  CHECK(Share(ranks[0]).in_time > Share(pair.baseline.by_rank[0]).in_time);
  CHECK(Share(ranks[2]).served > 0);
}

// Load: nine tenths of the capacity; all places are away for a second and
// return at once. Guards against a wave in which the urgent come last.
TEST_CASE("places that all return at once go to the more urgent first") {
  Pair pair(28, 400);
  pair.Run("return of places", [](PrioritySimulation& simulation) {
    simulation.AddLoad(0.9 * RateOf(400), 0, 10'000, DrawRank);
    simulation.TakeAway(400, 4000, 5000);
  });
  auto& ranks = pair.ranked.by_rank;
  CHECK(Share(ranks[0]).value() >= Share(ranks[1]).value());
  CHECK(Share(ranks[1]).value() >= Share(ranks[2]).value());
  CHECK(Sum(pair.ranked).served >= 0.9 * Sum(pair.baseline).served);
}

}  // namespace wisteriayoke
