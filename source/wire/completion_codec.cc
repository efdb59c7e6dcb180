#include "wire/completion_codec.h"

#include <nlohmann/json.hpp>

namespace wisteriayoke {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kMaxTokensLimit = 100'000;

/// Returns `json` as text. Bytes that are not UTF-8 are replaced, since error
/// messages may quote arbitrary input.
std::string ToText(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string JoinMessages(const Json& messages) {
  std::string prompt;
  for (const auto& message : messages) {
    prompt += message.at("role").get<std::string>() + ": " +
              message.at("content").get<std::string>() + "\n";
  }
  return prompt;
}

CompletionRequest ReadCompletion(const Json& body, bool chat) {
  CompletionRequest request;
  request.chat = chat;
  request.model = body.value("model", "");
  request.prompt = chat ? JoinMessages(body.at("messages"))
                        : body.at("prompt").get<std::string>();
  request.max_tokens = body.value("max_tokens", request.max_tokens);
  request.stream = body.value("stream", false);
  return request;
}

Json ChoiceToJson(std::string_view text, bool chat, bool delta) {
  Json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (!chat) {
    choice["text"] = text;
  } else if (delta) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  }
  return choice;
}

Json EventToJson(std::string_view id, std::string_view model, Json choice,
                 bool chat) {
  return {{"id", id},
          {"object", chat ? "chat.completion.chunk" : "text_completion"},
          {"model", model},
          {"choices", Json::array({std::move(choice)})}};
}

std::string FormatEvent(const Json& event) {
  return "data: " + ToText(event) + "\n\n";
}

Json ErrorToJson(ResultCode code, std::string_view message) {
  const ResultCodeInfo& info = DescribeResultCode(code);
  return {{"error",
           {{"code", static_cast<int>(code)},
            {"type", info.name},
            {"outcome", kOutcomeNames.NameOf(info.outcome)},
            {"message", message},
            {"remedy", info.remedy}}}};
}

}  // namespace

std::optional<CompletionRequest> ParseCompletion(std::string_view json,
                                                 bool chat,
                                                 LastReason& reason) {
  try {
    CompletionRequest request = ReadCompletion(Json::parse(json), chat);
    if (request.max_tokens >= 1 && request.max_tokens <= kMaxTokensLimit) {
      return request;
    }
    reason.Set(ResultCode::kFieldInvalid,
               "\"max_tokens\" must lie in [1, 100000].");
  } catch (const Json::parse_error& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kFieldInvalid, error.what());
  }
  return std::nullopt;
}

std::string EncodeCompletion(const CompletionAnswer& answer, bool chat) {
  Json choice = ChoiceToJson(answer.text, chat, false);
  choice["finish_reason"] = answer.finish_reason;
  return ToText({{"id", answer.id},
                 {"object", chat ? "chat.completion" : "text_completion"},
                 {"model", answer.model},
                 {"choices", Json::array({choice})},
                 {"usage", {{"completion_tokens", answer.completion_tokens}}}});
}

std::string EncodeTokenEvent(std::string_view id, std::string_view model,
                             std::string_view text, bool chat) {
  return FormatEvent(
      EventToJson(id, model, ChoiceToJson(text, chat, true), chat));
}

std::string EncodeEndEvents(std::string_view id, std::string_view model,
                            std::string_view finish_reason, bool chat) {
  Json choice = ChoiceToJson("", chat, true);
  choice["finish_reason"] = finish_reason;
  return FormatEvent(EventToJson(id, model, std::move(choice), chat)) +
         "data: [DONE]\n\n";
}

std::string EncodeErrorEvent(ResultCode code, std::string_view message) {
  return FormatEvent(ErrorToJson(code, message));
}

std::string EncodeErrorBody(ResultCode code, std::string_view message) {
  return ToText(ErrorToJson(code, message));
}

}  // namespace wisteriayoke
