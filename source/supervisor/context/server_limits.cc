#include "supervisor/context/server_limits.h"

namespace wisteriayoke {

HttpServerLimits ReadServerLimits(const Settings& settings) {
  HttpServerLimits limits;
  limits.connections = settings.Count(SettingKey::kMaxConnections);
  limits.message.header_bytes =
      static_cast<std::uint32_t>(settings.Count(SettingKey::kMaxHeaderBytes));
  limits.message.body_bytes = settings.Count(SettingKey::kMaxBodyBytes);
  limits.request_timeout = settings.Milliseconds(SettingKey::kRequestTimeout);
  limits.idle_timeout = settings.Milliseconds(SettingKey::kIdleTimeout);
  limits.write_timeout = settings.Milliseconds(SettingKey::kWriteTimeout);
  return limits;
}

}  // namespace wisteriayoke
