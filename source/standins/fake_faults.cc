#include "standins/fake_faults.h"

#include <charconv>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace wisteriayoke {
namespace {

constexpr std::string_view kCrashMarker = "crash-at-";
constexpr int kCrashStatus = 134;

}  // namespace

std::optional<FakeFaults> FakeFaults::Parse(std::string_view json,
                                            LastReason& reason) {
  const auto body = nlohmann::json::parse(json, nullptr, false);
  if (!body.is_object()) {
    reason.Set(ResultCode::kMalformedJson, "send an object of faults.");
    return std::nullopt;
  }
  FakeFaults faults;
  for (const auto& [name, value] : body.items()) {
    const auto fault = kFakeFaultNames.Find(name);
    if (!fault || !value.is_number_unsigned()) {
      reason.Set(ResultCode::kFieldInvalid,
                 "\"" + name + "\" is no fault with a whole number.");
      return std::nullopt;
    }
    faults.values_[*fault] = value.get<std::uint32_t>();
  }
  return faults;
}

bool FakeFaults::IsSetAt(FakeFault fault, TokenIndex index) const {
  const auto found = values_.find(fault);
  return found != values_.end() && found->second == index;
}

Duration FakeFaults::ExtraTimeOf(FakeFault fault) const {
  const auto found = values_.find(fault);
  return found == values_.end() ? Duration::zero() : Duration(found->second);
}

std::optional<TokenIndex> FindCrashToken(std::string_view prompt) {
  const std::size_t marker = prompt.find(kCrashMarker);
  if (marker == std::string_view::npos) return std::nullopt;
  TokenIndex index = 0;
  std::from_chars(prompt.data() + marker + kCrashMarker.size(),
                  prompt.data() + prompt.size(), index);
  return index;
}

void CrashProcess() { std::_Exit(kCrashStatus); }

}  // namespace wisteriayoke
