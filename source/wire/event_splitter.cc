#include "wire/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace wisteriayoke {
namespace {

constexpr std::string_view kIdField = "id:";

/// Returns the position after the first blank line from `from` on, or npos.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t i = text.find('\n', from); i != std::string_view::npos;
       i = text.find('\n', i + 1)) {
    const std::string_view next = text.substr(i + 1);
    if (next.starts_with('\n')) return i + 2;
    if (next.starts_with("\r\n")) return i + 3;
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  while (text.starts_with(' ')) text.remove_prefix(1);
  while (text.ends_with('\r')) text.remove_suffix(1);
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

std::optional<std::uint64_t> FindId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    const std::string_view line = event.substr(0, end);
    if (line.starts_with(kIdField)) {
      return ParseNumber(line.substr(kIdField.size()));
    }
    event.remove_prefix(std::min(end + 1, event.size()));
  }
  return std::nullopt;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Push(std::string_view data) {
  input_.append(data);
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  std::size_t from = searched_;
  for (std::size_t end = FindEventEnd(input_, from);
       end != std::string_view::npos; end = FindEventEnd(input_, from)) {
    StreamEvent event{input_.substr(begin, end - begin)};
    event.id = FindId(event.text);
    events.push_back(std::move(event));
    begin = from = end;
  }
  input_.erase(0, begin);
  // The last three bytes may begin the blank line that ends an event.
  constexpr std::size_t kLongestEnd = 3;
  searched_ = input_.size() > kLongestEnd ? input_.size() - kLongestEnd : 0;
  return events;
}

}  // namespace wisteriayoke
