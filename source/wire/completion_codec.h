#ifndef WISTERIAYOKE_WIRE_COMPLETION_CODEC_H_
#define WISTERIAYOKE_WIRE_COMPLETION_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "base/result_code.h"

namespace wisteriayoke {

/// The fields of a caller's completion or chat request that engines get.
struct CompletionRequest {
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 16;
  bool stream = false;
  bool chat = false;
};

/// A complete answer to a completion or chat request.
struct CompletionAnswer {
  std::string id;
  std::string model;
  std::string text;
  std::string finish_reason;
  std::uint32_t completion_tokens = 0;
};

/// Parses an OpenAI-style body, with "messages" if `chat` is set, else with
/// "prompt". Fails with kMalformedJson or kFieldInvalid.
std::optional<CompletionRequest> ParseCompletion(std::string_view json,
                                                 bool chat, LastReason& reason);

/// Returns the JSON body of an answer that is not streamed.
std::string EncodeCompletion(const CompletionAnswer& answer, bool chat);

/// Returns the server-sent event for one token.
std::string EncodeTokenEvent(std::string_view id, std::string_view model,
                             std::string_view text, bool chat);

/// Returns the server-sent events that end a complete stream.
std::string EncodeEndEvents(std::string_view id, std::string_view model,
                            std::string_view finish_reason, bool chat);

/// Returns the server-sent event that reports an error in a stream.
std::string EncodeErrorEvent(ResultCode code, std::string_view message);

/// Returns the JSON body of an error answer.
std::string EncodeErrorBody(ResultCode code, std::string_view message);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_COMPLETION_CODEC_H_
