#ifndef WISTERIAYOKE_WIRE_STORE_CODEC_H_
#define WISTERIAYOKE_WIRE_STORE_CODEC_H_

#include <cstdint>

#include "base/result_code.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Returns the result code for an HTTP status of the platform's table service
/// or object store; kStoreUnreachable for a status without a code of its own.
ResultCode ResultCodeOfStoreStatus(int status);

/// Returns the version in the Record-Version field; 0 if absent or invalid.
std::uint64_t ReadRecordVersion(const HttpFields& fields);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_STORE_CODEC_H_
