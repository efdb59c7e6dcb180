#include "wire/http_head_scanner.h"

namespace wisteriayoke {

std::size_t HttpHeadScanner::Scan(std::string_view data) {
  std::size_t scanned = 0;
  while (!ended_ && scanned < data.size()) {
    const char byte = data[scanned++];
    if (line_bytes_ == 0 && (byte == ' ' || byte == '\t')) {
      has_continued_line_ = true;
    }
    ++line_bytes_;
    if (byte == '\n' && after_cr_) {
      ended_ = line_bytes_ == std::string_view("\r\n").size();
      line_bytes_ = 0;
    }
    after_cr_ = byte == '\r';
  }
  return scanned;
}

}  // namespace wisteriayoke
