#ifndef WISTERIAYOKE_WIRE_DATAGRAM_CODEC_H_
#define WISTERIAYOKE_WIRE_DATAGRAM_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/peer_message.h"

namespace wisteriayoke {

/// Longest datagram that is sent, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/// Returns the bytes of `message`. If there are more than `kMaxDatagramBytes`,
/// its last gossip updates and then its last members are left out. Fails with
/// kMalformedDatagram if a text or list has more than 255 bytes or items.
std::optional<std::string> EncodeDatagram(PeerMessage message,
                                          LastReason& reason);

/// Parses a datagram. Fails with kMalformedDatagram if the bytes aren't a
/// datagram of this version, are truncated, or continue after its end.
std::optional<PeerMessage> ParseDatagram(std::string_view data,
                                         LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_DATAGRAM_CODEC_H_
