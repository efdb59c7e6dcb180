#ifndef WISTERIAYOKE_BASE_LAST_REASON_H_
#define WISTERIAYOKE_BASE_LAST_REASON_H_

#include <string>
#include <utility>

#include "base/result_code.h"

namespace wisteriayoke {

/// Holds why the last call that returned an empty `std::optional` failed.
///
/// Functions that can fail return `std::optional` (or `bool` where there is no
/// value) and take a `LastReason&`, which they fill before they return empty.
class LastReason {
 public:
  /// Records `code` with a message that names the offender and the remedy.
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
