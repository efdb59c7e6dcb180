#ifndef WISTERIAYOKE_WIRE_COMPLETION_CODEC_H_
#define WISTERIAYOKE_WIRE_COMPLETION_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "base/result_code.h"

namespace wisteriayoke {

/// A caller's completion or chat request, reduced to what is routed.
struct CompletionRequest {
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 16;
  bool stream = false;
  bool chat = false;
};

/// Describes a whole completion.
struct CompletionAnswer {
  std::string id;
  std::string model;
  std::string text;
  std::string finish_reason;
  std::uint32_t completion_tokens = 0;
};

/// Parses an OpenAI-style body; `chat` selects "messages" over "prompt". Fails
/// with kMalformedJson or kFieldInvalid.
std::optional<CompletionRequest> ParseCompletion(std::string_view json,
                                                 bool chat, LastReason& reason);

/// Returns the JSON body of a whole answer.
std::string EncodeCompletion(const CompletionAnswer& answer, bool chat);

/// Returns one server-sent event for one token.
std::string EncodeTokenEvent(std::string_view id, std::string_view model,
                             std::string_view text, bool chat);

/// Returns the events that end a whole answer.
std::string EncodeEndEvents(std::string_view id, std::string_view model,
                            std::string_view finish_reason, bool chat);

/// Returns the event that reports a broken answer.
std::string EncodeErrorEvent(ResultCode code, std::string_view message);

/// Returns the JSON body of an error.
std::string EncodeErrorBody(ResultCode code, std::string_view message);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_COMPLETION_CODEC_H_
