#ifndef WISTERIAYOKE_WIRE_ENGINE_CODEC_H_
#define WISTERIAYOKE_WIRE_ENGINE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/last_reason.h"
#include "base/time_types.h"
#include "decisions/chain.h"
#include "decisions/kv_plan.h"
#include "decisions/model_request.h"

namespace wisteriayoke {

/// Requests the first engine of a chain to generate tokens. That engine
/// forwards each token along the chain and streams the results back.
struct GenerateRequest {
  RequestId request;
  AttemptNumber attempt = 0;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  TokenIndex first_token = 0;
  std::vector<std::string> prefix;  ///< Tokens before `first_token`.
  std::vector<Endpoint> next_stages;
  /// Sources of the KV cache before `first_token`, one for each stage.
  std::vector<KvSource> kv;
  /// Time left until the answer must be complete.
  Duration time_left = std::chrono::seconds(60);
};

/// Requests the next engine of a chain to run its layers for one token.
struct ForwardRequest {
  RequestId request;
  AttemptNumber attempt = 0;
  TokenIndex index = 0;
  std::vector<LayerRange> passed;
  std::vector<StageTiming> timings;
  std::vector<Endpoint> next_stages;
  /// Sources of the KV cache before `index`, one for the receiver and each
  /// later stage.
  std::vector<KvSource> kv;
};

/// An attempt failed at an engine. `failed_address` is the address of the
/// failed stage and `code` the kind of failure observed there.
struct EngineFailure {
  AttemptNumber attempt = 0;
  std::string failed_address;
  std::string message;
  ResultCode code = ResultCode::kUpstreamFailed;
};

/// One line of an engine's answer, with the request to which it belongs.
struct EngineLine {
  RequestId request;
  std::variant<TokenArrived, StreamEnded, EngineFailure> content;
};

/// Returns `request` as JSON.
std::string EncodeGenerate(const GenerateRequest& request);
/// Parses the result of `EncodeGenerate`. Fails with kMalformedJson.
std::optional<GenerateRequest> ParseGenerate(std::string_view json,
                                             LastReason& reason);

/// Returns `request` as JSON.
std::string EncodeForward(const ForwardRequest& request);
/// Parses the result of `EncodeForward`. Fails with kMalformedJson.
std::optional<ForwardRequest> ParseForward(std::string_view json,
                                           LastReason& reason);

/// Returns the JSON form of `line`, including the end of line.
std::string EncodeEngineLine(const EngineLine& line);
/// Parses the result of `EncodeEngineLine`. Fails with kMalformedJson.
std::optional<EngineLine> ParseEngineLine(std::string_view json,
                                          LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_ENGINE_CODEC_H_
