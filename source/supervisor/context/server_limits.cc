#include "supervisor/context/server_limits.h"

#include <sys/resource.h>
#include <unistd.h>

namespace wisteriayoke {
namespace {

/// The part of the machine's memory that connections may hold. The rest is for
/// the program, its tables, requests copied to an upstream, and what the
/// allocator can't reuse.
constexpr std::uint64_t kMemoryPart = 2;
constexpr std::uint64_t kBytesPerMb = 1024 * 1024;

std::uint64_t ReadMachineMemory() {
  const auto pages = sysconf(_SC_PHYS_PAGES);
  const auto page_bytes = sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page_bytes <= 0) return 0;
  return static_cast<std::uint64_t>(pages) *
         static_cast<std::uint64_t>(page_bytes);
}

/// Returns the most descriptors that the system allows, or 0 if it sets no
/// limit.
std::uint64_t ReadMaxDescriptors() {
  rlimit limit{};
  const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return known && limit.rlim_cur != RLIM_INFINITY ? limit.rlim_cur : 0;
}

}  // namespace

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

ProcessLimits ReadProcessLimits(const Settings& settings) {
  const std::uint64_t memory_mb = settings.Count(SettingKey::kMemoryMb);
  const std::uint64_t memory =
      memory_mb > 0 ? memory_mb * kBytesPerMb : ReadMachineMemory();
  const std::uint64_t allowed = ReadMaxDescriptors();
  const std::uint64_t set = settings.Count(SettingKey::kMaxDescriptors);
  const bool uses_set = set > 0 && (allowed == 0 || set < allowed);
  return {.memory_bytes = memory / kMemoryPart,
          .descriptors = uses_set ? set : allowed};
}

}  // namespace wisteriayoke
