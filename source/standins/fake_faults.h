#ifndef WISTERIAYOKE_STANDINS_FAKE_FAULTS_H_
#define WISTERIAYOKE_STANDINS_FAKE_FAULTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/last_reason.h"
#include "base/names_table.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// Faults of a stand-in engine. Each has a value: the index of the token at
/// which it occurs, the extra time in microseconds for kSlowToken and
/// kSlowLink, or 1 to set kLeaving.
enum class FakeFault {
  kKill,          ///< The process ends when it runs the token.
  kHang,          ///< The engine sends nothing from the token on.
  kWrongAttempt,  ///< The token has the number of another attempt.
  kSkipLayer,     ///< The token passed one layer less.
  kRepeatToken,   ///< The token is sent twice.
  kEarlyEnd,      ///< The answer is reported complete before the token.
  kCutStream,     ///< The stream ends before the token without an end line.
  kSlowToken,     ///< Each token takes longer.
  kSlowLink,      ///< Each call of the next stage takes longer.
  kLeaving,       ///< GET /health answers that the engine is leaving.
};

inline constexpr auto kFakeFaultNames = MakeNamesTable<FakeFault>({
    {FakeFault::kKill, "kill"},
    {FakeFault::kHang, "hang"},
    {FakeFault::kWrongAttempt, "wrong-attempt"},
    {FakeFault::kSkipLayer, "skip-layer"},
    {FakeFault::kRepeatToken, "repeat-token"},
    {FakeFault::kEarlyEnd, "early-end"},
    {FakeFault::kCutStream, "cut-stream"},
    {FakeFault::kSlowToken, "slow-token"},
    {FakeFault::kSlowLink, "slow-link"},
    {FakeFault::kLeaving, "leaving"},
});

/// Active faults of a stand-in engine.
class FakeFaults {
 public:
  /// Parses an object of fault names and values, such as {"kill": 5}. Fails
  /// with kMalformedJson or kFieldInvalid.
  static std::optional<FakeFaults> Parse(std::string_view json,
                                         LastReason& reason);

  /// Returns whether `fault` is set for the token `index`.
  bool IsSetAt(FakeFault fault, TokenIndex index) const;

  /// Returns the extra time of a slow token or link; zero if not set.
  Duration ExtraTimeOf(FakeFault fault) const;

 private:
  std::map<FakeFault, std::uint32_t> values_;
};

/// Returns the index of the token at which `prompt` crashes an engine, which a
/// test gives in the prompt, such as "crash-at-5".
std::optional<TokenIndex> FindCrashToken(std::string_view prompt);

/// Ends the process at once, as a crash would.
[[noreturn]] void CrashProcess();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_FAULTS_H_
