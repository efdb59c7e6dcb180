#ifndef WISTERIAYOKE_DECISIONS_STORE_VERSION_H_
#define WISTERIAYOKE_DECISIONS_STORE_VERSION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace wisteriayoke {

/// A version of the platform's store. Versions are ordered by their era first:
/// when the store returns to an older copy of itself, the era rises, numbers go
/// back and are given out again. The default is before all others.
class StoreVersion {
 public:
  constexpr StoreVersion() = default;
  constexpr StoreVersion(std::uint32_t era, std::uint64_t number)
      : era_(era), number_(number) {}

  constexpr std::uint32_t era() const { return era_; }
  constexpr std::uint64_t number() const { return number_; }

  /// Returns the text of the version for logs, such as "2.120".
  std::string ToString() const {
    return std::to_string(era_) + "." + std::to_string(number_);
  }

  friend constexpr auto operator<=>(const StoreVersion&,
                                    const StoreVersion&) = default;

 private:
  std::uint32_t era_ = 0;
  std::uint64_t number_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_STORE_VERSION_H_
