#include "standins/fake_generation.h"

#include <utility>

namespace wisteriayoke {
namespace {

constexpr Duration kStageTimeout = std::chrono::milliseconds(500);

/// Text of a token; it depends only on the prompt and the index, so that a
/// resumed answer can be compared with an undisturbed one.
std::string TokenText(const std::string& prompt, TokenIndex index) {
  return prompt.substr(0, 1) + std::to_string(index) + " ";
}

}  // namespace

void SendForward(EventLoop& loop, ForwardRequest forward,
                 std::function<void(FetchResult)> done) {
  const Endpoint next = forward.next_stages.front();
  forward.next_stages.erase(forward.next_stages.begin());
  FetchWhole(
      loop, next,
      {.method = "POST", .target = "/forward", .body = EncodeForward(forward)},
      {.idle_timeout = kStageTimeout}, std::move(done));
}

FakeGeneration::FakeGeneration(EventLoop& loop, const StandinOptions& options,
                               GenerateRequest request,
                               std::shared_ptr<HttpServerSession> caller)
    : loop_(loop),
      options_(options),
      request_(std::move(request)),
      caller_(std::move(caller)),
      next_(request_.first_token) {}

void FakeGeneration::Start() {
  caller_->StartStream({200, {{"Content-Type", "application/x-ndjson"}}});
  NextToken();
}

void FakeGeneration::NextToken() {
  if (caller_->closed()) return;
  if (next_ == request_.max_tokens) {
    caller_->WritePiece(EncodeEngineLine(
        {request_.request, StreamEnded{request_.attempt, "length"}}));
    return caller_->EndStream();
  }
  timer_ = loop_.Schedule(options_.token_time,
                          [self = shared_from_this()] { self->RunLayers(); });
}

void FakeGeneration::RunLayers() {
  if (request_.next_stages.empty()) return EmitToken({options_.layers});
  SendForward(loop_,
              {.request = request_.request,
               .attempt = request_.attempt,
               .index = next_,
               .passed = {options_.layers},
               .next_stages = request_.next_stages},
              [self = shared_from_this()](const FetchResult& result) {
                self->HandleForwarded(result);
              });
}

void FakeGeneration::HandleForwarded(const FetchResult& result) {
  if (result.code != ResultCode::kOk) return EmitFailure(result.message);
  LastReason reason;
  const auto forward = ParseForward(result.response.body, reason);
  if (!forward) return EmitFailure(reason.message());
  EmitToken(forward->passed);
}

void FakeGeneration::EmitToken(const std::vector<LayerRange>& passed) {
  caller_->WritePiece(EncodeEngineLine(
      {request_.request,
       TokenArrived{request_.attempt, next_, TokenText(request_.prompt, next_),
                    passed}}));
  ++next_;
  NextToken();
}

void FakeGeneration::EmitFailure(const std::string& message) {
  caller_->WritePiece(EncodeEngineLine(
      {request_.request,
       EngineFailure{request_.attempt, request_.next_stages.front().ToString(),
                     message}}));
  caller_->EndStream();
}

}  // namespace wisteriayoke
