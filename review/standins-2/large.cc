// Requests with large bodies, inside the limits of the configuration.
#include <algorithm>

#include "scenarios.h"

namespace rig {
namespace {

constexpr int kDaemons = 4;
constexpr int kStreamCallers = 25;  ///< At each daemon.
constexpr double kLengthS = 60;
/// The configuration has MaxBodyBytes 4,194,304.
constexpr std::size_t kLargeBody = 4'000'000;
constexpr std::size_t kSmallBody = 800;

struct Tally {
  int sent = 0;
  int served = 0;
  int refused = 0;  ///< 429 or 503.
  int unanswered = 0;

  void Add(const Answer& answer) {
    ++sent;
    if (!answer.complete) {
      ++unanswered;
    } else if (answer.status == 200) {
      ++served;
    } else if (answer.status == 429 || answer.status == 503) {
      ++refused;
    }
  }
  double Share() const {
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
  }
  std::string Show() const {
    return std::to_string(served) + " of " + std::to_string(sent) +
           " served, " + std::to_string(refused) + " refused, " +
           std::to_string(unanswered) + " ended without an answer";
  }
};

struct Counts {
  bool stop = false;
  bool counting = false;
  Tally streams;
  Tally kept;   ///< Holds on kept channels.
  Tally fresh;  ///< Holds on new channels.
  int ready = 0;
  int not_ready = 0;
};

Task Hold(Daemon& daemon, bool keep, Counts& counts) {
  Caller caller(daemon.front_host(), daemon.front_port());
  while (!counts.stop) {
    const std::string attempt = NewAttempt();
    const bool counted = counts.counting;
    const Answer answer =
        co_await caller.Send("POST", "/puxa403/2f", PlainFields(attempt, 1500),
                             "hold " + attempt, 1.5);
    if (counted) (keep ? counts.kept : counts.fresh).Add(answer);
    if (!keep || !answer.complete) caller.Drop();
    co_await Sleep(0.3);
  }
}

Task AskReady(Daemon& daemon, Counts& counts) {
  while (!counts.stop) {
    Caller caller(daemon.front_host(), daemon.ready_port());
    const bool counted = counts.counting;
    const Answer answer = co_await caller.Send("GET", "/-/ready", {}, "", 0.9);
    if (counted) {
      ++(answer.complete && answer.status == 200 ? counts.ready
                                                 : counts.not_ready);
    }
    caller.Drop();
    co_await Sleep(1);
  }
}

/// A caller that sends one stream after the other.
Task Stream(Daemon& daemon, Counts& counts) {
  while (!counts.stop) {
    Caller caller(daemon.front_host(), daemon.front_port());
    const std::string attempt = NewAttempt();
    std::string parts = Hex(Random() % 60 + 1000);
    parts += ":40";
    const Caller::Fields fields = StreamFields(attempt, parts);
    std::string body(Trouble() ? kLargeBody : kSmallBody, 'p');
    const Answer answer = co_await caller.Send("POST", "/lohu930/2f", fields,
                                               std::move(body), 20);
    if (counts.counting) counts.streams.Add(answer);
    if (!answer.complete) co_await Sleep(2);
  }
}

}  // namespace

/// A few large requests that are being served shut out all others.
Async<int> LargeBodies() {
  Store store(1, 8223);
  const Json kinds = Json::array(
      {{{"Name", "a100s"}, {"Mb", 36000.0}, {"pace", 3.1}, {"ReadX", 3.2}}});
  Json routes =
      Json::array({StreamRoute("r-note", "/lohu930/", "writers")});
  const Json services = {ModelService("writers", kinds),
                         {{"Name", "booking"},
                          {"HealthPath", "/health"},
                          {"MaxConnections", 110},
                          {"Protocol", "h1"},
                          {"Tls", false}}};
  store.Put("op", "config", Config(7, routes, services));
  std::vector<std::shared_ptr<Server>> servers;
  for (int n = 1; n <= 6; ++n) {
    servers.push_back(std::make_shared<Server>(
        store, "i-writer" + std::to_string(n), 30 + n, 8080,
        Server::Options{.service = "writers", .kind = "a100s", .slots = 192},
        StreamWork(0.06, 0.09, 170)));
    servers.back()->Start();
  }
  for (int n = 1; n <= 3; ++n) {
    servers.push_back(std::make_shared<Server>(
        store, "i-booking" + std::to_string(n), 50 + n, 8044,
        Server::Options{.service = "booking", .slots = 6}, PlainWork(0.06)));
    servers.back()->Start();
  }
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int n = 1; n <= kDaemons; ++n) {
    daemons.push_back(std::make_unique<Daemon>(n, kDaemons, store.address()));
    daemons.back()->Start();
  }
  for (auto& daemon : daemons) {
    if (!co_await WaitReady(*daemon, 12)) co_return 2;
  }
  co_await Sleep(1);
  routes.push_back(PlainRoute("r-hold", "/puxa403/", "non_idempotent",
                              "booking", 800, 300, 1));
  store.Put("op", "config", Config(9, routes, services));
  Record("configuration 9 adds the route /puxa403/");
  co_await Sleep(4);

  Counts counts;
  for (auto& daemon : daemons) {
    for (int n = 0; n < 4; ++n) {
      Spawn(Hold(*daemon, true, counts));
      Spawn(Hold(*daemon, false, counts));
    }
    Spawn(AskReady(*daemon, counts));
  }
  counts.counting = true;
  co_await Sleep(5);
  Record("holds on kept channels before: " + counts.kept.Show());
  Record("holds on new channels before: " + counts.fresh.Show());
  counts.counting = false;
  co_await Sleep(0.5);
  counts.kept = counts.fresh = Tally();
  counts.ready = counts.not_ready = 0;
  counts.counting = true;
  for (int n = 0; n < kStreamCallers; ++n) {
    for (auto& daemon : daemons) Spawn(Stream(*daemon, counts));
    co_await Sleep(0.1);
  }
  Record("all callers of streams have begun");
  const double until = Now() + kLengthS;
  while (Now() < until) {
    co_await Sleep(5);
    std::string text = "memory in MB:";
    for (auto& daemon : daemons) {
      text += " " + std::to_string(daemon->ResidentMb());
    }
    Record(text + "; holds on kept channels so far: " + counts.kept.Show());
  }
  counts.counting = false;
  counts.stop = true;
  co_await Sleep(2);
  Record("streams on the first route: " + counts.streams.Show());
  Record("holds on kept channels: " + counts.kept.Show());
  Record("holds on new channels: " + counts.fresh.Show());
  Record("ready questions: " + std::to_string(counts.ready) +
         " with 200, " + std::to_string(counts.not_ready) + " without");
  Tally holds = counts.kept;
  holds.sent += counts.fresh.sent;
  holds.served += counts.fresh.served;
  Record("the route that was added later is served " +
         std::to_string(holds.Share()) + ", the first route " +
         std::to_string(counts.streams.Share()) +
         " (CONFIG allows no less than a quarter)");
  if (holds.sent < 20 || counts.streams.Share() < 0.5) co_return 2;
  co_return holds.Share() * 4 < counts.streams.Share() ? 1 : 0;
}

}  // namespace rig
