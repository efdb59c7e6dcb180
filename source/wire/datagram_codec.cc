#include "wire/datagram_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <limits>
#include <sstream>
#include <type_traits>
#include <utility>

namespace wisteriayoke {
namespace {

constexpr std::uint16_t kMagic = 0x5759;
constexpr std::uint8_t kVersion = 2;
constexpr std::size_t kMaxTextBytes = std::numeric_limits<std::uint8_t>::max();

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

/// Writes to an output archive or reads from an input archive, so that each
/// type has one description for both ways. Throws `cereal::Exception`.
template <typename Archive>
class Coder {
 public:
  static constexpr bool kReads = std::is_same_v<Archive, Input>;

  explicit Coder(Archive& archive) : archive_(archive) {}

  template <typename Number>
  void Code(Number& number) requires std::is_arithmetic_v<Number> {
    archive_(number);
  }

  void Code(bool& flag) {
    std::uint8_t byte = flag ? 1 : 0;
    archive_(byte);
    flag = byte != 0;
  }

  void Code(std::string& text) {
    std::size_t size = text.size();
    CodeSize(size);
    text.resize(size);
    archive_(cereal::binary_data(text.data(), size));
  }

  template <typename Tag>
  void Code(StringId<Tag>& id) {
    std::string text = id.text();
    Code(text);
    if constexpr (kReads) id = StringId<Tag>(std::move(text));
  }

  void Code(Duration& duration) {
    auto count = static_cast<std::uint64_t>(duration.count());
    archive_(count);
    duration = Duration(static_cast<Duration::rep>(count));
  }

  void Code(MemberStatus& status) {
    auto number = static_cast<std::uint8_t>(status);
    archive_(number);
    status = static_cast<MemberStatus>(number);
    if (kMemberStatusNames.NameOf(status) == "invalid") {
      throw cereal::Exception("unknown status of a member");
    }
  }

  void Code(Endpoint& endpoint) { CodeAll(endpoint.host, endpoint.port); }
  void Code(TableVersion& version) { CodeAll(version.number, version.hash); }
  void Code(Member& member) {
    CodeAll(member.name, member.endpoint, member.incarnation, member.status);
  }

  void Code(Ping& ping) { CodeAll(ping.sequence, ping.joining); }
  void Code(PingRequest& request) { CodeAll(request.sequence, request.target); }
  void Code(Ack& ack) { Code(ack.sequence); }
  void Code(GossipNotice& /*notice*/) {}
  void Code(InFlightCountsNotice& notice) { Code(notice.counts); }
  void Code(InFlightCount& count) { CodeAll(count.upstream, count.in_flight); }

  void Code(TableHeadUpdate& update) { Code(update.version); }
  void Code(LeavingUpdate& update) { CodeAll(update.upstream, update.age); }
  void Code(SuspectUpdate& update) {
    CodeAll(update.fingerprint, update.upstream, update.age, update.delivered,
            update.isolated_run);
  }
  void Code(IsolatedRunUpdate& update) {
    CodeAll(update.fingerprint, update.upstream, update.daemon, update.ended,
            update.age);
  }

  template <typename... Kinds>
  void Code(std::variant<Kinds...>& value) {
    auto index = static_cast<std::uint8_t>(value.index());
    archive_(index);
    if (index >= sizeof...(Kinds)) throw cereal::Exception("unknown kind");
    if constexpr (kReads) Emplace(value, index);
    std::visit([this](auto& held) { this->Code(held); }, value);
  }

  template <typename Item>
  void Code(std::vector<Item>& items) {
    std::size_t size = items.size();
    CodeSize(size);
    items.resize(size);
    for (auto& item : items) Code(item);
  }

  void Code(PeerMessage& message) {
    CodeAll(message.sender, message.head, message.content, message.members,
            message.updates, message.clock_us, message.clock_counter);
  }

  template <typename... Parts>
  void CodeAll(Parts&... parts) {
    (Code(parts), ...);
  }

 private:
  void CodeSize(std::size_t& size) {
    if (size > kMaxTextBytes) throw cereal::Exception("too long");
    auto byte = static_cast<std::uint8_t>(size);
    archive_(byte);
    size = byte;
  }

  template <typename... Kinds>
  static void Emplace(std::variant<Kinds...>& value, std::size_t index) {
    std::size_t next = 0;
    ((next++ == index ? static_cast<void>(value = Kinds{}) : void()), ...);
  }

  Archive& archive_;
};

void Refuse(LastReason& reason, const std::string& why) {
  reason.Set(ResultCode::kMalformedDatagram,
             why + "; run the same release on every daemon.");
}

std::string Encode(PeerMessage& message) {
  std::ostringstream stream;
  Output archive(stream);
  std::uint16_t magic = kMagic;
  std::uint8_t version = kVersion;
  Coder<Output>(archive).CodeAll(magic, version, message);
  return stream.str();
}

}  // namespace

std::optional<std::string> EncodeDatagram(PeerMessage message,
                                          LastReason& reason) {
  try {
    std::string data = Encode(message);
    while (data.size() > kMaxDatagramBytes) {
      if (!message.updates.empty()) {
        message.updates.pop_back();
      } else if (!message.members.empty()) {
        message.members.pop_back();
      } else {
        Refuse(reason, "a datagram is too long");
        return std::nullopt;
      }
      data = Encode(message);
    }
    return data;
  } catch (const cereal::Exception& error) {
    Refuse(reason, error.what());
    return std::nullopt;
  }
}

std::optional<PeerMessage> ParseDatagram(std::string_view data,
                                         LastReason& reason) {
  try {
    std::istringstream stream{std::string(data)};
    Input archive(stream);
    Coder<Input> coder(archive);
    std::uint16_t magic = 0;
    std::uint8_t version = 0;
    coder.CodeAll(magic, version);
    if (magic != kMagic || version != kVersion) {
      Refuse(reason, "not a datagram of version " + std::to_string(kVersion));
      return std::nullopt;
    }
    PeerMessage message;
    coder.Code(message);
    if (stream.peek() == std::char_traits<char>::eof()) return message;
    Refuse(reason, "a datagram has bytes after its end");
  } catch (const cereal::Exception& error) {
    Refuse(reason, error.what());
  }
  return std::nullopt;
}

}  // namespace wisteriayoke
