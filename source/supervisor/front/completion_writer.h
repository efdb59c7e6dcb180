#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_COMPLETION_WRITER_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_COMPLETION_WRITER_H_

#include <memory>
#include <string>

#include "base/ids.h"
#include "base/result_code.h"
#include "runtime/http_server_session.h"
#include "wire/completion_codec.h"

namespace wisteriayoke {

/// Writes one completion to its caller, streamed or as one response as the
/// caller requested. A broken answer never ends like a complete one.
class CompletionWriter {
 public:
  CompletionWriter(RequestId id, const CompletionRequest& request,
                   std::shared_ptr<HttpServerSession> caller);

  /// Adds the next token.
  void WriteToken(const std::string& text);

  /// Ends the answer as complete.
  void Complete(const std::string& finish_reason);

  /// Ends the answer with an error; a stream that has begun is broken off after
  /// it.
  void Fail(ResultCode code, const std::string& message);

 private:
  void StartStreamOnce();

  RequestId id_;
  std::string model_;
  bool stream_;
  bool chat_;
  std::shared_ptr<HttpServerSession> caller_;
  std::string text_;  ///< Answer so far, if it isn't streamed.
  std::uint32_t tokens_ = 0;
  bool stream_started_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_COMPLETION_WRITER_H_
