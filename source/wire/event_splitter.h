#ifndef WISTERIAYOKE_WIRE_EVENT_SPLITTER_H_
#define WISTERIAYOKE_WIRE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayoke {

/// One event of an event stream, with the blank line that ends it.
struct StreamEvent {
  std::string text;
  std::optional<std::uint64_t> id;  ///< Nothing if it has no numeric id.
};

/// Cuts an event stream into whole events, so that what a broken connection
/// leaves of an event is never passed on.
class EventSplitter {
 public:
  /// Adds received bytes and returns the events that they complete.
  std::vector<StreamEvent> Push(std::string_view data);

  /// Returns the bytes after the last whole event.
  const std::string& rest() const { return input_; }

 private:
  std::string input_;
  std::size_t searched_ = 0;  ///< Bytes in which no end of an event lies.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_EVENT_SPLITTER_H_
