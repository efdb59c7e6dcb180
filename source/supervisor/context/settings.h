#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_SETTINGS_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/last_reason.h"
#include "base/time_types.h"
#include "decisions/table_spec.h"
#include "supervisor/context/setting_key.h"

namespace wisteriayoke {

/// The validated settings of one daemon, read from INI text.
class Settings {
 public:
  /// Parses and validates `ini`. Fails with kSettingUnknown (with the line and
  /// the nearest known name), kSettingInvalid or kSettingMissing.
  static std::optional<Settings> Create(const std::string& ini,
                                        LastReason& reason);

  /// Reads the file at `path`. Fails with kFileUnreadable or as `Create` does.
  static std::optional<Settings> Load(const std::string& path,
                                      LastReason& reason);

  /// Returns the interface offered to callers.
  FrontInterface Interface() const;

  /// Returns which pools are routed by cost.
  CostRouting CostRoutingMode() const;

  /// Returns a setting of type kDecimal.
  double Decimal(SettingKey key) const;

  const std::string& Text(SettingKey key) const { return values_.at(key); }
  std::uint64_t Count(SettingKey key) const;
  Duration Milliseconds(SettingKey key) const;
  Endpoint EndpointOf(SettingKey key) const;
  std::vector<Endpoint> EndpointsOf(SettingKey key) const;

  /// Returns all settings in force as INI text.
  std::string Print() const;

 private:
  Settings() = default;

  std::map<SettingKey, std::string> values_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_SETTINGS_H_
