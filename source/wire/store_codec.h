#ifndef WISTERIAYOKE_WIRE_STORE_CODEC_H_
#define WISTERIAYOKE_WIRE_STORE_CODEC_H_

#include <cstdint>

#include "base/result_code.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Returns what a status of the platform's table service or object store says.
ResultCode ResultCodeOfStoreStatus(int status);

/// Returns the version of the record in an answer; 0 if it names none.
std::uint64_t ReadRecordVersion(const HttpFields& fields);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_STORE_CODEC_H_
