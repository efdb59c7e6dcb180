#include "standins/fake_engine.h"

#include <utility>

#include "standins/fake_generation.h"
#include "wire/engine_codec.h"

namespace wisteriayoke {
namespace {

constexpr std::string_view kKvPath = "/kv/";
constexpr std::string_view kCancelPath = "/cancel/";
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusLeaving = 503;
constexpr int kStatusNotFound = 404;
constexpr int kStatusBadGateway = 502;

RequestId RequestOfPath(const std::string& target, std::string_view prefix) {
  return RequestId(target.substr(prefix.size()));
}

}  // namespace

FakeEngine::FakeEngine(EventLoop& loop, const StandinOptions& options)
    : state_{.loop = loop,
             .options = options,
             .faults = {},
             .kv = {},
             .counts = {},
             .waiting = {}},
      orders_(loop, options) {}

void FakeEngine::Handle(const HttpRequest& request, const CallerPtr& caller) {
  const std::string& target = request.target;
  if (target == "/generate") return Generate(request, caller);
  if (target == "/forward") return Forward(request, caller);
  if (target == "/orders") return caller->Respond(orders_.Handle(request));
  if (target == "/faults") return caller->Respond(SetFaults(request.body));
  if (target == "/stats") return caller->Respond(DescribeCounts());
  if (target.starts_with(kKvPath)) {
    return caller->Respond(ExportKv(RequestOfPath(target, kKvPath)));
  }
  if (target.starts_with(kCancelPath)) {
    state_.kv.Drop(RequestOfPath(target, kCancelPath));
  }
  const bool leaving = state_.faults.IsSetAt(FakeFault::kLeaving, 1);
  if (leaving && target == "/health") {
    return caller->Respond({{kStatusLeaving, {}}, "leaving"});
  }
  caller->Respond({{kStatusOk, {}}, "ok"});
}

void FakeEngine::Generate(const HttpRequest& request, const CallerPtr& caller) {
  LastReason reason;
  auto generate = ParseGenerate(request.body, reason);
  if (!generate) {
    return caller->Respond({{kStatusBadRequest, {}}, reason.message()});
  }
  std::make_shared<FakeGeneration>(state_, std::move(*generate), caller)
      ->Start();
}

void FakeEngine::Forward(const HttpRequest& request, const CallerPtr& caller) {
  LastReason reason;
  auto forward = ParseForward(request.body, reason);
  if (!forward) {
    return caller->Respond({{kStatusBadRequest, {}}, reason.message()});
  }
  if (state_.kv.AttemptOf(forward->request) >= forward->attempt) {
    return RunLayers(std::move(*forward), caller);
  }
  const KvSource source = forward->kv.empty() ? KvSource{} : forward->kv[0];
  const RequestId id = forward->request;
  const AttemptNumber attempt = forward->attempt;
  const TokenIndex index = forward->index;
  LoadKv(state_, id, attempt, index, source,
         [this, caller, forward = std::move(*forward)]() mutable {
           RunLayers(std::move(forward), caller);
         });
}

void FakeEngine::RunLayers(ForwardRequest forward, const CallerPtr& caller) {
  if (state_.faults.IsSetAt(FakeFault::kKill, forward.index)) CrashProcess();
  if (state_.faults.IsSetAt(FakeFault::kHang, forward.index)) return;
  if (!state_.kv.Append(forward.request, forward.attempt, forward.index)) {
    return RefuseForward(forward,
                         {forward.attempt, state_.options.listen.ToString(),
                          "the KV cache does not end before this token"},
                         caller);
  }
  ++state_.counts.tokens;
  const TimePoint start = state_.loop.Now();
  auto timer = std::make_shared<LoopTimerPtr>();
  *timer = state_.loop.Schedule(
      state_.options.token_time +
          state_.faults.ExtraTimeOf(FakeFault::kSlowToken),
      [this, timer, caller, start, forward = std::move(forward)]() mutable {
        ForwardToNextStage(std::move(forward), state_.loop.Now() - start,
                           caller);
        timer->reset();
      });
}

void FakeEngine::ForwardToNextStage(ForwardRequest forward,
                                    Duration compute_time,
                                    const CallerPtr& caller) {
  forward.passed.push_back(state_.options.layers);
  if (!forward.kv.empty()) forward.kv.erase(forward.kv.begin());
  if (forward.next_stages.empty()) {
    forward.timings = {{compute_time, {}}};
    return caller->Respond({{kStatusOk, {}}, EncodeForward(forward)});
  }
  SendForward(
      state_, forward,
      [this, caller, compute_time, forward](const FetchResult& result,
                                            Duration call_time) {
        LastReason reason;
        const std::string next = forward.next_stages[0].ToString();
        if (result.code != ResultCode::kOk) {
          return RefuseForward(
              forward, {forward.attempt, next, result.message, result.code},
              caller);
        }
        auto answer = ParseForward(result.response.body, reason);
        if (result.response.head.status != kStatusOk || !answer) {
          return caller->Respond(result.response);
        }
        const Duration link = LinkTimeOf(call_time, answer->timings);
        answer->timings.insert(answer->timings.begin(), {compute_time, link});
        caller->Respond({{kStatusOk, {}}, EncodeForward(*answer)});
      });
}

void FakeEngine::RefuseForward(const ForwardRequest& forward,
                               const EngineFailure& why,
                               const CallerPtr& caller) {
  caller->Respond(
      {{kStatusBadGateway, {}}, EncodeEngineLine({forward.request, why})});
}

HttpResponse FakeEngine::SetFaults(const std::string& body) {
  LastReason reason;
  const auto faults = FakeFaults::Parse(body, reason);
  if (!faults) return {{kStatusBadRequest, {}}, reason.message()};
  state_.faults = *faults;
  return {{kStatusOk, {}}, "ok"};
}

HttpResponse FakeEngine::ExportKv(const RequestId& request) const {
  const TokenIndex tokens = state_.kv.CountTokens(request);
  return {{tokens == 0 ? kStatusNotFound : kStatusOk, {}},
          std::to_string(tokens)};
}

HttpResponse FakeEngine::DescribeCounts() const {
  const FakeEngineCounts& counts = state_.counts;
  return {{kStatusOk, {{"Content-Type", "text/plain"}}},
          "running " + std::to_string(counts.running) + "\nwaiting " +
              std::to_string(state_.waiting.size()) + "\ntokens " +
              std::to_string(counts.tokens) + "\nheld " +
              std::to_string(counts.held_tokens) + "\nimported " +
              std::to_string(counts.imported_tokens) + "\nrecomputed " +
              std::to_string(counts.recomputed_tokens) + "\n"};
}

}  // namespace wisteriayoke
