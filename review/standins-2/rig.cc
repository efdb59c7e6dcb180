#include "rig.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>

namespace rig {
namespace {

std::ofstream g_record;
std::string g_directory;
std::vector<int> g_children;
int g_net_a = 0;
int g_net_b = 0;

const Clock::time_point kStart = Clock::now();

std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

std::string EncodeBase64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    if (c >= '0' && c <= '9') digit = c - '0' + 52;
    if (c == '+') digit = 62;
    if (c == '/') digit = 63;
    if (digit < 0) break;
    group = group << 6 | static_cast<unsigned>(digit);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 255);
  }
  return bytes;
}

std::string Parameter(const std::string& target, const std::string& name) {
  for (const char mark : {'?', '&'}) {
    const auto at = target.find(mark + name + "=");
    if (at == std::string::npos) continue;
    const auto begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  return "";
}

std::string Percent(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

void KillChildren() {
  for (const int pid : g_children) kill(pid, SIGKILL);
  for (const int pid : g_children) waitpid(pid, nullptr, 0);
  g_children.clear();
}

}  // namespace

const char* const kKey = "n2ctnfzs989anu6wsjnb";
const char* const kOtherKey = "anfqasnmgkcuyj8pjbvk";

asio::io_context& Loop() {
  static asio::io_context loop(1);
  return loop;
}

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

Async<void> Sleep(double seconds) {
  asio::steady_timer timer(
      Loop(), std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
  co_await timer.async_wait(asio::use_awaitable);
}

void Spawn(Task task) {
  asio::co_spawn(Loop(), std::move(task), [](std::exception_ptr error) {
    try {
      if (error) std::rethrow_exception(error);
    } catch (const std::system_error&) {
      // The end of a connection.
    } catch (const std::exception& other) {
      Record(std::string("rig: ") + other.what());
    }
  });
}

std::uint64_t Random() {
  static std::mt19937_64 random(std::random_device{}());
  return random();
}

std::string Hex(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

std::string NewAttempt() { return Hex(Random()); }

void Record(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f ", Now());
  g_record << time << line << "\n" << std::flush;
}

const std::string& Directory() { return g_directory; }

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string HostOf(int n) {
  return "127." + std::to_string(g_net_a) + "." + std::to_string(g_net_b) +
         "." + std::to_string(n);
}

// Messages.

std::string Message::Field(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (Lower(key) == Lower(name)) return value;
  }
  return "";
}
std::string Message::Method() const { return start.substr(0, start.find(' ')); }
std::string Message::Target() const {
  const auto begin = start.find(' ') + 1;
  return start.substr(begin, start.find(' ', begin) - begin);
}
int Message::Status() const {
  return std::atoi(start.substr(start.find(' ') + 1).c_str());
}

void Channel::Reset() {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}
void Channel::Close() {
  asio::error_code ignored;
  socket.close(ignored);
}

namespace {

Async<void> ReadMore(Channel& channel) {
  char buffer[65536];
  const std::size_t size = co_await channel.socket.async_read_some(
      asio::buffer(buffer), asio::use_awaitable);
  channel.input.append(buffer, size);
}

Async<std::string> ReadLine(Channel& channel) {
  std::size_t end = 0;
  while ((end = channel.input.find("\r\n")) == std::string::npos) {
    co_await ReadMore(channel);
  }
  std::string line = channel.input.substr(0, end);
  channel.input.erase(0, end + 2);
  co_return line;
}

}  // namespace

Async<Message> ReadHead(Channel& channel) {
  Message message;
  message.start = co_await ReadLine(channel);
  for (;;) {
    const std::string line = co_await ReadLine(channel);
    if (line.empty()) break;
    const auto colon = line.find(':');
    auto begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') ++begin;
    message.fields.emplace_back(line.substr(0, colon), line.substr(begin));
  }
  co_return message;
}

Async<void> ReadBody(Channel& channel, Message& message,
                     std::function<void(std::string_view)> on_data) {
  const auto take = [&](std::size_t size) {
    if (on_data) on_data(std::string_view(channel.input).substr(0, size));
    message.body.append(channel.input, 0, size);
    channel.input.erase(0, size);
  };
  if (Lower(message.Field("Transfer-Encoding")) == "chunked") {
    for (;;) {
      const std::string line = co_await ReadLine(channel);
      const std::size_t size = std::stoul(line, nullptr, 16);
      while (channel.input.size() < size + 2) co_await ReadMore(channel);
      take(size);
      channel.input.erase(0, 2);
      if (size == 0) co_return;
    }
  }
  const std::string length = message.Field("Content-Length");
  std::size_t left = length.empty() ? 0 : std::stoul(length);
  while (left > 0) {
    if (channel.input.empty()) co_await ReadMore(channel);
    const std::size_t size = std::min(left, channel.input.size());
    take(size);
    left -= size;
  }
}

Async<void> Write(Channel& channel, std::string data) {
  co_await asio::async_write(channel.socket, asio::buffer(data),
                             asio::use_awaitable);
}

std::string Respond(
    int status, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Listening.

struct Listener::State {
  std::string host;
  int port = 0;
  ConnectionHandler handler;
  std::unique_ptr<Tcp::acceptor> acceptor;
  std::set<ChannelPtr> channels;
};

namespace {

Task ServeOne(std::shared_ptr<Listener> /*unused*/, ChannelPtr channel,
              ConnectionHandler handler, std::function<void()> done) {
  try {
    co_await handler(channel);
  } catch (const std::system_error&) {
  }
  channel->Close();
  done();
}

}  // namespace

Listener::Listener(std::string host, int port, ConnectionHandler handler)
    : state_(std::make_shared<State>()) {
  state_->host = std::move(host);
  state_->port = port;
  state_->handler = std::move(handler);
}

void Listener::Start() {
  const Tcp::endpoint local(asio::ip::make_address(state_->host),
                            static_cast<unsigned short>(state_->port));
  state_->acceptor = std::make_unique<Tcp::acceptor>(Loop(), local, true);
  Spawn([](std::shared_ptr<State> state) -> Task {
    for (;;) {
      Tcp::socket socket =
          co_await state->acceptor->async_accept(asio::use_awaitable);
      socket.set_option(Tcp::no_delay(true));
      auto channel = std::make_shared<Channel>(std::move(socket));
      state->channels.insert(channel);
      Spawn(ServeOne(nullptr, channel, state->handler, [state, channel] {
        state->channels.erase(channel);
      }));
    }
  }(state_));
}

void Listener::Crash() {
  asio::error_code ignored;
  if (state_->acceptor) state_->acceptor->close(ignored);
  for (const auto& channel : std::set(state_->channels)) channel->Reset();
}

// The store.

Store::Store(int host, int port)
    : address_(HostOf(host) + ":" + std::to_string(port)),
      listener_(std::make_shared<Listener>(
          HostOf(host), port,
          [this](ChannelPtr channel) { return Serve(std::move(channel)); })) {
  listener_->Start();
}

void Store::Put(const std::string& table, const std::string& key,
                const Json& value) {
  rows_[{table, key}] = {value.dump(), ++version_, false};
  changed_[table] = version_;
}

void Store::Drop(const std::string& table, const std::string& key) {
  rows_[{table, key}] = {"", ++version_, true};
  changed_[table] = version_;
}

Json Store::List(const std::string& table, std::uint64_t after,
                 bool removed) const {
  Json rows = Json::array();
  for (const auto& [name, row] : rows_) {
    if (name.first != table || row.version <= after) continue;
    if (row.removed && !removed) continue;
    Json json = {{"Table", table},
                 {"part", ""},
                 {"Key", name.second},
                 {"Ver", row.version}};
    if (row.removed) {
      json["Removed"] = true;
    } else {
      json["Value"] = EncodeBase64(row.value);
    }
    rows.push_back(json);
  }
  std::stable_sort(rows.begin(), rows.end(), [&](const Json& a, const Json& b) {
    return after > 0 && a["Ver"] < b["Ver"];
  });
  return rows;
}

Async<std::string> Store::Answer(const Message& request) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const std::vector<std::pair<std::string, std::string>> type = {
      {"Content-Type", "application/json"}};
  const auto page = [&](const Json& rows) {
    return Json{{"Rows", rows},
                {"HasMore", false},
                {"Ver", version_},
                {"NowMs", static_cast<std::uint64_t>(Now() * 1000)}};
  };
  co_await Sleep(0.004);
  const std::string table = Parameter(target, "Table");
  if (path == "/-/rows-get") {
    const std::string from = Percent(Parameter(target, "From"));
    Json rows = Json::array();
    for (const auto& row : List(table, 0, false)) {
      if (row["Key"].get<std::string>() >= from) rows.push_back(row);
    }
    co_return Respond(200, page(rows).dump(), type);
  }
  if (path == "/-/rows-feed") {
    const auto after = std::stoull(Parameter(target, "After"));
    const double until = Now() + std::stod(Parameter(target, "WaitMs")) / 1000;
    while (changed_[table] <= after && Now() < until) co_await Sleep(0.003);
    co_return Respond(200, page(List(table, after, true)).dump(), type);
  }
  if (path == "/-/rows-tx") {
    const Json body = Json::parse(request.body);
    bool holds = true;
    Json current = Json::array();
    for (const auto& condition : body["Precondition"]) {
      const std::string name = condition["Table"];
      const std::string key = condition["Key"];
      const auto found = rows_.find({name, key});
      const bool there = found != rows_.end() && !found->second.removed;
      const std::uint64_t version = there ? found->second.version : 0;
      if (version != condition["Ver"].get<std::uint64_t>()) holds = false;
      if (!there) continue;
      current.push_back({{"Table", name},
                         {"part", ""},
                         {"Key", key},
                         {"Ver", version},
                         {"Value", EncodeBase64(found->second.value)}});
    }
    if (!holds) co_return Respond(412, page(current).dump(), type);
    ++version_;
    for (const auto& write : body["Writes"]) {
      const std::string name = write["Table"];
      rows_[{name, write["Key"]}] = {DecodeBase64(write["Value"]), version_,
                                     false};
      changed_[name] = version_;
    }
    co_return Respond(200, page(Json::array()).dump(), type);
  }
  co_return Respond(404, "{}", type);
}

Task Store::Serve(ChannelPtr channel) {
  for (;;) {
    Message request = co_await ReadHead(*channel);
    co_await ReadBody(*channel, request);
    co_await Write(*channel, co_await Answer(request));
  }
}

// Servers.

Server::Server(Store& store, std::string id, int host, int port,
               Options options, Work work)
    : store_(store),
      id_(std::move(id)),
      host_(HostOf(host)),
      port_(port),
      options_(std::move(options)),
      work_(std::move(work)) {}

void Server::Start() {
  up_ = true;
  ++boot_;
  born_ms_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  sequence_ = 0;
  busy_ = false;
  from_ = to_ = 0;
  running = 0;
  listener_ = std::make_shared<Listener>(
      host_, port_, [self = shared_from_this()](ChannelPtr channel) {
        return self->Serve(std::move(channel));
      });
  listener_->Start();
  Register();
}

void Server::Crash() {
  if (!up_) return;
  up_ = false;
  Record("server " + id_ + " crashes");
  listener_->Crash();
  Spawn([](std::shared_ptr<Server> self) -> Task {
    co_await Sleep(self->options_.down_s);
    self->Start();
    Record("server " + self->id_ + " is back");
  }(shared_from_this()));
}

void Server::Register() {
  Json entry = {{"Service", options_.service},
                {"Address", host_ + ":" + std::to_string(port_)},
                {"Zone", options_.zone},
                {"Version", "v1"},
                {"Slots", options_.slots},
                {"State", "ready"},
                {"ColdRemainingMs", 0},
                {"Sequence", boot_},
                {"born", born_ms_}};
  if (!options_.kind.empty()) {
    entry["Kind"] = options_.kind;
    entry["Stage"] = "both";
    entry["Models"] = Json::array(
        {{{"Name", "m0"}, {"Version", 1}, {"Adapters", Json::array()}}});
    entry["Layers"] = Json::array();
    if (to_ > from_) {
      entry["Layers"].push_back({{"From", from_}, {"To", to_}, {"Version", 1}});
    }
  }
  store_.Put("servers", id_, entry);
}

Task Server::Load(unsigned from, unsigned to, std::uint64_t boot) {
  co_await Sleep(options_.load_s * (to - from) / options_.layers);
  if (boot != boot_ || !up_) co_return;
  busy_ = false;
  from_ = from;
  to_ = to;
  Register();
}

std::string Server::Order(const Message& request) {
  const Json order = Json::parse(request.body, nullptr, false);
  if (!order.is_object() || order.value("Operation", "") != "place") {
    return Respond(400, "{}");
  }
  const unsigned from = order.value("From", 0U);
  const unsigned to = order.value("To", 0U);
  if (order.contains("Precondition") &&
      order["Precondition"].get<std::uint64_t>() != sequence_) {
    return Respond(409, "{}");
  }
  if (from_ == from && to_ == to) return Respond(200, "{}");
  if (busy_ || from >= to || to > options_.layers) return Respond(409, "{}");
  ++sequence_;
  busy_ = true;
  Spawn([](std::shared_ptr<Server> self, unsigned from, unsigned to,
           std::uint64_t boot) -> Task {
    co_await self->Load(from, to, boot);
  }(shared_from_this(), from, to, boot_));
  return Respond(202, "{}");
}

std::string Server::NameSelf(int status) const {
  return Respond(status, "", {{"Instance-Id", id_}});
}

std::string Server::Reject(int status, const std::string& attempt) const {
  return Respond(status, "",
                 {{"Attempt-Id", attempt},
                  {"Not-Executed", "1"},
                  {"At-Server", host_ + ":" + std::to_string(port_)}});
}

std::string Server::Report() const {
  Json report = {{"Stage", "both"},       {"Busy", busy_},
                 {"Sequence", sequence_}, {"Waiting", 0},
                 {"Running", running},    {"KvUsed", 0},
                 {"KvTotal", 100000},     {"Handles", 0},
                 {"pace", 1.0},           {"Kind", options_.kind},
                 {"born", born_ms_},      {"Stalled", Json::array()}};
  report["Layers"] = Json::array();
  if (to_ > from_) {
    report["Layers"].push_back({{"From", from_}, {"To", to_}, {"Version", 1}});
  }
  return Respond(200, report.dump(), {{"Content-Type", "application/json"}});
}

Task Server::Serve(ChannelPtr channel) {
  for (;;) {
    Message request = co_await ReadHead(*channel);
    co_await ReadBody(*channel, request);
    const std::string target = request.Target();
    if (target == "/health") {
      co_await Write(*channel, NameSelf(200));
      continue;
    }
    if (target == "/-/report") {
      co_await Write(*channel, Report());
      continue;
    }
    const std::string expected = request.Field("Expect-Instance");
    if (!expected.empty() && expected != id_) {
      co_await Write(*channel, NameSelf(421));
      continue;
    }
    if (target == "/-/order") {
      co_await Write(*channel, Order(request));
      continue;
    }
    const std::string attempt = request.Field("Attempt-Id");
    if (!options_.kind.empty()) {
      // These servers are large enough to hold all layers.
      const std::string path = host_ + ":" + std::to_string(port_) + "=0-" +
                               std::to_string(options_.layers);
      const bool holds = from_ == 0 && to_ == options_.layers;
      if (!holds || request.Field("Hop-Count") != path) {
        co_await Write(*channel, Reject(421, attempt));
        continue;
      }
    }
    if (running >= options_.slots + 24) {
      co_await Write(*channel, Reject(503, attempt));
      continue;
    }
    const std::uint64_t boot = boot_;
    ++running;
    try {
      co_await work_(*this, channel, std::move(request));
    } catch (...) {
      if (boot == boot_ && running > 0) --running;
      throw;
    }
    if (boot == boot_ && running > 0) --running;
    if (!channel->socket.is_open()) co_return;
  }
}

// Daemons.

Daemon::Daemon(int n, int daemons, std::string store, int memory_mb) : n_(n) {
  name_ = "edge-" + std::to_string(n);
  std::ifstream file("deploy/daemon.ini");
  std::stringstream text;
  text << file.rdbuf();
  std::string settings = text.str();
  std::string seeds;
  for (int i = 1; i <= std::min(daemons, 3); ++i) {
    if (!seeds.empty()) seeds += ",";
    seeds += HostOf(10 + i) + ":8229";
  }
  const std::string ip = HostOf(10 + n);
  const std::map<std::string, std::string> values = {
      {"NodeName", name_},
      {"Zone", "accra-a"},
      {"Ip", ip},
      {"Seeds", seeds},
      {"Listen.Front", ip + ":8227"},
      {"Listen.Ready", ip + ":8220"},
      {"Listen.Control", ip + ":8229"},
      {"Limits.MemoryMb", std::to_string(memory_mb)},
      {"Limits.MaxFds", "6150"},
      {"Platform.Address", store},
      {"Bounds.RevokeMs", "5000"},
      {"Bounds.GraceS", "8"},
      {"Bounds.RetryBudgetRatio", "0.2"},
      {"Bounds.RetrySlack", "200"}};
  for (std::size_t at = 0; (at = settings.find("{{", at)) != std::string::npos;) {
    const auto end = settings.find("}}", at);
    const auto value = values.find(settings.substr(at + 2, end - at - 2));
    if (value == values.end()) throw std::runtime_error("unknown placeholder");
    settings.replace(at, end + 2 - at, value->second);
  }
  config_ = g_directory + "/" + name_ + ".ini";
  std::ofstream(config_) << settings;
}

void Daemon::Start() {
  const std::string log = g_directory + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::FILE* out = std::freopen(log.c_str(), "a", stdout);
    (void)out;
    dup2(STDOUT_FILENO, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    execl("target/source/daemon/wisteriayoked",
          "target/source/daemon/wisteriayoked", "--config", config_.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  g_children.push_back(pid_);
  Record(name_ + " is started");
}

void Daemon::Signal(int number) {
  if (pid_ > 0) kill(pid_, number);
}

bool Daemon::Running() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  std::erase(g_children, pid_);
  pid_ = 0;
  return false;
}

double Daemon::ResidentMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * sysconf(_SC_PAGESIZE) / 1048576.0;
}

Async<bool> WaitReady(Daemon& daemon, double seconds) {
  const double until = Now() + seconds;
  while (Now() < until) {
    Caller caller(daemon.front_host(), daemon.ready_port());
    const Answer answer = co_await caller.Send("GET", "/-/ready", {}, "", 0.5);
    if (answer.complete && answer.status == 200) co_return true;
    co_await Sleep(0.05);
  }
  co_return false;
}

// Clients.

void Caller::Drop() {
  if (channel_) channel_->Close();
  channel_.reset();
}

Async<Answer> Caller::Send(std::string method, std::string path, Fields fields,
                           std::string body, double limit_s) {
  Answer answer;
  answer.sent = Now();
  auto timer = std::make_shared<asio::steady_timer>(
      Loop(), std::chrono::microseconds(static_cast<long>(limit_s * 1e6)));
  auto timed_out = std::make_shared<bool>(false);
  ChannelPtr channel = channel_;
  if (!channel) {
    channel = std::make_shared<Channel>(Tcp::socket(Loop()));
  }
  timer->async_wait([channel, timed_out, timer](const asio::error_code& error) {
    if (error) return;
    *timed_out = true;
    channel->Close();
  });
  try {
    if (!channel_) {
      co_await channel->socket.async_connect(
          Tcp::endpoint(asio::ip::make_address(host_),
                        static_cast<unsigned short>(port_)),
          asio::use_awaitable);
      channel->socket.set_option(Tcp::no_delay(true));
      channel_ = channel;
    }
    std::string head = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields) {
      head += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
      head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    co_await Write(*channel, head + "\r\n" + body);
    answer.connected = true;
    Message message = co_await ReadHead(*channel);
    answer.status = message.Status();
    answer.sealed = !message.Field("Response-Seal").empty();
    co_await ReadBody(*channel, message, [&](std::string_view data) {
      if (answer.first == 0 && !data.empty()) answer.first = Now();
    });
    answer.body = std::move(message.body);
    answer.complete = true;
    if (Lower(message.Field("Connection")) == "close") Drop();
  } catch (const std::system_error& error) {
    answer.error = *timed_out ? "time limit" : error.code().message();
    channel->Close();
    channel_.reset();
  }
  timer->cancel();
  co_return answer;
}

// Configurations.

Json PlainRoute(const std::string& name, const std::string& prefix,
                const std::string& kind, const std::string& service,
                int timeout_ms, int target_ms, int attempts) {
  return {{"Name", name},
          {"Host", "ficu95.example"},
          {"Prefix", prefix},
          {"Kind", kind},
          {"TimeoutMs", timeout_ms},
          {"TargetLatencyMs", target_ms},
          {"Priority", 2},
          {"Service", service},
          {"MaxAttempts", attempts},
          {"AllowAnonymous", false}};
}

Json StreamRoute(const std::string& name, const std::string& prefix,
                 const std::string& service) {
  Json route = PlainRoute(name, prefix, "streaming", service, 20000, 500, 2);
  route["Priority"] = 1;
  route["SessionAffinity"] = true;
  route["StreamResume"] = true;
  route["GapAimMs"] = 200;
  return route;
}

Json ModelService(const std::string& name, const Json& kinds) {
  return {{"Name", name},
          {"HealthPath", "/health"},
          {"MaxConnections", 1068},
          {"Protocol", "h1"},
          {"Tls", false},
          {"Engine",
           {{"Slots", 192},
            {"KvCapacity", 100000},
            {"KvTokenBytes", 10000},
            {"LinkMbps", 480000.0},
            {"Stride", 2},
            {"Models", Json::array({{{"Name", "m0"},
                                     {"pace", 1.0},
                                     {"LoadS", 0.5},
                                     {"WarmS", 0.1}}})},
            {"step_ms", 0.85},
            {"per_seq_ms", 0.00382},
            {"context_per_k", 0.00512},
            {"read_per_s", 196000.0},
            {"pairs_per_m", 0.166},
            {"chunk", 512},
            {"report_lag_ms", 200.0},
            {"loads_at_once", 6},
            {"usual", {{"prompt", 772}, {"answer", 174}}},
            {"Layers", 8},
            {"LayerMb", 1750.0},
            {"ActBytes", 29500},
            {"PipeMbps", 11000.0},
            {"Kinds", kinds}}}};
}

Json Config(int version, const Json& routes, const Json& services) {
  return {{"Version", version},
          {"Routes", routes},
          {"Services", services},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 4194304},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}},
          {"Tenants",
           Json::array({{{"Name", "hule930"},
                         {"ApiKeys", Json::array({kKey})},
                         {"Priority", 1}},
                        {{"Name", "wemo114"},
                         {"ApiKeys", Json::array({kOtherKey})},
                         {"Priority", 1}}})}};
}

