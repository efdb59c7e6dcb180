#include "standins/fake_generation.h"

#include <utility>

namespace wisteriayoke {
namespace {

constexpr int kStatusOk = 200;

/// Returns the text of a token, which depends only on the prompt and the index,
/// so that a resumed answer can be compared with an undisturbed one.
std::string TokenText(const std::string& prompt, TokenIndex index) {
  return prompt.substr(0, 1) + std::to_string(index) + " ";
}

}  // namespace

FakeGeneration::FakeGeneration(FakeEngineState& state, GenerateRequest request,
                               std::shared_ptr<HttpServerSession> caller)
    : state_(state),
      request_(std::move(request)),
      caller_(std::move(caller)),
      crash_token_(FindCrashToken(request_.prompt)),
      next_(request_.first_token) {}

void FakeGeneration::Start() {
  caller_->set_on_closed([self = shared_from_this()] { self->End(); });
  caller_->set_on_writable([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !std::exchange(self->paused_, false)) return;
    self->NextToken();
  });
  caller_->StartStream({200, {{"Content-Type", "application/x-ndjson"}}});
  if (state_.counts.running < state_.options.slots) return Begin();
  state_.waiting.push_back([self = shared_from_this()] { self->Begin(); });
}

void FakeGeneration::Begin() {
  if (ended_) return;
  running_ = true;
  ++state_.counts.running;
  deadline_timer_ = state_.loop.Schedule(request_.time_left, [this] {
    const auto self = shared_from_this();
    caller_->Abort();
    End();
  });
  LoadKv(state_, request_.request, request_.attempt, next_, SourceOfStage(0),
         [self = shared_from_this()] { self->NextToken(); });
}

void FakeGeneration::End() {
  if (std::exchange(ended_, true)) return;
  timer_.reset();
  deadline_timer_.reset();
  if (running_) --state_.counts.running;
  while (!state_.waiting.empty() &&
         state_.counts.running < state_.options.slots) {
    const auto begin = std::move(state_.waiting.front());
    state_.waiting.pop_front();
    begin();
  }
}

KvSource FakeGeneration::SourceOfStage(std::size_t stage) const {
  return stage < request_.kv.size() ? request_.kv[stage] : KvSource{};
}

void FakeGeneration::NextToken() {
  if (ended_ || caller_->closed()) return End();
  if (caller_->ShouldPause()) {
    paused_ = true;
    return;
  }
  if (next_ == request_.max_tokens) return EmitEnd("length");
  if (ApplyFault()) return;
  token_start_ = state_.loop.Now();
  timer_ =
      state_.loop.Schedule(state_.options.token_time +
                               state_.faults.ExtraTimeOf(FakeFault::kSlowToken),
                           [self = shared_from_this()] { self->RunLayers(); });
}

/// Applies a fault that prevents the next token; returns whether there was one.
bool FakeGeneration::ApplyFault() {
  const FakeFaults& faults = state_.faults;
  if (crash_token_ == next_ || faults.IsSetAt(FakeFault::kKill, next_)) {
    CrashProcess();
  }
  if (faults.IsSetAt(FakeFault::kHang, next_)) return true;
  if (faults.IsSetAt(FakeFault::kEarlyEnd, next_)) {
    EmitEnd("length");
    return true;
  }
  if (faults.IsSetAt(FakeFault::kCutStream, next_)) {
    caller_->EndStream();
    End();
    return true;
  }
  return false;
}

void FakeGeneration::RunLayers() {
  compute_time_ = state_.loop.Now() - token_start_;
  if (!state_.kv.Append(request_.request, request_.attempt, next_)) {
    return EmitFailure({request_.attempt, state_.options.listen.ToString(),
                        "the KV cache does not end before this token"});
  }
  ++state_.counts.tokens;
  if (request_.next_stages.empty()) {
    return EmitToken({state_.options.layers}, {{compute_time_, {}}});
  }
  ForwardToken();
}

void FakeGeneration::ForwardToken() {
  ForwardRequest forward{.request = request_.request,
                         .attempt = request_.attempt,
                         .index = next_,
                         .passed = {state_.options.layers},
                         .timings = {},
                         .next_stages = request_.next_stages,
                         .kv = {}};
  for (std::size_t i = 1; i <= request_.next_stages.size(); ++i) {
    forward.kv.push_back(SourceOfStage(i));
  }
  SendForward(state_, std::move(forward),
              [self = shared_from_this()](const FetchResult& result,
                                          Duration call_time) {
                self->HandleForwarded(result, call_time);
              });
}

void FakeGeneration::HandleForwarded(const FetchResult& result,
                                     Duration call_time) {
  if (ended_) return;
  const std::string next = request_.next_stages.front().ToString();
  if (result.code != ResultCode::kOk) {
    return EmitFailure({request_.attempt, next, result.message, result.code});
  }
  LastReason reason;
  if (result.response.head.status != kStatusOk) {
    const auto line = ParseEngineLine(result.response.body, reason);
    const auto* failure =
        line ? std::get_if<EngineFailure>(&line->content) : nullptr;
    return EmitFailure(failure == nullptr
                           ? EngineFailure{request_.attempt, next, "refused"}
                           : *failure);
  }
  auto forward = ParseForward(result.response.body, reason);
  if (!forward) {
    return EmitFailure({request_.attempt, next, reason.message()});
  }
  const Duration link = LinkTimeOf(call_time, forward->timings);
  forward->timings.insert(forward->timings.begin(), {compute_time_, link});
  EmitToken(std::move(forward->passed), std::move(forward->timings));
}

void FakeGeneration::EmitToken(std::vector<LayerRange> passed,
                               std::vector<StageTiming> timings) {
  const FakeFaults& faults = state_.faults;
  if (faults.IsSetAt(FakeFault::kSkipLayer, next_)) --passed.front().end;
  const AttemptNumber wrong =
      faults.IsSetAt(FakeFault::kWrongAttempt, next_) ? 1 : 0;
  const std::string line = EncodeEngineLine(
      {request_.request, TokenArrived{request_.attempt + wrong, next_,
                                      TokenText(request_.prompt, next_),
                                      std::move(passed), std::move(timings)}});
  caller_->WriteChunk(line);
  if (faults.IsSetAt(FakeFault::kRepeatToken, next_)) caller_->WriteChunk(line);
  ++next_;
  NextToken();
}

void FakeGeneration::EmitEnd(const std::string& finish_reason) {
  caller_->WriteChunk(EncodeEngineLine(
      {request_.request, StreamEnded{request_.attempt, finish_reason, next_}}));
  caller_->EndStream();
  End();
}

void FakeGeneration::EmitFailure(const EngineFailure& failure) {
  caller_->WriteChunk(EncodeEngineLine({request_.request, failure}));
  caller_->EndStream();
  End();
}

}  // namespace wisteriayoke
