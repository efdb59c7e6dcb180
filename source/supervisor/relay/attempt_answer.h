#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_ATTEMPT_ANSWER_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_ATTEMPT_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "wire/event_splitter.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// The answer of an upstream to one attempt, as far as it has arrived: whole
/// events of a stream, or the body of any other answer.
class AttemptAnswer {
 public:
  /// `streaming` tells whether the request asks for a stream; only a successful
  /// answer is one.
  AttemptAnswer(HttpResponseHead head, bool streaming);

  const HttpResponseHead& head() const { return head_; }
  bool is_stream() const { return is_stream_; }

  /// Whether the status tells of success.
  bool IsGood() const;

  /// Whether the status tells of a failure of the upstream.
  bool IsServerError() const;

  /// Whether the upstream isn't the one that was asked.
  bool IsMisdirected() const;

  /// Whether callers take the status for a promise that nothing has run.
  bool ImpliesNotRun() const;

  /// Adds a part of the body of a stream. Returns the events that are now whole
  /// and follow `last_event_id`, which it moves on, or nothing if no event is
  /// whole: a resumed run may repeat events that the caller has.
  std::optional<std::string> PushEvents(
      std::string_view data, std::optional<std::uint64_t>& last_event_id);

  /// Returns the number of events that `PushEvents` returned since the last
  /// call.
  std::size_t TakeEventCount() { return std::exchange(event_count_, 0); }

  /// Adds a part of the body of any other answer.
  void PushBody(std::string_view data) { body_ += data; }

  /// Whether an event or the body is too long to be held.
  bool overflowed() const;

  /// Whether the stream ended inside an event.
  bool IsTruncated() const;

  /// The line ends after the last event of a stream.
  const std::string& rest() const { return splitter_.rest(); }

  std::string TakeBody() { return std::exchange(body_, {}); }

 private:
  HttpResponseHead head_;
  bool is_stream_;
  std::string body_;
  EventSplitter splitter_;
  std::size_t event_count_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_ATTEMPT_ANSWER_H_