int Run(const std::string& record,
        const std::function<Async<int>()>& scenario, double limit_s) {
  signal(SIGPIPE, SIG_IGN);
  g_record.open(record);
  g_net_a = static_cast<int>(1 + Random() % 250);
  g_net_b = static_cast<int>(1 + Random() % 250);
  char name[] = "/tmp/review-XXXXXX";
  const char* made = mkdtemp(name);
  if (made == nullptr) return 2;
  g_directory = made;
  Record(std::string("trouble: ") + (Trouble() ? "yes" : "no"));
  int status = 2;
  asio::co_spawn(Loop(), scenario(),
                 [&status](std::exception_ptr error, int result) {
                   status = result;
                   try {
                     if (error) std::rethrow_exception(error);
                   } catch (const std::exception& what) {
                     Record(std::string("could not run: ") + what.what());
                     status = 2;
                   }
                   Loop().stop();
                 });
  asio::steady_timer limit(
      Loop(), std::chrono::milliseconds(static_cast<long>(limit_s * 1000)));
  limit.async_wait([](const asio::error_code& error) {
    if (error) return;
    Record("could not run: the time limit of the script has passed");
    Loop().stop();
  });
  Loop().run();
  KillChildren();
  Record("exit status " + std::to_string(status));
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(g_directory, ignored);
  } else {
    std::printf("kept %s\n", g_directory.c_str());
  }
  g_record.close();
  _exit(status);
}

}  // namespace rig
