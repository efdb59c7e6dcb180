#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_SETTING_KEY_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_SETTING_KEY_H_

#include <span>
#include <string_view>

#include "base/names_table.h"

namespace wisteriayoke {

/// The settings of a daemon.
enum class SettingKey {
  kDaemonName,
  kDataCentre,
  kFrontInterface,
  kFrontAddress,
  kReadyAddress,
  kOperatorsAddress,
  kPeersAddress,
  kPeerSeeds,
  kPlatformAddress,
  kHeadPollInterval,
  kInstancePollInterval,
  kLoadPollInterval,
  kSuspectLifetime,
  kDrainDeadline,
  kMaxConnections,
  kMaxHeaderBytes,
  kMaxBodyBytes,
  kMemoryMb,
  kMaxDescriptors,
  kMaxQueueWait,
  kMaxQueued,
  kRequestTimeout,
  kIdleTimeout,
  kWriteTimeout,
  kLogLevel,
  kClockError,
  kLedgerClaimTimeout,
  kLedgerResendHorizon,
  kLedgerAnswerBytes,
  kLeaseLength,
  kClockDrift,
  kRevocationTime,
  kStopGrace,
  kRetryRatio,
  kRetrySlack,
  kCostRouting,
};

/// The form of a setting's value.
enum class SettingType {
  kText,
  kLevel,
  kEndpoint,
  kEndpointList,
  kMilliseconds,
  kCount,
  kDecimal,
  kInterface,
  kCostRoutingMode,
};

inline constexpr auto kSettingTypeNames = MakeNamesTable<SettingType>({
    {SettingType::kText, "text"},
    {SettingType::kLevel, "debug|info|warning|error"},
    {SettingType::kEndpoint, "IP:PORT"},
    {SettingType::kEndpointList, "IP:PORT, ..."},
    {SettingType::kMilliseconds, "milliseconds"},
    {SettingType::kCount, "whole number"},
    {SettingType::kDecimal, "number"},
    {SettingType::kInterface, "completions|relay"},
    {SettingType::kCostRoutingMode, "off|ranked|on"},
});

/// The interface that a daemon offers to callers; it also decides where its
/// tables come from.
enum class FrontInterface {
  kCompletions,  ///< Completions API; the operators' tool publishes the tables.
  kRelay,  ///< Relays any HTTP; tables and upstreams come from the platform.
};

inline constexpr auto kFrontInterfaceNames = MakeNamesTable<FrontInterface>({
    {FrontInterface::kCompletions, "completions"},
    {FrontInterface::kRelay, "relay"},
});

/// Which pools of the relay are routed by the expected cost of requests.
enum class CostRouting {
  kOff,     ///< None; load is counted in requests.
  kRanked,  ///< Those whose requests have more than one priority.
  kOn,      ///< All.
};

inline constexpr auto kCostRoutingNames = MakeNamesTable<CostRouting>({
    {CostRouting::kOff, "off"},
    {CostRouting::kRanked, "ranked"},
    {CostRouting::kOn, "on"},
});

/// One row of the table of settings. A setting with an empty default is
/// required unless `optional` is set.
struct SettingInfo {
  SettingKey key;
  std::string_view section;
  std::string_view name;
  SettingType type;
  std::string_view default_value;
  bool optional;
  std::string_view help;
};

/// Returns the table of settings, in the order of the documentation.
std::span<const SettingInfo> SettingTable();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_SETTING_KEY_H_
