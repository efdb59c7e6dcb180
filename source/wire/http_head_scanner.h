#ifndef WISTERIAYOKE_WIRE_HTTP_HEAD_SCANNER_H_
#define WISTERIAYOKE_WIRE_HTTP_HEAD_SCANNER_H_

#include <cstddef>
#include <string_view>

namespace wisteriayoke {

/// Finds the end of a message's head, and lines in it that continue the one
/// before, in bytes that arrive in pieces.
class HttpHeadScanner {
 public:
  /// Scans the bytes that follow those scanned before, up to the end of the
  /// head, and returns how many belong to it.
  std::size_t Scan(std::string_view data);

  /// Whether the blank line that ends the head was scanned.
  bool ended() const { return ended_; }

  /// Whether a line begins with a space or a tab.
  bool has_continued_line() const { return has_continued_line_; }

 private:
  std::size_t line_bytes_ = 0;  ///< Bytes of the current line so far.
  bool after_cr_ = false;
  bool ended_ = false;
  bool has_continued_line_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_HEAD_SCANNER_H_
