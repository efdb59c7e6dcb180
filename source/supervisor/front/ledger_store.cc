#include "supervisor/front/ledger_store.h"

#include <chrono>
#include <random>
#include <utility>

#include "wire/digest.h"
#include "wire/ledger_codec.h"

namespace wisteriayoke {
namespace {

constexpr char kSeparator = '\0';

std::uint64_t ReadRandom() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> numbers;
  return numbers(device);
}

/// Converts the store's reply to an event of the claim. A record that can't be
/// parsed is treated as an unreachable store, so that nothing is concluded from
/// it.
LedgerEvent ToLedgerEvent(const StoreReply& reply, LedgerOperation operation,
                          bool write) {
  LastReason ignored;
  switch (reply.code) {
    case ResultCode::kOk: {
      if (write) return LedgerWritten{operation, reply.version};
      auto record = ParseLedgerRecord(reply.value, ignored);
      if (!record) return LedgerNotSent{operation};
      return LedgerRead{operation, std::move(record), reply.version};
    }
    case ResultCode::kObjectMissing:
      if (!write) return LedgerRead{operation, std::nullopt, 0};
      return LedgerAnswerLost{operation};
    case ResultCode::kStoreConflict: {
      if (reply.version == 0) return LedgerConflicted{operation};
      auto record = ParseLedgerRecord(reply.value, ignored);
      if (!record) return LedgerNotSent{operation};
      return LedgerConflicted{operation, std::move(record), reply.version};
    }
    default:
      if (reply.sent) return LedgerAnswerLost{operation};
      return LedgerNotSent{operation};
  }
}

}  // namespace

LedgerLimits LedgerLimitsOf(const Settings& settings) {
  const auto milliseconds = [&settings](SettingKey key) {
    return WallTime(static_cast<std::int64_t>(settings.Count(key)));
  };
  return {
      .claim_timeout = settings.Milliseconds(SettingKey::kLedgerClaimTimeout),
      .resend_horizon = milliseconds(SettingKey::kLedgerResendHorizon),
      .clock_error = milliseconds(SettingKey::kClockError),
      .answer_bytes = settings.Count(SettingKey::kLedgerAnswerBytes)};
}

ClockReading ReadClocks(const EventLoop& loop) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {loop.Now(), std::chrono::duration_cast<WallTime>(wall)};
}

ClaimId MakeClaimId() {
  return ClaimId(std::to_string(ReadRandom()) + "-" +
                 std::to_string(ReadRandom()));
}

std::string MakeTimedKey(WallTime now) {
  return FormatTimedKey(now, ReadRandom(), ReadRandom());
}

std::string ComputeRequestDigest(const HttpRequest& request) {
  return ComputeDigest(request.method + kSeparator + request.target +
                       kSeparator + request.body);
}

std::string LedgerRecordName(const WorkspaceName& workspace,
                             const RouteName& route,
                             const IdempotencyKey& key) {
  const std::string group =
      key.made_at()
          ? std::to_string(
                std::chrono::floor<std::chrono::hours>(*key.made_at()).count())
          : "untimed";
  return "ledger/" + group + "/" +
         ComputeDigest(workspace.text() + kSeparator + route.text() +
                       kSeparator + key.text());
}

void LedgerStore::Read(const ReadLedger& action, Done done) const {
  const auto table_service = table_service_();
  if (!table_service) return done(LedgerNotSent{action.operation});
  table_service->ReadRecord(
      record_name_, [done = std::move(done),
                     operation = action.operation](const StoreReply& reply) {
        done(ToLedgerEvent(reply, operation, false));
      });
}

void LedgerStore::Write(const WriteLedger& action, Done done) const {
  const auto table_service = table_service_();
  if (!table_service) return done(LedgerNotSent{action.operation});
  table_service->WriteRecord(
      record_name_, EncodeLedgerRecord(action.record), action.expected,
      [done = std::move(done),
       operation = action.operation](const StoreReply& reply) {
        done(ToLedgerEvent(reply, operation, true));
      });
}

}  // namespace wisteriayoke
