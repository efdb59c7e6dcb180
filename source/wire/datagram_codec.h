#ifndef WISTERIAYOKE_WIRE_DATAGRAM_CODEC_H_
#define WISTERIAYOKE_WIRE_DATAGRAM_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/peer_message.h"

namespace wisteriayoke {

/// Longest datagram that is sent.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/// Returns the bytes of `message`. If it would be too long, its last rumours
/// and then its last members are left out. Fails with kMalformedDatagram if a
/// text in it is too long.
std::optional<std::string> EncodeDatagram(PeerMessage message,
                                          LastReason& reason);

/// Parses a datagram. Fails with kMalformedDatagram if it isn't one, is cut or
/// too long, or has another version.
std::optional<PeerMessage> ParseDatagram(std::string_view data,
                                         LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_DATAGRAM_CODEC_H_
