#ifndef WISTERIAYOKE_WIRE_STORE_CODEC_H_
#define WISTERIAYOKE_WIRE_STORE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result_code.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Returns the request target of the record `key`, whose name may have "/".
std::string RecordTarget(std::string_view key);

/// Returns the request target of the object whose digest is `hash`, which may
/// be any text: it comes from a record or a peer.
std::string ObjectTarget(std::string_view hash);

/// Returns the request target at which a daemon serves the content of the
/// tables with the digest `hash` to its peers.
std::string TableContentTarget(std::string_view hash);

/// Returns the result code for an HTTP status of the platform's table service
/// or object store; kStoreUnreachable for a status without a code of its own.
ResultCode ResultCodeOfStoreStatus(int status);

/// Returns the version in the Record-Version field; 0 if absent or invalid.
std::uint64_t ReadRecordVersion(const HttpFields& fields);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_STORE_CODEC_H_
