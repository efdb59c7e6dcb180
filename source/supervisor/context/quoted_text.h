#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_QUOTED_TEXT_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_QUOTED_TEXT_H_

#include <string>
#include <string_view>

namespace wisteriayoke {

/// Returns `value` as a JSON string in ASCII, which has no control character.
std::string Quote(std::string_view value);

/// Returns `value` as one word of a line: as it is, or quoted if it is empty or
/// has a blank, a quote, "=" or any character that may not be visible or end
/// the line.
std::string QuoteIfNeeded(std::string_view value);

/// Returns the value that `word` stands for. One that is no valid JSON string
/// is taken as it is between its quotes.
std::string UnquoteIfQuoted(std::string_view word);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_QUOTED_TEXT_H_
