// Stand-ins of the third review: a worker of a plain service, requesters, and a
// proxy before the store.
//
//   lab worker --listen IP:PORT --store IP:PORT --name ID --service NAME
//       --zone ZONE --log FILE [--work-ms N] [--slots N]
//       [--kind KIND --mb MB --layer-mb MB --layers N]
//   lab callers --fronts IP:PORT[,IP:PORT...] --host HOST --path PATH
//       --name NAME --log FILE [--key KEY] [--method GET] [--rate PER_S]
//       [--for-s SECONDS] [--deadline-ms N] [--count CHANNELS] [--unique 1]
//       [--spread-ms N]
//   lab proxy --listen IP:PORT --to IP:PORT --match TEXT --log FILE
//
// A worker registers itself in the store, answers with its receipt and logs
// each run. SIGUSR1 makes it leave without a report of "draining": it removes
// its entry, says in its answers that it leaves, and serves on for --stay-ms.
// At each further SIGUSR1 it writes the removal again. At SIGUSR2 it loses four in
// ten of its answers for --lossy-ms: it runs the request and resets the channel.
// With --kind it is a model worker, which takes orders to hold layers and reports
// them; ordered to hold more than its memory holds, it crashes. It runs no streams. Requesters keep their channels open, repeat a failed idempotent
// request once on a new channel to the next front, and log each attempt.
//
// At SIGUSR1 the proxy silences for good, without a reset, the open channels
// whose last request has --match in it; new ones work.
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

std::map<std::string, std::string> options;

std::string Option(const std::string& name, const std::string& other = "") {
  const auto found = options.find(name);
  return found == options.end() ? other : found->second;
}

long Number(const std::string& name, long other) {
  const std::string text = Option(name);
  return text.empty() ? other : std::atol(text.c_str());
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::mutex log_mutex;
FILE* log_file = nullptr;

/// Appends one line that begins with the time of day in milliseconds.
void Log(const std::string& text) {
  const std::lock_guard<std::mutex> lock(log_mutex);
  std::fprintf(log_file, "%lld %s\n", static_cast<long long>(WallMs()),
               text.c_str());
  std::fflush(log_file);
}

sockaddr_in ParseAddress(const std::string& text) {
  sockaddr_in address{};
  const std::size_t colon = text.find(':');
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int Connect(const std::string& to, long timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ParseAddress(to);
  const int begun = connect(fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof address);
  if (begun != 0 && errno == EINPROGRESS) {
    pollfd waiting{fd, POLLOUT, 0};
    poll(&waiting, 1, static_cast<int>(timeout_ms));
  }
  int error = 0;
  socklen_t size = sizeof error;
  sockaddr_in peer{};
  socklen_t peer_size = sizeof peer;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0 ||
      getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool SendAll(int fd, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t size =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (size > 0) {
      sent += static_cast<std::size_t>(size);
      continue;
    }
    if (size < 0 && errno == EAGAIN) {
      pollfd waiting{fd, POLLOUT, 0};
      if (poll(&waiting, 1, 5000) > 0) continue;
    }
    return false;
  }
  return true;
}

/// Reads more bytes into `buffer`. Returns 1, 0 at the end, -1 after a reset
/// and -2 after the time limit.
int ReadMore(int fd, std::string& buffer, Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
  pollfd waiting{fd, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(std::max<long>(0, left))) <= 0) {
    return -2;
  }
  char bytes[16384];
  const ssize_t size = recv(fd, bytes, sizeof bytes, 0);
  if (size > 0) {
    buffer.append(bytes, static_cast<std::size_t>(size));
    return 1;
  }
  return size == 0 ? 0 : -1;
}

std::string Field(const std::string& head, const std::string& name) {
  std::istringstream lines(head);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon != name.size()) continue;
    if (strncasecmp(line.c_str(), name.c_str(), colon) != 0) continue;
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    return begin == std::string::npos ? "" : line.substr(begin);
  }
  return "";
}

