// Stand-ins for the platform, its store, servers and clients, as the users'
// pages describe them, on loopback addresses. One thread, one event loop.
#ifndef REVIEW_STANDINS_2_RIG_H_
#define REVIEW_STANDINS_2_RIG_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Task = asio::awaitable<void>;
template <typename T>
using Async = asio::awaitable<T>;

asio::io_context& Loop();
double Now();  ///< Seconds since the rig started.
Async<void> Sleep(double seconds);
void Spawn(Task task);
std::string Hex(std::uint64_t number);
std::uint64_t Random();

/// Writes one line to record.txt, with the time.
void Record(const std::string& line);

/// One HTTP message without its start line's meaning.
struct Message {
  std::string start;  ///< Request or status line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  std::string Field(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

/// A connection with its unread input.
struct Channel {
  explicit Channel(Tcp::socket s) : socket(std::move(s)) {}
  Tcp::socket socket;
  std::string input;
  void Reset();  ///< Closes the connection with a reset.
  void Close();
};
using ChannelPtr = std::shared_ptr<Channel>;

/// Reads a head; throws std::system_error at the end of the connection.
Async<Message> ReadHead(Channel& channel);
/// Reads a body with a length or in chunks into `message`; `on_data` is called
/// with each part.
Async<void> ReadBody(Channel& channel, Message& message,
                     std::function<void(std::string_view)> on_data = {});
Async<void> Write(Channel& channel, std::string data);
std::string Respond(
    int status, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields = {});

using ConnectionHandler = std::function<Task(ChannelPtr)>;

/// Accepts connections until it is stopped.
class Listener {
 public:
  Listener(std::string host, int port, ConnectionHandler handler);
  void Start();
  /// Stops listening and resets all connections, as the end of a process.
  void Crash();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// Addresses of one run: a loopback network of its own.
std::string HostOf(int n);

/// The platform's store: rows, feeds and conditional writes.
class Store {
 public:
  Store(int host, int port);
  std::string address() const { return address_; }
  /// Writes a row as the operator or a server does.
  void Put(const std::string& table, const std::string& key, const Json& value);
  void Drop(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  Task Serve(ChannelPtr channel);
  Async<std::string> Answer(const Message& request);
  Json List(const std::string& table, std::uint64_t after, bool removed) const;

  std::string address_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::uint64_t version_ = 10;
  std::map<std::string, std::uint64_t> changed_;  ///< Last version by table.
  std::shared_ptr<Listener> listener_;
};

/// What a server does with a request that it has accepted. Returns when the
/// answer is written; may crash the server.
class Server;
using Work = std::function<Task(Server&, ChannelPtr, Message)>;

/// One server of a service: registers itself, answers reports and orders, and
/// hands requests to `work`. With a kind it is a model server, which starts
/// empty and holds the layers that it was ordered to hold.
class Server : public std::enable_shared_from_this<Server> {
 public:
  struct Options {
    std::string service;
    std::string zone = "accra-a";
    std::string kind;
    unsigned slots = 6;
    double load_s = 0.5;
    double down_s = 3.0;  ///< From a crash until it is back.
    unsigned layers = 8;
  };
  Server(Store& store, std::string id, int host, int port, Options options,
         Work work);
  void Start();
  /// Ends like a killed process; is back under its id after `down_s`.
  void Crash();
  const std::string& id() const { return id_; }
  bool up() const { return up_; }
  std::uint64_t boot() const { return boot_; }
  unsigned running = 0;

 private:
  void Register();
  Task Serve(ChannelPtr channel);
  Task Load(unsigned from, unsigned to, std::uint64_t boot);
  std::string Order(const Message& request);
  std::string NameSelf(int status) const;
  std::string Reject(int status, const std::string& attempt) const;
  std::string Report() const;

  Store& store_;
  std::string id_;
  std::string host_;
  int port_;
  Options options_;
  Work work_;
  std::shared_ptr<Listener> listener_;
  bool up_ = false;
  std::uint64_t boot_ = 0;
  std::uint64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  bool busy_ = false;
  unsigned from_ = 0;
  unsigned to_ = 0;
};

/// One daemon, started with the command and the template of the deploy file.
class Daemon {
 public:
  Daemon(int n, int daemons, std::string store, int memory_mb = 390);
  void Start();
  void Signal(int number);
  /// Reaps the process if it has ended; returns whether it runs.
  bool Running();
  double ResidentMb() const;
  int pid() const { return pid_; }
  const std::string& name() const { return name_; }
  std::string front_host() const { return HostOf(10 + n_); }
  int front_port() const { return 8227; }
  int ready_port() const { return 8220; }

 private:
  int n_;
  std::string name_;
  std::string config_;
  int pid_ = 0;
};

/// Waits until the daemon tells that it is ready, at most `seconds`.
Async<bool> WaitReady(Daemon& daemon, double seconds);

/// Result of one request of a client.
struct Answer {
  bool connected = false;  ///< Whether the request was sent.
  bool complete = false;
  int status = 0;
  std::string body;
  bool sealed = false;
  std::string error;
  double sent = 0;
  double first = 0;  ///< Time of the first byte of the body.
};

/// A client's channel, kept between requests.
class Caller {
 public:
  Caller(std::string host, int port) : host_(std::move(host)), port_(port) {}
  using Fields = std::vector<std::pair<std::string, std::string>>;
  Async<Answer> Send(std::string method, std::string path, Fields fields,
                     std::string body, double limit_s);
  void Drop();

 private:
  std::string host_;
  int port_;
  ChannelPtr channel_;
};

std::string NewAttempt();
Json PlainRoute(const std::string& name, const std::string& prefix,
                const std::string& kind, const std::string& service,
                int timeout_ms, int target_ms, int attempts);
Json StreamRoute(const std::string& name, const std::string& prefix,
                 const std::string& service);
Json ModelService(const std::string& name, const Json& kinds);
Json Config(int version, const Json& routes, const Json& services);
/// The keys of the two tenants in `Config`.
extern const char* const kKey;
extern const char* const kOtherKey;

/// Directory of the run's logs and settings; removed at the end if all is well.
const std::string& Directory();
bool Trouble();

/// Runs `scenario` and returns its exit status; ends all processes.
int Run(const std::string& record,
        const std::function<Async<int>()>& scenario, double limit_s);

}  // namespace rig

#endif  // REVIEW_STANDINS_2_RIG_H_
