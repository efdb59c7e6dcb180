#ifndef WISTERIAYOKE_WIRE_PASSED_REQUEST_H_
#define WISTERIAYOKE_WIRE_PASSED_REQUEST_H_

#include <string_view>

#include "wire/http_message.h"

namespace wisteriayoke {

/// Marks a request that one daemon passes on to another. Never sent further.
inline constexpr std::string_view kPassedOnField = "Wisteriayoke-Passed-On";

/// Status with which a daemon declines such a request: it hasn't run.
inline constexpr int kStatusPassedInVain = 421;

inline bool IsPassedOn(const HttpRequest& request) {
  return !FindField(request.fields, kPassedOnField).empty();
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_PASSED_REQUEST_H_
