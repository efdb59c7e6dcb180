#ifndef WISTERIAYOKE_BASE_LAST_REASON_H_
#define WISTERIAYOKE_BASE_LAST_REASON_H_

#include <string>
#include <utility>

#include "base/result_code.h"

namespace wisteriayoke {

/// Result code and message of the last failed call.
///
/// Functions that can fail return `std::optional` (or `bool` if there is no
/// value) and take a `LastReason&`, which they set if they fail.
class LastReason {
 public:
  /// Sets `code` and a message that names the faulty input and the remedy.
  void Set(ResultCode code, std::string message) {
    code_ = code;
    message_ = std::move(message);
  }

  void Clear() { Set(ResultCode::kOk, ""); }

  ResultCode code() const { return code_; }
  const std::string& message() const { return message_; }

 private:
  ResultCode code_ = ResultCode::kOk;
  std::string message_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_LAST_REASON_H_
