#ifndef WISTERIAYOKE_WIRE_JSON_FIELDS_H_
#define WISTERIAYOKE_WIRE_JSON_FIELDS_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace wisteriayoke {

using Json = nlohmann::json;

/// Returns the member `name` of `object`, or null if it is absent.
inline const Json* FindMember(const Json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

/// Returns the string `name` of `object`, or nothing if there is none.
inline std::optional<std::string> ReadText(const Json& object,
                                           const char* name) {
  const Json* member = FindMember(object, name);
  if (member == nullptr || !member->is_string()) return std::nullopt;
  return member->get<std::string>();
}

/// Returns the number `name` of `object`, or nothing if it is absent, negative
/// or not a number.
inline std::optional<double> ReadNumber(const Json& object, const char* name) {
  const Json* member = FindMember(object, name);
  if (member == nullptr || !member->is_number()) return std::nullopt;
  const auto value = member->get<double>();
  if (value < 0) return std::nullopt;
  return value;
}

/// Returns the integer `name` of `object`, or nothing if it is absent, not an
/// integer from 0 on, or too large for `Integer`.
template <typename Integer>
std::optional<Integer> ReadCount(const Json& object, const char* name) {
  const Json* member = FindMember(object, name);
  if (member == nullptr || !member->is_number_unsigned()) return std::nullopt;
  const auto value = member->get<std::uint64_t>();
  if (value > std::numeric_limits<Integer>::max()) return std::nullopt;
  return static_cast<Integer>(value);
}

/// Returns the boolean `name` of `object`; false if there is none.
inline bool ReadFlag(const Json& object, const char* name) {
  const Json* member = FindMember(object, name);
  return member != nullptr && member->is_boolean() && member->get<bool>();
}

/// Returns the array `name` of `object`; an empty one if there is none.
inline const Json& ReadList(const Json& object, const char* name) {
  static const Json kEmpty = Json::array();
  const Json* member = FindMember(object, name);
  return member != nullptr && member->is_array() ? *member : kEmpty;
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_JSON_FIELDS_H_
