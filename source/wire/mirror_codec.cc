#include "wire/mirror_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <charconv>
#include <cstdint>
#include <sstream>

namespace wisteriayoke {
namespace {

constexpr std::uint16_t kMagic = 0x574d;
constexpr std::uint8_t kVersion = 2;

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

/// Reads the parts of a page. Sizes are compared with the bytes that are there
/// before memory is taken for them.
class PageReader {
 public:
  explicit PageReader(std::string_view data)
      : size_(data.size()), stream_(std::string(data)), archive_(stream_) {}

  template <typename Number>
  Number ReadNumber() {
    Number number{};
    archive_(number);
    return number;
  }

  StoreVersion ReadVersion() {
    const auto era = ReadNumber<std::uint32_t>();
    return {era, ReadNumber<std::uint64_t>()};
  }

  std::uint32_t ReadSize() {
    const auto size = ReadNumber<std::uint32_t>();
    const auto used = static_cast<std::size_t>(stream_.tellg());
    if (size > size_ - used) throw cereal::Exception("a size is too large");
    return size;
  }

  std::string ReadText() {
    std::string text(ReadSize(), '\0');
    archive_(cereal::binary_data(text.data(), text.size()));
    return text;
  }

  bool AtEnd() { return static_cast<std::size_t>(stream_.tellg()) == size_; }

 private:
  std::size_t size_;
  std::istringstream stream_;
  Input archive_;
};

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  const char* end = text.data() + text.size();
  Number number = 0;
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

/// Parses a version as `StoreVersion::ToString` formats it.
std::optional<StoreVersion> ParseVersion(std::string_view text) {
  const auto dot = text.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const auto era = ParseNumber<std::uint32_t>(text.substr(0, dot));
  const auto number = ParseNumber<std::uint64_t>(text.substr(dot + 1));
  if (!era || !number) return std::nullopt;
  return StoreVersion(*era, *number);
}

void WriteVersion(Output& archive, const StoreVersion& version) {
  archive(version.era(), version.number());
}

void WriteText(Output& archive, const std::string& text) {
  archive(static_cast<std::uint32_t>(text.size()));
  archive(cereal::binary_data(text.data(), text.size()));
}

MirrorRow ReadRow(PageReader& reader) {
  MirrorRow row;
  row.key = reader.ReadText();
  row.value = reader.ReadText();
  row.version = reader.ReadVersion();
  row.removed = reader.ReadNumber<std::uint8_t>() != 0;
  return row;
}

MirrorChanges ReadPage(PageReader& reader) {
  if (reader.ReadNumber<std::uint16_t>() != kMagic ||
      reader.ReadNumber<std::uint8_t>() != kVersion) {
    throw cereal::Exception("not a page of version " +
                            std::to_string(kVersion));
  }
  MirrorChanges changes;
  changes.head = reader.ReadVersion();
  changes.position = reader.ReadVersion();
  changes.whole = reader.ReadNumber<std::uint8_t>() != 0;
  const std::uint32_t rows = reader.ReadSize();
  for (std::uint32_t i = 0; i < rows; ++i) {
    changes.rows.push_back(ReadRow(reader));
  }
  if (!reader.AtEnd()) throw cereal::Exception("a page has trailing bytes");
  return changes;
}

}  // namespace

std::string FormatMirrorTarget(const MirrorTarget& wanted) {
  return std::string(kMirrorPrefix) +
         std::string(kMirroredTableNames.NameOf(wanted.table)) + "/" +
         wanted.after.ToString();
}

std::optional<MirrorTarget> ParseMirrorTarget(std::string_view target) {
  if (!target.starts_with(kMirrorPrefix)) return std::nullopt;
  target.remove_prefix(kMirrorPrefix.size());
  const std::size_t slash = target.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto table = kMirroredTableNames.Find(target.substr(0, slash));
  const auto after = ParseVersion(target.substr(slash + 1));
  if (!table || !after) return std::nullopt;
  return MirrorTarget{*table, *after};
}

std::string EncodeMirrorPage(const MirrorChanges& changes) {
  std::ostringstream stream;
  Output archive(stream);
  archive(kMagic, kVersion);
  WriteVersion(archive, changes.head);
  WriteVersion(archive, changes.position);
  archive(static_cast<std::uint8_t>(changes.whole),
          static_cast<std::uint32_t>(changes.rows.size()));
  for (const auto& row : changes.rows) {
    WriteText(archive, row.key);
    WriteText(archive, row.value);
    WriteVersion(archive, row.version);
    archive(static_cast<std::uint8_t>(row.removed));
  }
  return stream.str();
}

std::optional<MirrorChanges> ParseMirrorPage(std::string_view data,
                                             LastReason& reason) {
  try {
    PageReader reader(data);
    return ReadPage(reader);
  } catch (const cereal::Exception& error) {
    reason.Set(
        ResultCode::kMalformedDatagram,
        std::string(error.what()) + "; run the same release on every daemon.");
    return std::nullopt;
  }
}

}  // namespace wisteriayoke
