#include "decisions/ledger_claim.h"

#include <doctest/doctest.h>

namespace wisteriayoke {
namespace {

constexpr WallTime kNow = std::chrono::hours(24 * 365 * 55);

LedgerRequest MakeRequest(std::uint32_t send_number) {
  LastReason reason;
  return {.key = *IdempotencyKey::Create(FormatTimedKey(kNow, 1, 2), reason),
          .claim = ClaimId("mine"),
          .digest = "d",
          .send_number = send_number};
}

LedgerRecord MakeRecord(LedgerState state) {
  return {.state = state,
          .claim = ClaimId("other"),
          .digest = "d",
          .send_number = 2,
          .claimed_at = kNow};
}

ResultCode RefusalOf(const std::vector<LedgerAction>& actions) {
  REQUIRE(!actions.empty());
  return std::get<RefuseSend>(actions[0]).code;
}

}  // namespace

TEST_CASE("a record written after its collection is not trusted") {
  const LedgerLimits limits;
  LedgerClaim claim(MakeRequest(1), limits);
  claim.Begin({{}, kNow});
  const auto actions =
      claim.Handle(LedgerConflicted{1, MakeRecord(LedgerState::kReleased), 1},
                   {{}, kNow + limits.resend_horizon + WallTime(1)});
  CHECK(RefusalOf(actions) == ResultCode::kIdempotencyKeyExpired);
}

TEST_CASE(
    "a resend while another send is under way is refused as in progress") {
  LedgerClaim claim(MakeRequest(0), {});
  claim.Begin({{}, kNow});
  const auto actions = claim.Handle(
      LedgerConflicted{1, MakeRecord(LedgerState::kDispatched), 1}, {{}, kNow});
  CHECK(RefusalOf(actions) == ResultCode::kInProgress);
}

TEST_CASE("an unreachable ledger refuses a first send as not run") {
  LedgerClaim first(MakeRequest(1), {});
  first.Begin({{}, kNow});
  CHECK(RefusalOf(first.Handle(LedgerNotSent{1}, {{}, kNow})) ==
        ResultCode::kLedgerUnavailable);
  LedgerClaim second(MakeRequest(2), {});
  second.Begin({{}, kNow});
  CHECK(RefusalOf(second.Handle(LedgerNotSent{1}, {{}, kNow})) ==
        ResultCode::kOutcomeUnknown);
}

TEST_CASE("a long answer is delivered but not kept") {
  LedgerLimits limits;
  limits.answer_bytes = 3;
  LedgerClaim claim(MakeRequest(1), limits);
  claim.Begin({{}, kNow});
  claim.Handle(LedgerWritten{1, 1}, {{}, kNow});
  const auto actions = claim.Handle(ServiceAnswered{"long"}, {{}, kNow});
  const auto& record = std::get<WriteLedger>(actions[0]).record;
  CHECK_FALSE(record.answer_kept);
  CHECK(record.answer.empty());
  LedgerRequest again = MakeRequest(2);
  again.claim = ClaimId("again");
  LedgerClaim resend(again, limits);
  resend.Begin({{}, kNow});
  CHECK(RefusalOf(resend.Handle(LedgerConflicted{1, record, 2}, {{}, kNow})) ==
        ResultCode::kAnswerNotKept);
}

TEST_CASE("a timed key is a UUID of version 7; other keys have no time") {
  LastReason reason;
  const auto timed =
      IdempotencyKey::Create(FormatTimedKey(kNow, ~0ULL, ~0ULL), reason);
  REQUIRE(timed.has_value());
  CHECK(timed->made_at() == kNow);
  CHECK(timed->text().size() == 36);
  const auto plain = IdempotencyKey::Create("seat-12A", reason);
  REQUIRE(plain.has_value());
  CHECK_FALSE(plain->made_at().has_value());
  CHECK_FALSE(IdempotencyKey::Create("two words", reason).has_value());
  CHECK_FALSE(IdempotencyKey::Create("", reason).has_value());
  CHECK(reason.code() == ResultCode::kIdempotencyKeyInvalid);
}

}  // namespace wisteriayoke
