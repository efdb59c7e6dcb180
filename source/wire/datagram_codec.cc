#include "wire/datagram_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <limits>
#include <sstream>
#include <type_traits>
#include <utility>

#include "base/overloaded.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

constexpr std::uint16_t kMagic = 0x5759;
constexpr std::uint8_t kVersion = 5;
/// Added to the age of an update on a cleared suspect, which is sent as one on
/// a crash at no upstream. Builds that don't know it ignore crashes of that
/// age.
constexpr Duration kClearedAge = std::chrono::hours(24 * 365 * 100);
/// Most bytes of a text and most items of a list.
constexpr std::size_t kMaxLength = std::numeric_limits<std::uint8_t>::max();

/// The kinds of updates that a datagram of this version holds.
using SentUpdate = std::variant<TableHeadUpdate, LeavingUpdate, SuspectUpdate,
                                IsolatedRunUpdate, SegmentCrashUpdate,
                                SegmentClearedUpdate, SegmentBlockUpdate>;

SentUpdate ToSent(const GossipUpdate& update) {
  return std::visit(
      Overloaded{[](const SuspectClearedUpdate& cleared) {
                   return SentUpdate(
                       SuspectUpdate{.fingerprint = cleared.fingerprint,
                                     .age = kClearedAge + cleared.age});
                 },
                 [](const auto& sent) { return SentUpdate(sent); }},
      update);
}

GossipUpdate FromSent(const SentUpdate& sent) {
  const auto* suspect = std::get_if<SuspectUpdate>(&sent);
  if (suspect != nullptr && suspect->upstream.empty() &&
      suspect->age >= kClearedAge) {
    return SuspectClearedUpdate{suspect->fingerprint,
                                suspect->age - kClearedAge};
  }
  return std::visit([](const auto& update) { return GossipUpdate(update); },
                    sent);
}

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

/// Writes to an output archive or reads from an input archive, so that one
/// function for each type does both. Throws `cereal::Exception` for bad input.
template <typename Archive>
class Serializer {
 public:
  static constexpr bool kIsInput = std::is_same_v<Archive, Input>;

  explicit Serializer(Archive& archive) : archive_(archive) {}

  template <typename Number>
  void Serialize(Number& number) requires std::is_arithmetic_v<Number> {
    archive_(number);
  }

  void Serialize(bool& flag) {
    std::uint8_t byte = flag ? 1 : 0;
    archive_(byte);
    flag = byte != 0;
  }

  void Serialize(std::string& text) {
    std::size_t size = text.size();
    SerializeSize(size);
    text.resize(size);
    archive_(cereal::binary_data(text.data(), size));
  }

  template <typename Tag>
  void Serialize(StringId<Tag>& id) {
    std::string text = id.text();
    Serialize(text);
    if constexpr (kIsInput) id = StringId<Tag>(std::move(text));
  }

  void Serialize(Duration& duration) {
    auto count = static_cast<std::uint64_t>(duration.count());
    archive_(count);
    duration = Duration(static_cast<Duration::rep>(count));
  }

  template <typename Value>
  void Serialize(std::optional<Value>& value) {
    bool present = value.has_value();
    Serialize(present);
    if (!present) return value.reset();
    if constexpr (kIsInput) value.emplace();
    Serialize(*value);
  }

  void Serialize(MemberStatus& status) {
    auto number = static_cast<std::uint8_t>(status);
    archive_(number);
    status = static_cast<MemberStatus>(number);
    if (kMemberStatusNames.NameOf(status) == "invalid") {
      throw cereal::Exception("unknown member status");
    }
  }

  void Serialize(Endpoint& endpoint) {
    SerializeAll(endpoint.host, endpoint.port);
    LastReason reason;
    if (kIsInput && !ParseEndpoint(endpoint.ToString(), reason)) {
      throw cereal::Exception(reason.message());
    }
  }
  void Serialize(TableVersion& version) {
    SerializeAll(version.number, version.hash);
  }
  void Serialize(Member& member) {
    SerializeAll(member.name, member.endpoint, member.incarnation,
                 member.status);
  }

  /// The position is of the head's era, never before it and rarely far after.
  void Serialize(MirrorView& view, std::uint32_t era) {
    constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
    std::uint64_t head = view.head.number();
    const std::uint64_t position = std::max(head, view.position.number());
    auto distance =
        static_cast<std::uint32_t>(std::min(position - head, kMost));
    SerializeAll(head, distance);
    view = {StoreVersion(era, head), StoreVersion(era, head + distance)};
  }
  /// The tables are of one era except soon after the store's return to a copy.
  void Serialize(StoreView& view) {
    std::uint32_t era = view.tables.head.era();
    std::optional<std::uint32_t> other;
    if (view.entries.head.era() != era) other = view.entries.head.era();
    SerializeAll(era, other);
    Serialize(view.tables, era);
    Serialize(view.entries, other.value_or(era));
  }

  void Serialize(Ping& ping) { SerializeAll(ping.sequence, ping.joining); }
  void Serialize(PingRequest& request) {
    SerializeAll(request.sequence, request.target);
  }
  void Serialize(Ack& ack) { SerializeAll(ack.sequence, ack.proof_age); }
  void Serialize(GossipNotice& /*notice*/) {}
  void Serialize(InFlightCountsNotice& notice) { Serialize(notice.counts); }
  void Serialize(InFlightCount& count) {
    SerializeAll(count.upstream, count.in_flight);
  }

