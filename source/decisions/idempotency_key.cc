#include "decisions/idempotency_key.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace wisteriayoke {
namespace {

constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::size_t kUuidBytes = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::string_view kUuidPattern =
    "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
constexpr int kHexBase = 16;

bool IsUuid(std::string_view text) {
  if (text.size() != kUuidBytes) return false;
  for (std::size_t i = 0; i < kUuidBytes; ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (kUuidPattern[i] == '-' ? c != '-' : std::isxdigit(c) == 0) return false;
  }
  return true;
}

/// Returns the time in a UUID of version 7: its first 48 bits, in milliseconds.
std::optional<WallTime> ParseMadeAt(std::string_view text) {
  if (!IsUuid(text) || text[kVersionPosition] != '7') return std::nullopt;
  const std::string digits =
      std::string(text.substr(0, 8)) + std::string(text.substr(9, 4));
  std::int64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value,
                  kHexBase);
  return WallTime(value);
}

std::string ToHex(std::uint64_t value, std::size_t digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(digits, '0');
  for (std::size_t i = digits; i > 0; --i) {
    text[i - 1] = kDigits[value & 0xf];
    value >>= 4;
  }
  return text;
}

}  // namespace

std::optional<IdempotencyKey> IdempotencyKey::Create(std::string text,
                                                     LastReason& reason) {
  const bool printable =
      std::all_of(text.begin(), text.end(),
                  [](unsigned char c) { return std::isgraph(c) != 0; });
  if (text.empty() || text.size() > kMaxKeyBytes || !printable) {
    reason.Set(ResultCode::kIdempotencyKeyInvalid,
               "Idempotency-Key has " + std::to_string(text.size()) +
                   " bytes; send 1 to 128 printable characters without "
                   "spaces.");
    return std::nullopt;
  }
  const auto made_at = ParseMadeAt(text);
  return IdempotencyKey(std::move(text), made_at);
}

std::string FormatTimedKey(WallTime now, std::uint64_t random_high,
                           std::uint64_t random_low) {
  constexpr std::uint64_t kVariant = 0x8;
  const std::string time = ToHex(static_cast<std::uint64_t>(now.count()), 12);
  return time.substr(0, 8) + "-" + time.substr(8) + "-7" +
         ToHex(random_high, 3) + "-" + ToHex(kVariant | (random_low >> 62), 1) +
         ToHex(random_high >> 12, 3) + "-" + ToHex(random_low, 12);
}

}  // namespace wisteriayoke
