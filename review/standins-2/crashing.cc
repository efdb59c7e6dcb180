// Requests and prompt parts that crash the servers that run them.
#include <algorithm>
#include <csignal>

#include "scenarios.h"

namespace rig {
namespace {

using Daemons = std::vector<std::unique_ptr<Daemon>>;

constexpr double kStabilityS = 3.0;

/// Starts `count` daemons and waits until they are ready.
Async<bool> StartDaemons(Daemons& daemons, int count, const Store& store) {
  for (int n = 1; n <= count; ++n) {
    daemons.push_back(std::make_unique<Daemon>(n, count, store.address()));
    daemons.back()->Start();
  }
  for (auto& daemon : daemons) {
    if (!co_await WaitReady(*daemon, 12)) {
      Record("could not run: " + daemon->name() + " is not ready");
      co_return false;
    }
  }
  co_return true;
}

std::string Show(const Answer& answer) {
  return answer.complete ? std::to_string(answer.status)
                         : "no whole answer (" + answer.error + ")";
}

struct Bookings {
  int served = 0;
  std::set<std::string> run;  ///< Holds that a server has begun to run.
  std::vector<double> lost;   ///< When holds that had begun to run failed.
};

/// A client that sends sound bookings one after the other on a kept channel.
Task KeepBooking(Daemon& daemon, double gap_s, const bool& stop,
                 Bookings& bookings) {
  Caller caller(daemon.front_host(), daemon.front_port());
  while (!stop) {
    const std::string attempt = NewAttempt();
    const Answer answer =
        co_await caller.Send("POST", "/puxa403/2f", PlainFields(attempt, 1500),
                             "hold " + attempt, 1.5);
    if (answer.complete && answer.status == 200) {
      ++bookings.served;
    } else if (bookings.run.contains(attempt)) {
      bookings.lost.push_back(Now());
    }
    if (!answer.complete) caller.Drop();
    co_await Sleep(gap_s);
  }
}

}  // namespace

/// The daemons that restarted have forgotten which request crashes servers.
Async<int> CrashingRequestAfterRestarts() {
  static const char kPoison[] = "/cufi504/fi50/2f";
  Store store(1, 8223);
  store.Put("op", "config",
            Config(7,
                   {PlainRoute("r-hold", "/puxa403/", "non_idempotent",
                               "booking", 800, 300, 1),
                    PlainRoute("r-read", "/cufi504/", "idempotent", "booking",
                               800, 300, 2)},
                   {{{"Name", "booking"},
                     {"HealthPath", "/health"},
                     {"MaxConnections", 110},
                     {"Protocol", "h1"},
                     {"Tls", false}}}));
  struct Arrival {
    double at;
    std::string server;
  };
  auto arrivals = std::make_shared<std::vector<Arrival>>();
  auto crashes = std::make_shared<std::vector<double>>();
  const auto bookings = std::make_shared<Bookings>();
  const Work plain = PlainWork(0.06);
  const Work work = [=](Server& server, ChannelPtr channel,
                        Message request) -> Task {
    if (request.Target() != kPoison) {
      bookings->run.insert(request.Field("Attempt-Id"));
      return plain(server, std::move(channel), std::move(request));
    }
    arrivals->push_back({Now(), server.id()});
    Record("server " + server.id() + " begins to run the crashing request");
    return [](std::shared_ptr<Server> server,
              std::shared_ptr<std::vector<double>> crashes) -> Task {
      co_await Sleep(0.02);
      if (!server->up()) co_return;
      crashes->push_back(Now());
      server->Crash();
    }(server.shared_from_this(), crashes);
  };
  std::vector<std::shared_ptr<Server>> servers;
  for (int n = 1; n <= 4; ++n) {
    servers.push_back(std::make_shared<Server>(
        store, "i-booking" + std::to_string(n), 50 + n, 8044,
        Server::Options{.service = "booking", .slots = 6, .down_s = 2.0},
        work));
    servers.back()->Start();
  }
  Daemons daemons;
  if (!co_await StartDaemons(daemons, 4, store)) co_return 2;
  bool stop = false;
  for (auto& daemon : daemons) {
    for (int n = 0; n < 3; ++n) {
      Spawn(KeepBooking(*daemon, 0.1, stop, *bookings));
    }
  }
  co_await Sleep(kStabilityS + 0.5);

  // The same request of the same caller, with another id.
  const auto send = [&](Daemon& daemon) -> Task {
    return [](Daemon& daemon) -> Task {
      Caller caller(daemon.front_host(), daemon.front_port());
      const Answer answer = co_await caller.Send(
          "GET", kPoison, PlainFields(NewAttempt(), 1500), "", 1.5);
      Record("crashing request at " + daemon.name() + ": " + Show(answer));
    }(daemon);
  };
  for (int n = 0; n < 4 && crashes->size() < 3; ++n) {
    co_await send(*daemons[n]);
    co_await Sleep(2.6);
  }
  if (crashes->size() < 3) {
    Record("could not run: the request did not crash three servers");
    co_return 2;
  }
  const double judged_from = crashes->at(2) + kStabilityS;
  Record("third crash at " + std::to_string(crashes->at(2)));
  co_await Sleep(kStabilityS + 1);
  for (auto& daemon : daemons) co_await send(*daemon);

  // Two of the four daemons are restarted, one after the other, as planned.
  for (int n = 0; n < 2; ++n) {
    Daemon& daemon = *daemons[n];
    if (Trouble()) {
      Record(daemon.name() + " gets SIGTERM");
      daemon.Signal(SIGTERM);
      const double until = Now() + 8;
      while (daemon.Running() && Now() < until) co_await Sleep(0.02);
      if (daemon.Running()) {
        daemon.Signal(SIGKILL);
        while (daemon.Running()) co_await Sleep(0.02);
      }
      co_await Sleep(0.3);
      daemon.Start();
      if (!co_await WaitReady(daemon, 10)) {
        Record("could not run: " + daemon.name() + " is not ready again");
        co_return 2;
      }
    } else {
      co_await Sleep(4);
    }
    // From here on the daemon is in touch again.
    co_await Sleep(kStabilityS + 1);
    for (int i = 0; i < 3; ++i) {
      co_await send(daemon);
      co_await Sleep(2.6);
    }
  }
  stop = true;
  int late = 0;
  for (const auto& arrival : *arrivals) {
    if (arrival.at > judged_from) ++late;
  }
  const auto lost = std::count_if(
      bookings->lost.begin(), bookings->lost.end(),
      [judged_from](double at) { return at > judged_from; });
  Record("sound bookings served: " + std::to_string(bookings->served) +
         "; had begun to run and were lost in these later crashes: " +
         std::to_string(lost));
  Record("crashes of servers in all: " + std::to_string(crashes->size()));
  Record("arrivals at servers later than StabilityMs after the third crash: " +
         std::to_string(late) + " (BUDGET allows 3)");
  if (bookings->served < 50) co_return 2;
  co_return late > 3 ? 1 : 0;
}

/// A prompt part crashes servers while hardly any other stream is sent.
Async<int> CrashingPartAtLowTraffic() {
  static const char kShared[] = "5c1e07a2:300";
  static const std::string kPoison = "91bd3f06";
  Store store(1, 8223);
  const Json kinds = Json::array(
      {{{"Name", "a100s"}, {"Mb", 36000.0}, {"pace", 3.1}, {"ReadX", 3.2}}});
  store.Put("op", "config",
            Config(7,
                   {PlainRoute("r-hold", "/puxa403/", "non_idempotent",
                               "booking", 800, 300, 1),
                    StreamRoute("r-note", "/lohu930/", "writers")},
                   {ModelService("writers", kinds),
                    {{"Name", "booking"},
                     {"HealthPath", "/health"},
                     {"MaxConnections", 110},
                     {"Protocol", "h1"},
                     {"Tls", false}}}));
  struct Arrival {
    double at;
    std::string request;
  };
  auto arrivals = std::make_shared<std::vector<Arrival>>();
  auto crashes = std::make_shared<std::vector<double>>();
  const Work stream = StreamWork(0.03, 0.02, 40);
  const Work work = [=](Server& server, ChannelPtr channel,
                        Message request) -> Task {
    const bool crashing =
        Trouble() && request.Field("Prompt-Prefix").find(kPoison) !=
                         std::string::npos;
    if (!crashing) return stream(server, std::move(channel), request);
    arrivals->push_back({Now(), request.Field("Attempt-Id")});
    Record("server " + server.id() + " begins to run " +
           request.Field("Attempt-Id") + ", which holds the crashing part");
    return [](std::shared_ptr<Server> server,
              std::shared_ptr<std::vector<double>> crashes) -> Task {
      co_await Sleep(0.03);
      if (!server->up()) co_return;
      crashes->push_back(Now());
      server->Crash();
    }(server.shared_from_this(), crashes);
  };
  std::vector<std::shared_ptr<Server>> servers;
  for (int n = 1; n <= 6; ++n) {
    servers.push_back(std::make_shared<Server>(
        store, "i-writer" + std::to_string(n), 30 + n, 8080,
        Server::Options{.service = "writers",
                        .kind = "a100s",
                        .slots = 192,
                        .down_s = 2.5},
        work));
    servers.back()->Start();
  }
  for (int n = 1; n <= 3; ++n) {
    servers.push_back(std::make_shared<Server>(
        store, "i-booking" + std::to_string(n), 50 + n, 8044,
        Server::Options{.service = "booking", .slots = 6}, PlainWork(0.06)));
    servers.back()->Start();
  }
  Daemons daemons;
  if (!co_await StartDaemons(daemons, 4, store)) co_return 2;
  bool stop = false;
  Bookings bookings;
  for (auto& daemon : daemons) {
    Spawn(KeepBooking(*daemon, 0.6, stop, bookings));
  }
  co_await Sleep(kStabilityS + 2);

  // One stream every five seconds; each ninth is sound, and shares the caller
  // and the other parts.
  int sound = 0;
  int whole = 0;
  double fifth = 0;
  for (int n = 0; n < 18; ++n) {
    Daemon& daemon = *daemons[Random() % daemons.size()];
    const bool is_sound = n % 9 == 0;
    const std::string parts =
        std::string(kShared) + "," +
        (is_sound ? "a7713c55:210" : kPoison + ":210");
    const std::string attempt = NewAttempt();
    Caller caller(daemon.front_host(), daemon.front_port());
    const double sent = Now();
    const Answer answer = co_await caller.Send(
        "POST", "/lohu930/2f", StreamFields(attempt, parts),
        "prompt " + attempt, 20);
    Record(std::string(is_sound ? "sound stream " : "stream with the part ") +
           attempt + " at " + daemon.name() + ": " + Show(answer));
    if (is_sound) {
      ++sound;
      if (answer.complete && answer.status == 200) ++whole;
    }
    if (fifth == 0 && crashes->size() >= 5) fifth = crashes->at(4);
    const double left = 5.0 - (Now() - sent);
    if (left > 0) co_await Sleep(left);
  }
  stop = true;
  std::set<std::string> late;
  int late_arrivals = 0;
  for (const auto& arrival : *arrivals) {
    if (fifth == 0 || arrival.at <= fifth + kStabilityS) continue;
    late.insert(arrival.request);
    ++late_arrivals;
  }
  Record("sound streams answered: " + std::to_string(whole) + " of " +
         std::to_string(sound) +
         "; bookings served: " + std::to_string(bookings.served));
  Record("crashes of servers in all: " + std::to_string(crashes->size()));
  Record("requests with the part that reached servers later than StabilityMs "
         "after the fifth crash: " +
         std::to_string(late.size()) + ", in " +
         std::to_string(late_arrivals) + " arrivals (BUDGET allows 3)");
  if (bookings.served < 50 || sound == 0) co_return 2;
  if (!Trouble() && whole < sound) co_return 2;
  co_return late.size() > 3 ? 1 : 0;
}

/// The part that all requests of a tenant begin with is blocked together with
/// the part that crashes servers.
Async<int> SharedPartBlocked() {
  static const char kFirst[] = "5c1e07a2:300";
  static const std::string kPoison = "91bd3f06";
  constexpr int kBatch = 8;
  Store store(1, 8223);
  const Json kinds = Json::array(
      {{{"Name", "a100s"}, {"Mb", 36000.0}, {"pace", 3.1}, {"ReadX", 3.2}}});
  store.Put("op", "config",
            Config(7,
                   Json::array({StreamRoute("r-note", "/lohu930/", "writers")}),
                   Json::array({ModelService("writers", kinds)})));
  auto crashes = std::make_shared<std::vector<double>>();
  auto begun = std::make_shared<std::set<std::string>>();
  const Work stream = StreamWork(0.03, 0.02, 40);
  const Work work = [=](Server& server, ChannelPtr channel,
                        Message request) -> Task {
    const bool crashing =
        Trouble() && request.Field("Prompt-Prefix").find(kPoison) !=
                         std::string::npos;
    if (!crashing) {
      begun->insert(request.Field("Attempt-Id"));
      return stream(server, std::move(channel), request);
    }
    return [](std::shared_ptr<Server> server, std::string attempt,
              std::shared_ptr<std::vector<double>> crashes) -> Task {
      co_await Sleep(0.03);
      if (!server->up()) co_return;
      Record("server " + server->id() + " begins to run " + attempt +
             ", which holds the crashing part");
      crashes->push_back(Now());
      server->Crash();
    }(server.shared_from_this(), request.Field("Attempt-Id"), crashes);
  };
  std::vector<std::shared_ptr<Server>> servers;
  for (int n = 1; n <= 12; ++n) {
    servers.push_back(std::make_shared<Server>(
        store, "i-writer" + std::to_string(n), 30 + n, 8080,
        Server::Options{.service = "writers",
                        .kind = "a100s",
                        .slots = 192,
                        .down_s = 2.5},
        work));
    servers.back()->Start();
  }
  Daemons daemons;
  if (!co_await StartDaemons(daemons, 4, store)) co_return 2;
  bool stop = false;
  // Other tenants: sound streams with other parts, on all daemons.
  int others = 0;
  for (auto& daemon : daemons) {
    Spawn([](Daemon& daemon, const bool& stop, int& others) -> Task {
      while (!stop) {
        Spawn([](Daemon& daemon, int& others) -> Task {
          Caller caller(daemon.front_host(), daemon.front_port());
          const std::string attempt = NewAttempt();
          std::string parts = Hex(Random() % 60 + 1000);
          parts += ":40";
          const Caller::Fields fields = StreamFields(attempt, parts, kOtherKey);
          const Answer answer = co_await caller.Send(
              "POST", "/lohu930/2f", fields, "prompt " + attempt, 20);
          if (answer.complete && answer.status == 200) ++others;
        }(daemon, others));
        co_await Sleep(0.25);
      }
    }(*daemon, stop, others));
  }
  co_await Sleep(kStabilityS + 2);

  struct Sound {
    double sent;
    int status;
  };
  std::vector<Sound> sound;
  // The tenant's sound streams: one in one and a half seconds, at any daemon.
  Spawn([](Daemons& daemons, const bool& stop,
           std::vector<Sound>& sound) -> Task {
    for (int n = 0; !stop; ++n) {
      Spawn([](Daemon& daemon, std::vector<Sound>& sound) -> Task {
        Caller caller(daemon.front_host(), daemon.front_port());
        const std::string attempt = NewAttempt();
        std::string parts = kFirst;
        parts += "," + Hex(Random()) + ":200";
        const Caller::Fields fields = StreamFields(attempt, parts);
        const Answer answer = co_await caller.Send(
            "POST", "/lohu930/2f", fields, "prompt " + attempt, 20);
        sound.push_back({answer.sent, answer.complete ? answer.status : 0});
        Record("sound stream " + attempt + " at " + daemon.name() + ": " +
               Show(answer));
      }(*daemons[n % daemons.size()], sound));
      co_await Sleep(1.5);
    }
  }(daemons, stop, sound));
  co_await Sleep(1.5 * 22 + 0.25);

  // The same tenant sends a batch of requests with the part, no two alike, and
  // goes on with one in two seconds.
  const double trouble_at = Now();
  const auto send = [&](int n) {
    Spawn([](Daemon& daemon) -> Task {
      Caller caller(daemon.front_host(), daemon.front_port());
      const std::string attempt = NewAttempt();
      std::string parts = kFirst;
      parts += "," + kPoison + ":210";
      const Caller::Fields fields = StreamFields(attempt, parts);
      const Answer answer = co_await caller.Send(
          "POST", "/lohu930/2f", fields, "prompt " + attempt, 20);
      Record("stream with the part " + attempt + " at " + daemon.name() +
             ": " + Show(answer));
    }(*daemons[n]));
  };
  for (int n = 0; n < kBatch; ++n) {
    send(0);
    co_await Sleep(0.13);
  }
  for (int n = 0; n < 23; ++n) {
    co_await Sleep(2);
    send(n % 4);
  }
  stop = true;
  co_await Sleep(2.5);

  const bool crashed = !crashes->empty();
  const double last = crashed ? crashes->at(std::min<std::size_t>(
                                    4, crashes->size() - 1))
                              : trouble_at;
  int before = 0;
  int before_begun = 0;
  int after = 0;
  int after_begun = 0;
  for (const auto& request : sound) {
    const bool good = request.status == 200;
    if (request.sent < trouble_at - 1) {
      ++before;
      before_begun += good ? 1 : 0;
    } else if (request.sent > last + 2 * kStabilityS) {
      ++after;
      after_begun += good ? 1 : 0;
    }
  }
  Record("crashes of servers: " + std::to_string(crashes->size()) +
         "; the last that counts at " + std::to_string(last));
  Record("streams of other tenants served: " + std::to_string(others));
  Record("sound streams with the same key and first part, before: " +
         std::to_string(before_begun) + " of " + std::to_string(before) +
         "; later than 2 x StabilityMs after the fifth crash: " +
         std::to_string(after_begun) + " of " + std::to_string(after) +
         " (LOST allows no less than half as often)");
  if (before < 20 || after < 20 || before_begun * 10 < before * 9) co_return 2;
  if (Trouble() && !crashed) co_return 2;
  const bool broken = after_begun * before * 2 < before_begun * after;
  co_return broken ? 1 : 0;
}

/// Sound reads of one thing are taken for a request that crashes servers, since
/// they were in flight when the servers of their service crashed.
Async<int> SoundReadsBlocked() {
  constexpr double kDownS = 3;
  Store store(1, 8223);
  const Json service = {{"Name", "booking"},
                        {"HealthPath", "/health"},
                        {"MaxConnections", 110},
                        {"Protocol", "h1"},
                        {"Tls", false}};
  Json routes = Json::array(
      {PlainRoute("r-hold", "/puxa403/", "non_idempotent", "booking", 800, 300,
                  1),
       PlainRoute("r-read", "/cufi504/", "idempotent", "booking", 800, 300,
                  2)});
  store.Put("op", "config", Config(7, routes, Json::array({service})));
  std::vector<std::shared_ptr<Server>> servers;
  for (int n = 1; n <= 3; ++n) {
    servers.push_back(std::make_shared<Server>(
        store, "i-booking" + std::to_string(n), 50 + n, 8044,
        Server::Options{.service = "booking", .slots = 6, .down_s = kDownS},
        PlainWork(0.06)));
    servers.back()->Start();
  }
  Daemons daemons;
  if (!co_await StartDaemons(daemons, 4, store)) co_return 2;
  co_await Sleep(1);
  routes.push_back(PlainRoute("r-count", "/tako812/", "idempotent", "booking",
                              800, 300, 2));
  store.Put("op", "config", Config(9, routes, Json::array({service})));
  Record("configuration 9 adds the route /tako812/");
  co_await Sleep(3);

  struct Tally {
    int sent = 0;
    int served = 0;
    std::map<std::string, int> others;
  };
  // By route, until the disturbance and in steady state after it.
  std::map<std::string, Tally> before;
  std::map<std::string, Tally> after;
  std::map<std::string, Tally>* tally = &before;
  bool stop = false;
  for (auto& daemon : daemons) {
    for (int n = 0; n < 5; ++n) {
      Spawn([](Daemon& daemon, int n, const bool& stop,
               std::map<std::string, Tally>*& tally) -> Task {
        Caller caller(daemon.front_host(), daemon.front_port());
        while (!stop) {
          // Three callers read the count of one departure, the others hold
          // seats and read different things.
          const std::string attempt = NewAttempt();
          std::string route = "/tako812/";
          std::string path = "/tako812/2f";
          std::string method = "GET";
          std::string body;
          if (n == 3) {
            route = "/cufi504/";
            path = route + attempt;
          } else if (n == 4) {
            route = "/puxa403/";
            path = route + "2f";
            method = "POST";
            body = "hold " + attempt;
          }
          std::map<std::string, Tally>* const counted = tally;
          const Answer answer = co_await caller.Send(
              method, path, PlainFields(attempt, 1500), body, 1.5);
          if (counted != nullptr && counted == tally) {
            Tally& row = (*counted)[route];
            ++row.sent;
            if (answer.complete && answer.status == 200) {
              ++row.served;
            } else {
              ++row.others[Show(answer)];
            }
          }
          co_await Sleep(0.1);
        }
      }(*daemon, n, stop, tally));
    }
  }
  co_await Sleep(10);
  tally = nullptr;
  if (Trouble()) {
    for (const auto& server : servers) server->Crash();
  }
  // Steady state begins StabilityMs after the end of the disturbance.
  co_await Sleep(kDownS + kStabilityS + 1);
  tally = &after;
  Record("steady state is counted");
  co_await Sleep(40);
  tally = nullptr;
  stop = true;
  for (const auto* counts : {&before, &after}) {
    for (const auto& [route, row] : *counts) {
      std::string text = std::string(counts == &before ? "before" : "after") +
                         ": route " + route + " served " +
                         std::to_string(row.served) + " of " +
                         std::to_string(row.sent);
      for (const auto& [what, count] : row.others) {
        text += ", " + what + ": " + std::to_string(count);
      }
      Record(text);
    }
  }
  const Tally& added = after["/tako812/"];
  const int first_sent = after["/cufi504/"].sent + after["/puxa403/"].sent;
  const int first_served =
      after["/cufi504/"].served + after["/puxa403/"].served;
  if (added.sent < 20 || first_served * 2 < first_sent) co_return 2;
  const double added_share = static_cast<double>(added.served) / added.sent;
  const double first_share = static_cast<double>(first_served) / first_sent;
  Record("in steady state the route that was added later is served " +
         std::to_string(added_share) + ", the first routes " +
         std::to_string(first_share) + " (CONFIG allows no less than a quarter)");
  co_return added_share * 4 < first_share ? 1 : 0;
}

/// A server that asked for no work for longer than a minute gets work again.
Async<int> HeldOffServer() {
  constexpr double kHoldOffS = 90;
  Store store(1, 8223);
  store.Put("op", "config",
            Config(7,
                   Json::array({PlainRoute("r-hold", "/puxa403/",
                                           "non_idempotent", "booking", 800,
                                           300, 1)}),
                   Json::array({{{"Name", "booking"},
                                 {"HealthPath", "/health"},
                                 {"MaxConnections", 110},
                                 {"Protocol", "h1"},
                                 {"Tls", false}}})));
  struct State {
    bool turns_away = false;
    std::map<std::string, std::string> daemon_of;  ///< By attempt.
    std::map<std::string, double> told;   ///< When a daemon was turned away.
    std::map<std::string, int> arrivals;  ///< While it wants nothing.
  };
  auto state = std::make_shared<State>();
  const Work plain = PlainWork(0.06);
  const Work held_off = [=](Server& server, ChannelPtr channel,
                            Message request) -> Task {
    const std::string attempt = request.Field("Attempt-Id");
    const std::string daemon = state->daemon_of[attempt];
    const auto told = state->told.find(daemon);
    if (told != state->told.end() && Now() > told->second + 0.5 &&
        Now() < told->second + kHoldOffS) {
      if (++state->arrivals[daemon] <= 5) {
        Record("server " + server.id() + " gets a request from " + daemon +
               " " + std::to_string(Now() - told->second) +
               " s after it asked for none for 90 s");
      }
    }
    if (!state->turns_away || told != state->told.end()) {
      return plain(server, std::move(channel), std::move(request));
    }
    state->told[daemon] = Now();
    Record("server " + server.id() + " turns " + daemon +
           " away with Retry-After: 90");
    return [](ChannelPtr channel, std::string answer) -> Task {
      co_await Write(*channel, answer);
    }(std::move(channel), Respond(503, "", {{"Attempt-Id", attempt},
                                            {"Not-Executed", "1"},
                                            {"Retry-After", "90"}}));
  };
  std::vector<std::shared_ptr<Server>> servers;
  for (int n = 1; n <= 3; ++n) {
    servers.push_back(std::make_shared<Server>(
        store, "i-booking" + std::to_string(n), 50 + n, 8044,
        Server::Options{.service = "booking", .slots = 6},
        n == 1 ? held_off : plain));
    servers.back()->Start();
  }
  Daemons daemons;
  if (!co_await StartDaemons(daemons, 4, store)) co_return 2;
  bool stop = false;
  int served = 0;
  for (auto& daemon : daemons) {
    Spawn([](Daemon& daemon, std::shared_ptr<State> state, const bool& stop,
             int& served) -> Task {
      Caller caller(daemon.front_host(), daemon.front_port());
      while (!stop) {
        const std::string attempt = NewAttempt();
        state->daemon_of[attempt] = daemon.name();
        const Answer answer = co_await caller.Send(
            "POST", "/puxa403/2f", PlainFields(attempt, 1500), "hold", 1.5);
        if (answer.complete && answer.status == 200) ++served;
        co_await Sleep(0.5);
      }
    }(*daemon, state, stop, served));
  }
  co_await Sleep(kStabilityS + 1);
  state->turns_away = Trouble();
  co_await Sleep(4);
  state->turns_away = false;
  co_await Sleep(kHoldOffS);
  stop = true;
  int most = 0;
  for (const auto& [daemon, count] : state->arrivals) {
    Record("requests from " + daemon + " in that time: " +
           std::to_string(count) + " (BUDGET allows 2)");
    most = std::max(most, count);
  }
  Record("holds served: " + std::to_string(served));
  if (served < 300 || (Trouble() && state->told.empty())) co_return 2;
  co_return most > 2 ? 1 : 0;
}

}  // namespace rig