struct Message {
  std::string head;
  std::string body;
};

/// Reads one message with a length. Returns as `ReadMore` does.
int ReadMessage(int fd, std::string& buffer, Message& message,
                Clock::time_point until) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const int got = ReadMore(fd, buffer, until);
    if (got != 1) return got;
  }
  message.head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  const auto length = static_cast<std::size_t>(
      std::atol(Field(message.head, "Content-Length").c_str()));
  while (buffer.size() < length) {
    const int got = ReadMore(fd, buffer, until);
    if (got != 1) return got == 0 ? -1 : got;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return 1;
}

std::string Answer(const std::string& status, const std::string& fields,
                   const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The worker.

std::mutex slots_mutex;
std::condition_variable slots_free;
long running = 0;
long queued = 0;
std::int64_t born_ms = 0;

std::atomic<bool> leaving{false};

/// Calls the store. Returns whether it answered.
bool CallStore(const std::string& method, const std::string& query,
               const std::string& body) {
  const int fd = Connect(Option("store"), 500);
  if (fd < 0) return false;
  SendAll(fd, method + " /rows/servers/" + Option("name") + query +
                  " HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
                  "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
  std::string buffer;
  Message answer;
  const int got =
      ReadMessage(fd, buffer, answer, Clock::now() + milliseconds(500));
  close(fd);
  return got == 1;
}

std::atomic<bool> loses_answers{false};

/// Waits for the signals, which all other threads block.
void WaitForSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  sigaddset(&signals, SIGUSR2);
  for (int number = 0; sigwait(&signals, &number) == 0;) {
    if (number == SIGUSR2) {
      loses_answers = true;
      Log("loses answers");
      std::thread([] {
        std::this_thread::sleep_for(milliseconds(Number("lossy-ms", 4000)));
        loses_answers = false;
        Log("is sound again");
      }).detach();
      continue;
    }
    const bool first = !leaving.exchange(true);
    const bool answered = CallStore("DELETE", "", "");
    Log(std::string(first ? "leaves" : "leaves, written again") +
        (answered ? "" : " (no answer of the store)"));
    if (!first) continue;
    std::thread([] {
      std::this_thread::sleep_for(milliseconds(Number("stay-ms", 12000)));
      Log("exits");
      _exit(0);
    }).detach();
  }
}

std::mutex layers_mutex;
long layers_from = 0;
long layers_to = 0;
long orders_accepted = 0;
bool order_in_progress = false;

/// Returns the fields in which a model worker reports its weights.
std::string DescribeLayers() {
  if (Option("kind").empty()) return "";
  const std::lock_guard<std::mutex> lock(layers_mutex);
  std::string text =
      "\"Stage\":\"both\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,"
      "\"Adapters\":[]}],\"Kind\":\"" +
      Option("kind") + "\",";
  if (layers_from == layers_to) return text;
  return text + "\"Layers\":{\"From\":" + std::to_string(layers_from) +
         ",\"To\":" + std::to_string(layers_to) + ",\"Version\":1},";
}

std::string Report() {
  const std::string layers = DescribeLayers();
  const std::lock_guard<std::mutex> lock(layers_mutex);
  return "{" + layers + "\"Busy\":" + (order_in_progress ? "true" : "false") +
         ",\"Sequence\":" + std::to_string(orders_accepted) +
         ",\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":100000,"
         "\"Handles\":0,\"pace\":1.0,\"Stalled\":[],\"born\":" +
         std::to_string(born_ms) + "}";
}

std::string DescribeEntry() {
  return "{\"Service\":\"" + Option("service") + "\",\"Address\":\"" +
         Option("listen") + "\",\"Zone\":\"" + Option("zone") +
         "\",\"Version\":\"v1\",\"Slots\":" + Option("slots", "6") +
         ",\"State\":\"ready\",\"ColdRemainingMs\":0," + DescribeLayers() +
         "\"Sequence\":0,\"born\":" + std::to_string(born_ms) + "}";
}

void Register() { CallStore("PUT", "?lifetime_ms=3600", DescribeEntry()); }

/// Returns the number after `name` in a JSON text, or -1.
long FindNumber(const std::string& json, const std::string& name) {
  const std::size_t at = json.find("\"" + name + "\":");
  return at == std::string::npos
             ? -1
             : std::atol(json.c_str() + at + name.size() + 3);
}

/// Takes an order to hold layers. Returns its status line.
std::string TakeOrder(const Message& order) {
  const long from = FindNumber(order.body, "From");
  const long to = FindNumber(order.body, "To");
  const long expected = FindNumber(order.body, "Precondition");
  if (from < 0 || to <= from || Option("kind").empty()) {
    return "400 Bad Request";
  }
  const std::lock_guard<std::mutex> lock(layers_mutex);
  if (order_in_progress || (expected >= 0 && expected != orders_accepted)) {
    return "409 Conflict";
  }
  Log("ordered " + std::to_string(from) + " " + std::to_string(to));
  if ((to - from) * Number("layer-mb", 1) > Number("mb", 0)) {
    Log("crashes: " + std::to_string(to - from) + " layers of " +
        Option("layer-mb") + " MB in " + Option("mb") + " MB");
    _exit(1);
  }
  ++orders_accepted;
  order_in_progress = true;
  std::thread([from, to] {
    // A tenth of the time to load, as before the first request.
    std::this_thread::sleep_for(
        milliseconds(1400 * (to - from) / Number("layers", 80)));
    {
      const std::lock_guard<std::mutex> done(layers_mutex);
      layers_from = from;
      layers_to = to;
      order_in_progress = false;
    }
    Register();
  }).detach();
  return "202 Accepted";
}

void Heartbeat() {
  while (!leaving) {
    Register();
    std::this_thread::sleep_for(milliseconds(1200));
  }
}

/// Returns whether the answer to this request is lost: four in ten.
bool MustReset() {
  static std::mutex mutex;
  static std::mt19937 random{std::random_device{}()};
  const std::lock_guard<std::mutex> lock(mutex);
  return loses_answers && random() % 10 < 4;
}

/// Returns the answer, or "" if the channel is to be reset.
std::string Work(const Message& request) {
  const std::string id = Field(request.head, "Attempt-Id");
  const std::string line = request.head.substr(0, request.head.find("\r\n"));
  const std::string about =
      "Attempt-Id: " + id + "\r\nInstance-Id: " + Option("name") + "\r\n" +
      (leaving ? "Server-Leaving: 1\r\n" : "");
  const std::string expected = Field(request.head, "Expect-Instance");
  if (!expected.empty() && expected != Option("name")) {
    return Answer("421 Misdirected Request", about + "Not-Executed: 1\r\n", "");
  }
  std::unique_lock<std::mutex> lock(slots_mutex);
  if (queued >= 24) {
    return Answer("503 Service Unavailable", about + "Not-Executed: 1\r\n", "");
  }
  ++queued;
  slots_free.wait(lock, [] { return running < Number("slots", 6); });
  --queued;
  ++running;
  lock.unlock();
  Log("run " + id + " " + line);
  std::this_thread::sleep_for(milliseconds(Number("work-ms", 60)));
  const bool reset = MustReset();
  Log((reset ? "reset " : "end ") + id + " " + line);
  lock.lock();
  --running;
  lock.unlock();
  slots_free.notify_one();
  if (reset) return "";
  return Answer("200 OK",
                about + "Response-Seal: " + Option("name") + "." + id + "\r\n",
                "answer to " + id + "\n");
}

void ServeChannel(int fd) {
  std::string buffer;
  Message request;
  while (ReadMessage(fd, buffer, request, Clock::now() + milliseconds(30000)) ==
         1) {
    std::string answer;
    if (request.head.rfind("GET /-/report ", 0) == 0) {
      answer =
          Answer("200 OK", "Content-Type: application/json\r\n", Report());
    } else if (request.head.rfind("POST /-/order ", 0) == 0) {
      const std::string expected = Field(request.head, "Expect-Instance");
      answer = Answer(expected.empty() || expected == Option("name")
                          ? TakeOrder(request)
                          : "421 Misdirected Request",
                      "", "");
    } else if (request.head.rfind("GET /health ", 0) == 0) {
      answer = Answer("200 OK", "Instance-Id: " + Option("name") + "\r\n", "");
    } else {
      answer = Work(request);
    }
    if (answer.empty()) {
      const linger at_once{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      break;
    }
    if (!SendAll(fd, answer)) break;
    if (strcasecmp(Field(request.head, "Connection").c_str(), "close") == 0) {
      break;
    }
  }
  close(fd);
}

int RunWorker() {
  born_ms = WallMs();
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  sigaddset(&signals, SIGUSR2);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread(WaitForSignals).detach();
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(server, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ParseAddress(Option("listen"));
  if (bind(server, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(server, 512) != 0) {
    std::perror("listen");
    return 2;
  }
  std::thread(Heartbeat).detach();
  while (true) {
    const int fd = accept4(server, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread(ServeChannel, fd).detach();
  }
}

// ---- The requesters.

std::vector<std::string> fronts;
std::atomic<long> next_request{0};

std::string RandomId() {
  static thread_local std::mt19937_64 random{std::random_device{}()};
  char text[20];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

struct Channel {
  int fd = -1;
  std::size_t front = 0;
  std::string buffer;

  void Close() {
    if (fd >= 0) close(fd);
    fd = -1;
    buffer.clear();
  }
};

/// Sends one attempt and logs how it ended. Returns its status, or 0.
int Attempt(Channel& channel, const std::string& path, long left_ms,
            double& retry_after) {
  retry_after = 0;
  const std::string id = RandomId();
  const std::string about = id + " " + path + " " + fronts[channel.front] + " ";
  const std::string kept = channel.fd >= 0 ? " kept" : " new";
  if (channel.fd < 0) channel.fd = Connect(fronts[channel.front], 1000);
  if (channel.fd < 0) {
    Log("attempt " + about + "0 no-channel" + kept);
    return 0;
  }
  std::string request = Option("method", "GET") + " " + path +
                        " HTTP/1.1\r\nHost: " + Option("host") +
                        "\r\nAttempt-Id: " + id +
                        "\r\nDeadline-Ms: " + std::to_string(left_ms) + "\r\n";
  if (!Option("key").empty()) {
    request += "Authorization: Bearer " + Option("key") + "\r\n";
  }
  request += "\r\n";
  Log("send " + about + kept);
  Message answer;
  int got = -1;
  if (SendAll(channel.fd, request)) {
    got = ReadMessage(channel.fd, channel.buffer, answer,
                      Clock::now() + milliseconds(left_ms));
  }
  if (got != 1) {
    Log("attempt " + about + "0 " +
        (got == 0 ? "closed" : got == -2 ? "time-limit" : "reset") + kept);
    channel.Close();
    return 0;
  }
  const int status = std::atoi(answer.head.c_str() + 9);
  const std::string seal = Field(answer.head, "Response-Seal");
  retry_after = std::atof(Field(answer.head, "Retry-After").c_str());
  const bool whole = answer.body == "answer to " + id + "\n" &&
                     Field(answer.head, "Attempt-Id") == id;
  Log("attempt " + about + std::to_string(status) + " " +
      (seal.empty() ? "own" : whole ? "whole" : "mixed") + kept);
  if (strcasecmp(Field(answer.head, "Connection").c_str(), "close") == 0) {
    channel.Close();
  }
  return status;
}

bool MayRepeat(int status) {
  for (const int final_status : {400, 401, 404, 413, 431}) {
    if (status == final_status) return false;
  }
  return status < 200 || status > 299;
}

void RunCaller(std::size_t number) {
  const double rate = std::atof(Option("rate", "1").c_str());
  const auto interval = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1.0 / rate));
  const auto begin = Clock::now();
  const auto end = begin + std::chrono::seconds(Number("for-s", 10));
  const long limit = Number("deadline-ms", 1500);
  Channel channel;
  channel.front = number % fronts.size();
  // The channels send within --spread-ms, or evenly.
  const auto spread =
      Option("spread-ms").empty()
          ? interval
          : Clock::duration(milliseconds(Number("spread-ms", 0)));
  for (auto due =
           begin + spread * static_cast<long>(number) / Number("count", 1);
       due < end; due += interval) {
    std::this_thread::sleep_until(due);
    std::string path = Option("path");
    if (Number("unique", 0) != 0) {
      path += Option("name") + std::to_string(next_request++);
    }
    double retry_after = 0;
    const auto first = Clock::now();
    const int status = Attempt(channel, path, limit, retry_after);
    if (!MayRepeat(status)) continue;
    const auto used =
        std::chrono::duration_cast<milliseconds>(Clock::now() - first).count();
    const long left = limit - used;
    const double pause = std::min(retry_after, left / 3000.0);
    std::this_thread::sleep_for(std::chrono::duration<double>(pause));
    channel.Close();
    Channel again;
    again.front = (channel.front + 1) % fronts.size();
    Attempt(again, path, std::max(1L, left - static_cast<long>(pause * 1000)),
            retry_after);
    again.Close();
  }
  channel.Close();
}

int RunCallers() {
  std::istringstream list(Option("fronts"));
  for (std::string front; std::getline(list, front, ',');) {
    fronts.push_back(front);
  }
  std::vector<std::thread> callers;
  for (long i = 0; i < Number("count", 1); ++i) {
    callers.emplace_back(RunCaller, static_cast<std::size_t>(i));
  }
  for (auto& caller : callers) caller.join();
  return 0;
}

// ---- The proxy.

std::atomic<int> silenced_rounds{0};

void ForwardChannel(int client) {
  const int server = Connect(Option("to"), 1000);
  if (server < 0) {
    close(client);
    return;
  }
  int round = silenced_rounds;
  bool matches = false;
  bool silent = false;
  char bytes[16384];
  bool open = true;
  while (open) {
    pollfd both[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
    poll(both, 2, 5);
    if (round != silenced_rounds) {
      round = silenced_rounds;
      if (matches) {
        silent = true;
        Log("silenced a channel");
      }
    }
    for (int side = 0; side < 2 && open; ++side) {
      if ((both[side].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
      const ssize_t size = recv(both[side].fd, bytes, sizeof bytes, 0);
      if (size <= 0) {
        open = silent && side == 1;
        if (open) std::this_thread::sleep_for(milliseconds(5));
        continue;
      }
      if (silent) continue;
      const std::string data(bytes, static_cast<std::size_t>(size));
      if (side == 0) matches = data.find(Option("match")) != std::string::npos;
      if (!SendAll(both[1 - side].fd, data)) open = false;
    }
  }
  close(client);
  close(server);
}

int RunProxy() {
  signal(SIGUSR1, [](int) { ++silenced_rounds; });
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(server, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ParseAddress(Option("listen"));
  if (bind(server, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(server, 512) != 0) {
    std::perror("listen");
    return 2;
  }
  while (true) {
    const int fd = accept4(server, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread(ForwardChannel, fd).detach();
  }
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 2) return 2;
  for (int i = 2; i + 1 < argc; i += 2) options[argv[i] + 2] = argv[i + 1];
  log_file = std::fopen(Option("log", "/dev/null").c_str(), "a");
  if (log_file == nullptr) return 2;
  const std::string verb = argv[1];
  if (verb == "worker") return RunWorker();
  if (verb == "callers") return RunCallers();
  if (verb == "proxy") return RunProxy();
  return 2;
}
