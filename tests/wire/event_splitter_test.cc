#include "wire/event_splitter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace wisteriayoke {
namespace {

std::vector<std::string> TextsOf(const std::vector<StreamEvent>& events) {
  std::vector<std::string> texts;
  texts.reserve(events.size());
  for (const auto& event : events) texts.push_back(event.text);
  return texts;
}

}  // namespace

TEST_CASE("events don't depend on how the bytes are split") {
  CHECK(rc::check("any split", [] {
    std::string stream;
    const int count = *rc::gen::inRange(0, 20);
    std::vector<std::string> expected;
    for (int i = 0; i < count; ++i) {
      const std::string end = *rc::gen::element<std::string>("\n", "\r\n");
      expected.push_back("id: " + std::to_string(i) + end + "data: x" + end +
                         end);
      stream += expected.back();
    }
    const std::string partial =
        *rc::gen::element<std::string>("", "id: 9", "\r");
    stream += partial;
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    std::size_t at = 0;
    while (at < stream.size()) {
      const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 15));
      for (auto& event :
           splitter.Push(std::string_view(stream).substr(at, size))) {
        events.push_back(event);
      }
      at += size;
    }
    RC_ASSERT(TextsOf(events) == expected);
    RC_ASSERT(splitter.rest() == partial);
    for (int i = 0; i < count; ++i) {
      RC_ASSERT(events[static_cast<std::size_t>(i)].id ==
                static_cast<std::uint64_t>(i));
    }
  }));
}

TEST_CASE("an event without a numeric id field has no id") {
  EventSplitter splitter;
  const auto events = splitter.Push("data: x\n\nid: y\n\nid:7\n\n");
  REQUIRE(events.size() == 3);
  CHECK_FALSE(events[0].id.has_value());
  CHECK_FALSE(events[1].id.has_value());
  CHECK(events[2].id == 7);
}

}  // namespace wisteriayoke
