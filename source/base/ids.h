#ifndef WISTERIAYOKE_BASE_IDS_H_
#define WISTERIAYOKE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace wisteriayoke {

/// String identifier whose type keeps kinds of identifiers apart.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend auto operator<=>(const StringId&, const StringId&) = default;

 private:
  std::string text_;
};

using RequestId = StringId<struct RequestIdTag>;
/// A part of a prompt that several requests may share.
using SegmentId = StringId<struct SegmentIdTag>;
using RouteName = StringId<struct RouteNameTag>;
using PoolName = StringId<struct PoolNameTag>;
using UpstreamName = StringId<struct UpstreamNameTag>;
using WorkspaceName = StringId<struct WorkspaceNameTag>;
using DataCentreName = StringId<struct DataCentreNameTag>;
using DaemonName = StringId<struct DaemonNameTag>;

/// Number of an attempt of one request; the first attempt is 1.
using AttemptNumber = std::uint32_t;

/// Position of a generated token in an answer; the first token is 0.
using TokenIndex = std::uint32_t;

}  // namespace wisteriayoke

template <typename Tag>
struct std::hash<wisteriayoke::StringId<Tag>> {
  std::size_t operator()(const wisteriayoke::StringId<Tag>& id) const {
    return std::hash<std::string>{}(id.text());
  }
};

#endif  // WISTERIAYOKE_BASE_IDS_H_