  void Serialize(TableHeadUpdate& update) { Serialize(update.version); }
  void Serialize(LeavingUpdate& update) {
    SerializeAll(update.upstream, update.age, update.started_ms,
                 update.list_revision);
  }
  void Serialize(SuspectUpdate& update) {
    SerializeAll(update.fingerprint, update.upstream, update.age,
                 update.delivered, update.isolated_run);
  }
  void Serialize(IsolatedRunUpdate& update) {
    SerializeAll(update.fingerprint, update.upstream, update.daemon,
                 update.ended, update.age);
  }
  void Serialize(SegmentCrashUpdate& update) {
    SerializeAll(update.request, update.upstream, update.segments,
                 update.running, update.age);
  }
  void Serialize(SegmentClearedUpdate& update) {
    SerializeAll(update.segment, update.age);
  }
  void Serialize(SegmentBlockUpdate& update) {
    SerializeAll(update.segment, update.length, update.elapsed, update.age);
  }

  void Serialize(GossipUpdate& update) {
    SentUpdate sent = ToSent(update);
    Serialize(sent);
    if constexpr (kIsInput) update = FromSent(sent);
  }

  template <typename... Kinds>
  void Serialize(std::variant<Kinds...>& value) {
    auto index = static_cast<std::uint8_t>(value.index());
    archive_(index);
    if (index >= sizeof...(Kinds)) throw cereal::Exception("unknown item type");
    if constexpr (kIsInput) EmplaceAlternative(value, index);
    std::visit([this](auto& held) { this->Serialize(held); }, value);
  }

  template <typename Item>
  void Serialize(std::vector<Item>& items) {
    std::size_t size = items.size();
    SerializeSize(size);
    items.resize(size);
    for (auto& item : items) Serialize(item);
  }

  void Serialize(PeerMessage& message) {
    SerializeAll(message.sender, message.head, message.store, message.content,
                 message.members, message.updates, message.clock_us,
                 message.clock_counter);
  }

  template <typename... Parts>
  void SerializeAll(Parts&... parts) {
    (Serialize(parts), ...);
  }

 private:
  void SerializeSize(std::size_t& size) {
    if (size > kMaxLength) throw cereal::Exception("text or list too long");
    auto byte = static_cast<std::uint8_t>(size);
    archive_(byte);
    size = byte;
  }

  template <typename... Kinds>
  static void EmplaceAlternative(std::variant<Kinds...>& value,
                                 std::size_t index) {
    std::size_t next = 0;
    ((next++ == index ? static_cast<void>(value = Kinds{}) : void()), ...);
  }

  Archive& archive_;
};

void SetMalformed(LastReason& reason, const std::string& detail) {
  reason.Set(ResultCode::kMalformedDatagram,
             detail + "; run the same release on every daemon.");
}

std::optional<std::string> Encode(PeerMessage& message, LastReason& reason) {
  try {
    std::ostringstream stream;
    Output archive(stream);
    std::uint16_t magic = kMagic;
    std::uint8_t version = kVersion;
    Serializer<Output>(archive).SerializeAll(magic, version, message);
    return stream.str();
  } catch (const cereal::Exception& error) {
    SetMalformed(reason, error.what());
    return std::nullopt;
  }
}

/// Returns whether `update` has a text that no datagram holds.
bool IsTooLong(GossipUpdate& update) {
  try {
    std::ostringstream stream;
    Output archive(stream);
    Serializer<Output>(archive).Serialize(update);
    return false;
  } catch (const cereal::Exception&) {
    return true;
  }
}

}  // namespace

std::optional<std::string> EncodeDatagram(PeerMessage message,
                                          LastReason& reason) {
  auto data = Encode(message, reason);
  if (!data) {
    // Updates carry texts of callers, such as the id of a request.
    std::erase_if(message.updates, IsTooLong);
    data = Encode(message, reason);
  }
  while (data && data->size() > kMaxDatagramBytes) {
    if (!message.updates.empty()) {
      message.updates.pop_back();
    } else if (!message.members.empty()) {
      message.members.pop_back();
    } else {
      SetMalformed(reason,
                   "a datagram is too long even without members and updates");
      return std::nullopt;
    }
    data = Encode(message, reason);
  }
  return data;
}

std::optional<PeerMessage> ParseDatagram(std::string_view data,
                                         LastReason& reason) {
  try {
    std::istringstream stream{std::string(data)};
    Input archive(stream);
    Serializer<Input> serializer(archive);
    std::uint16_t magic = 0;
    std::uint8_t version = 0;
    serializer.SerializeAll(magic, version);
    if (magic != kMagic || version != kVersion) {
      SetMalformed(reason,
                   "not a datagram of version " + std::to_string(kVersion));
      return std::nullopt;
    }
    PeerMessage message;
    serializer.Serialize(message);
    if (stream.peek() == std::char_traits<char>::eof()) return message;
    SetMalformed(reason, "a datagram has trailing bytes");
  } catch (const cereal::Exception& error) {
    SetMalformed(reason, error.what());
  }
  return std::nullopt;
}

}  // namespace wisteriayoke
