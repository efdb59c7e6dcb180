#include "standins/fake_layered_worker.h"

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "runtime/http_client_call.h"

namespace wisteriayoke {
namespace {

using Json = nlohmann::json;

constexpr Duration kLoadTime = std::chrono::milliseconds(100);
constexpr Duration kRegisterRetry = std::chrono::milliseconds(200);
constexpr Duration kHeartbeat = std::chrono::milliseconds(1200);
/// The platform removes the entry of an upstream after three silent heartbeats.
constexpr std::string_view kEntryLifetime = "?lifetime_ms=3600";
constexpr std::string_view kRunsTarget = "/runs?";
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

std::int64_t ReadWallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Parses the number after `mark` in `text`; returns 0 if there is none.
std::uint64_t ReadNumberAfter(std::string_view text, std::string_view mark) {
  const std::size_t at = text.find(mark);
  if (at == std::string_view::npos) return 0;
  text.remove_prefix(at + mark.size());
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

FakeLayeredWorker::FakeLayeredWorker(EventLoop& loop,
                                     const StandinOptions& options)
    : loop_(loop), options_(options), started_ms_(ReadWallClockMs()) {
  if (options_.store) SendHeartbeat();
}

void FakeLayeredWorker::SendHeartbeat() {
  Register();
  heartbeat_timer_ = loop_.Schedule(kHeartbeat, [this] { SendHeartbeat(); });
}

void FakeLayeredWorker::Register() {
  if (!options_.store) return;
  register_timer_ = loop_.Schedule(Duration::zero(), [this] {
    FetchResponse(loop_, *options_.store,
                  {.method = "PUT",
                   .target = "/rows/servers/" + options_.name +
                             std::string(kEntryLifetime),
                   .body = DescribeEntry()},
                  {}, [this](const FetchResult& result) {
                    if (result.code == ResultCode::kOk) return;
                    register_timer_ =
                        loop_.Schedule(kRegisterRetry, [this] { Register(); });
                  });
  });
}

std::string FakeLayeredWorker::DescribeEntry() const {
  Json entry = {{"Service", options_.pool},
                {"Address", options_.listen.ToString()},
                {"Zone", options_.data_centre},
                {"Slots", options_.slots},
                {"State", draining_ ? "draining" : "ready"},
                {"born", started_ms_}};
  if (!options_.accelerator.empty()) entry["Kind"] = options_.accelerator;
  if (layers_ != LayerRange{}) {
    entry["Layers"] = {{"From", layers_.first}, {"To", layers_.end}};
  }
  return entry.dump();
}

void FakeLayeredWorker::Handle(const HttpRequest& request,
                               const Caller& caller) {
  if (HandleControl(request, caller)) return;
  if (request.target == "/-/report") {
    return caller->Respond({{kOk, {}}, DescribeState()});
  }
  if (request.target == "/-/order") return HandleOrder(request, caller);
  HandleWork(request, caller);
}

bool FakeLayeredWorker::HandleControl(const HttpRequest& request,
                                      const Caller& caller) {
  const std::string& target = request.target;
  if (target.starts_with("/parts?")) {
    const LayerRange part{
        static_cast<std::uint32_t>(ReadNumberAfter(target, "first=")),
        static_cast<std::uint32_t>(ReadNumberAfter(target, "end="))};
    caller->Respond({{HoldsLayers(part) ? kOk : kNotFound, {}}, ""});
    return true;
  }
  if (target == "/leaving" && request.method == "PUT") {
    draining_ = true;
    Register();
    caller->Respond({{kOk, {}}, ""});
    return true;
  }
  if (!target.starts_with(kRunsTarget)) return false;
  const std::string attempt = target.substr(kRunsTarget.size());
  caller->Respond({{kOk, {}}, std::to_string(runs_[attempt])});
  return true;
}

std::string FakeLayeredWorker::DescribeState() const {
  Json stalled = Json::array();
  for (const auto& weak : streams_) {
    const auto stream = weak.lock();
    if (!stream || !stream->stalled_at()) continue;
    stalled.push_back({{"Id", stream->attempt()},
                       {"Address", stream->stalled_at()->ToString()}});
  }
  const Json report = {{"Sequence", sequence_},
                       {"Busy", order_timer_ != nullptr},
                       {"pace", 1.0},
                       {"Stalled", stalled}};
  return report.dump();
}

void FakeLayeredWorker::HandleOrder(const HttpRequest& request,
                                    const Caller& caller) {
  const Json order = Json::parse(request.body, nullptr, false);
  const bool valid = order.is_object() && order.contains("From") &&
                     order.contains("To") && order_timer_ == nullptr &&
                     order.value("Precondition", sequence_) == sequence_;
  if (!valid) return caller->Respond({{kConflict, {}}, ""});
  ++sequence_;
  const LayerRange layers{order["From"], order["To"]};
  order_timer_ =
      loop_.Schedule(kLoadTime, [this, layers] { EndOrder(layers); });
  caller->Respond({{kAccepted, {}}, ""});
}

void FakeLayeredWorker::EndOrder(const LayerRange& layers) {
  layers_ = layers;
  Register();
  const LoopTimerPtr running = std::exchange(order_timer_, nullptr);
}

bool FakeLayeredWorker::HoldsLayers(const LayerRange& layers) const {
  return layers_.first <= layers.first && layers.end <= layers_.end;
}

void FakeLayeredWorker::HandleWork(const HttpRequest& request,
                                   const Caller& caller) {
  const std::string attempt(FindField(request.fields, "Attempt-Id"));
  const std::string_view expected =
      FindField(request.fields, "Expect-Instance");
  if (!expected.empty() && expected != options_.name) {
    return caller->Respond({{kMisdirected, {{"Attempt-Id", attempt}}}, ""});
  }
  if (!options_.accelerator.empty()) {
    return HandleStream(request, caller, attempt);
  }
  ++runs_[attempt];
  caller->Respond(
      {{kOk, {{"Attempt-Id", attempt}, {"Response-Seal", "stand-in"}}},
       "answered by " + options_.name + "\n"});
}

void FakeLayeredWorker::HandleStream(const HttpRequest& request,
                                     const Caller& caller,
                                     const std::string& attempt) {
  // Despite its name, "Hop-Count" holds the stages of the chain.
  auto stages = ParseFakeChain(FindField(request.fields, "Hop-Count"));
  const bool valid = stages && !stages->empty() &&
                     stages->front().endpoint == options_.listen &&
                     HoldsLayers(stages->front().layers);
  if (!valid) {
    return caller->Respond(
        {{kMisdirected,
          {{"Attempt-Id", attempt}, {"At-Server", options_.listen.ToString()}}},
         ""});
  }
  ++runs_[attempt];
  stages->erase(stages->begin());
  const auto stream = std::make_shared<FakeLayeredStream>(
      loop_, caller, attempt, std::move(*stages));
  std::erase_if(streams_, [](const auto& weak) { return weak.expired(); });
  streams_.push_back(stream);
  stream->Start(ReadNumberAfter(FindField(request.fields, "Last-Event-Id"), ""),
                ReadNumberAfter(FindField(request.fields, "Token-Counts"), ","),
                options_.token_time);
}

}  // namespace wisteriayoke
