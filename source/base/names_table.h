#ifndef WISTERIAYOKE_BASE_NAMES_TABLE_H_
#define WISTERIAYOKE_BASE_NAMES_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace wisteriayoke {

/// One row of a names table.
template <typename Enum>
struct NamedValue {
  Enum value;
  std::string_view name;
};

/// Maps the values of an `enum class` to their external names and back.
///
/// Every enumeration that appears in a table, a message or a log line has one
/// names table, so that each name is spelled in one place only.
template <typename Enum, std::size_t kSize>
class NamesTable {
 public:
  explicit constexpr NamesTable(std::array<NamedValue<Enum>, kSize> rows)
      : rows_(rows) {}

  /// Returns the name of `value`, or "invalid" if the table has no such value.
  constexpr std::string_view NameOf(Enum value) const {
    for (const auto& row : rows_) {
      if (row.value == value) return row.name;
    }
    return "invalid";
  }

  /// Returns the value called `name`, or nothing if no row has that name.
  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (const auto& row : rows_) {
      if (row.name == name) return row.value;
    }
    return std::nullopt;
  }

  constexpr const std::array<NamedValue<Enum>, kSize>& rows() const {
    return rows_;
  }

 private:
  std::array<NamedValue<Enum>, kSize> rows_;
};

/// Builds a names table from a braced list of rows.
template <typename Enum, std::size_t kSize>
constexpr NamesTable<Enum, kSize> MakeNamesTable(
    const NamedValue<Enum> (&rows)[kSize]) {
  std::array<NamedValue<Enum>, kSize> copy{};
  for (std::size_t i = 0; i < kSize; ++i) copy[i] = rows[i];
  return NamesTable<Enum, kSize>(copy);
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_NAMES_TABLE_H_
