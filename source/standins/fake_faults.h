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

/// Ways in which a stand-in engine misbehaves on request. Each has a value: the
/// index of the token concerned, or microseconds for the slow ones.
enum class FakeFault {
  kKill,          ///< The process ends when it runs the token.
  kHang,          ///< The answer stays silent from the token on.
  kWrongAttempt,  ///< The token names another attempt.
  kSkipLayer,     ///< The token passes one layer less.
  kRepeatToken,   ///< The token is sent twice.
  kEarlyEnd,      ///< The answer is said to be complete before the token.
  kCutStream,     ///< The stream ends before the token, without saying so.
  kSlowToken,     ///< Each token takes longer.
  kSlowLink,      ///< Each call of the next stage takes longer.
  kLeaving,       ///< The engine says that it is leaving.
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

/// The faults that an engine has been told to show.
class FakeFaults {
 public:
  /// Parses an object of fault names and values, such as {"kill": 5}. Fails
  /// with kMalformedJson or kFieldInvalid.
  static std::optional<FakeFaults> Parse(std::string_view json,
                                         LastReason& reason);

  /// Tells whether `fault` is to be shown at the token.
  bool Hits(FakeFault fault, TokenIndex index) const;

  /// Returns the extra time of a slow token or link.
  Duration TimeOf(FakeFault fault) const;

 private:
  std::map<FakeFault, std::uint32_t> values_;
};

/// Returns the token at which `prompt` crashes an engine: a test writes
/// "crash-at-5" into the prompt.
std::optional<TokenIndex> FindCrashToken(std::string_view prompt);

/// Ends the process at once, as a crash would.
[[noreturn]] void CrashProcess();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_FAULTS_H_
