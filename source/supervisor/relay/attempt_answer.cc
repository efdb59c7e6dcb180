#include "supervisor/relay/attempt_answer.h"

#include <vector>

namespace wisteriayoke {
namespace {

/// Most bytes of an answer that isn't a stream; it is held until it is whole.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusMultipleChoices = 300;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

}  // namespace

AttemptAnswer::AttemptAnswer(HttpResponseHead head, bool streaming)
    : head_(std::move(head)), is_stream_(streaming && IsGood()) {}

bool AttemptAnswer::IsGood() const {
  return head_.status >= kStatusOk && head_.status < kStatusMultipleChoices;
}

bool AttemptAnswer::IsServerError() const {
  return head_.status >= kStatusServerError;
}

bool AttemptAnswer::IsMisdirected() const {
  return head_.status == kStatusMisdirected;
}

bool AttemptAnswer::ImpliesNotRun() const {
  return IsMisdirected() || head_.status == kStatusRequestTimeout ||
         head_.status == kStatusTooManyRequests ||
         head_.status == kStatusUnavailable;
}

std::optional<std::string> AttemptAnswer::PushEvents(
    std::string_view data, std::optional<std::uint64_t>& last_event_id) {
  const std::vector<StreamEvent> events = splitter_.Push(data);
  if (events.empty()) return std::nullopt;
  std::string text;
  for (const auto& event : events) {
    if (event.id && last_event_id && *event.id <= *last_event_id) continue;
    if (event.id) last_event_id = event.id;
    text += event.text;
    ++event_count_;
  }
  return text;
}

bool AttemptAnswer::overflowed() const {
  return splitter_.overflowed() || body_.size() > kMaxAnswerBytes;
}

bool AttemptAnswer::IsTruncated() const {
  return rest().find_first_not_of("\r\n") != std::string::npos;
}

}  // namespace wisteriayoke
