#include "standins/fake_layered_stream.h"

#include <charconv>

#include "runtime/http_client_call.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

/// Timeout for an answer of another stage, which is on the same machine.
constexpr Duration kStageTimeout = std::chrono::milliseconds(300);
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::optional<std::uint32_t> ParseNumber(std::string_view text) {
  std::uint32_t number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc()) return std::nullopt;
  return number;
}

std::optional<FakeStage> ParseStage(std::string_view text) {
  const std::size_t equals = text.find('=');
  const std::size_t dash = text.find('-', equals);
  if (equals == std::string_view::npos || dash == std::string_view::npos) {
    return std::nullopt;
  }
  LastReason reason;
  const auto endpoint =
      ParseEndpoint(std::string(text.substr(0, equals)), reason);
  const auto first = ParseNumber(text.substr(equals + 1));
  const auto end = ParseNumber(text.substr(dash + 1));
  if (!endpoint || !first || !end) return std::nullopt;
  return FakeStage{*endpoint, {*first, *end}};
}

}  // namespace

std::optional<std::vector<FakeStage>> ParseFakeChain(std::string_view text) {
  std::vector<FakeStage> stages;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const auto stage = ParseStage(text.substr(0, comma));
    if (!stage) return std::nullopt;
    stages.push_back(*stage);
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return stages;
}

void FakeLayeredStream::Start(std::uint64_t last_event,
                              std::uint64_t final_event,
                              Duration event_interval) {
  next_event_ = last_event + 1;
  final_event_ = final_event;
  event_interval_ = event_interval;
  caller_->set_on_closed([self = shared_from_this()] { self->timer_.reset(); });
  CheckStages();
}

void FakeLayeredStream::CheckStages() {
  if (other_stages_.empty()) return Emit();
  pending_checks_ = other_stages_.size();
  for (const auto& stage : other_stages_) {
    FetchResponse(
        loop_, stage.endpoint,
        {.target = "/parts?first=" + std::to_string(stage.layers.first) +
                   "&end=" + std::to_string(stage.layers.end)},
        {.connect_timeout = kStageTimeout, .idle_timeout = kStageTimeout},
        [self = shared_from_this(),
         endpoint = stage.endpoint](const FetchResult& result) {
          const bool good = result.code == ResultCode::kOk &&
                            result.response.head.status == kOk;
          self->HandleStageResult(endpoint, good);
        });
  }
}

void FakeLayeredStream::HandleStageResult(const Endpoint& stage, bool good) {
  if (!good) stalled_at_ = stage;
  if (--pending_checks_ > 0 || caller_->closed()) return;
  if (!stalled_at_) return Emit();
  if (!begun_) Refuse(*stalled_at_);
}

void FakeLayeredStream::Refuse(const Endpoint& stage) {
  caller_->Respond({{kUnavailable,
                     {{"Attempt-Id", attempt_},
                      {"Not-Executed", "1"},
                      {"At-Server", stage.ToString()}}},
                    ""});
}

void FakeLayeredStream::Emit() {
  if (!begun_) {
    begun_ = true;
    caller_->StartStream({kOk,
                          {{"Content-Type", "text/event-stream"},
                           {"Attempt-Id", attempt_},
                           {"Response-Seal", "stand-in"}}});
  }
  const std::string number = std::to_string(next_event_);
  caller_->WriteChunk("id: " + number + "\ndata: t" + number + "\n\n");
  if (next_event_++ >= final_event_) return caller_->EndStream();
  timer_ = loop_.Schedule(event_interval_,
                          [self = shared_from_this()] { self->CheckStages(); });
}

}  // namespace wisteriayoke
