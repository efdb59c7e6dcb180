#ifndef WISTERIAYOKE_WIRE_MIRROR_CODEC_H_
#define WISTERIAYOKE_WIRE_MIRROR_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/store_view.h"

namespace wisteriayoke {

/// Path below which a daemon serves its mirrored tables to peers.
inline constexpr std::string_view kMirrorPrefix = "/rows/";

/// A request for the changes of a table after a version.
struct MirrorTarget {
  MirroredTable table = MirroredTable::kTables;
  StoreVersion after;
};

/// Returns the request target for `wanted`, such as "/rows/entries/2.120".
std::string FormatMirrorTarget(const MirrorTarget& wanted);

/// Parses a request target, or returns nullopt if it is none.
std::optional<MirrorTarget> ParseMirrorTarget(std::string_view target);

/// Returns the bytes of a page of `changes`, as one daemon serves them to
/// another; values of rows are copied as they are.
std::string EncodeMirrorPage(const MirrorChanges& changes);

/// Parses the bytes of a page. Fails with kMalformedDatagram.
std::optional<MirrorChanges> ParseMirrorPage(std::string_view data,
                                             LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_MIRROR_CODEC_H_
