#ifndef WISTERIAYOKE_WIRE_EVENT_SPLITTER_H_
#define WISTERIAYOKE_WIRE_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayoke {

/// One event of an event stream, including the blank line that ends it.
struct StreamEvent {
  std::string text;
  std::optional<std::uint64_t> id;  ///< Empty without a numeric id.
};

/// Splits an event stream into complete events, so that an event truncated by a
/// broken connection is never forwarded.
class EventSplitter {
 public:
  /// Adds received bytes and returns the events that are now complete.
  std::vector<StreamEvent> Push(std::string_view data);

  /// Longest event; a longer one is not a usable answer.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  /// Returns whether an event is longer than `kMaxEventBytes`.
  bool overflowed() const { return input_.size() > kMaxEventBytes; }

  /// Returns the bytes after the last complete event.
  const std::string& rest() const { return input_; }

 private:
  std::string input_;
  std::size_t searched_ = 0;  ///< Bytes of `input_` without an event's end.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_EVENT_SPLITTER_H_
