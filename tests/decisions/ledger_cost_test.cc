#include <doctest/doctest.h>

#include <random>

#include "base/overloaded.h"
#include "decisions/ledger_claim.h"

namespace wisteriayoke {
namespace {

/// Protocols for writing the ledger that are compared by cost.
enum class WriteProtocol {
  kOneWrite,   ///< The first write sets state dispatched, as `LedgerClaim`.
  kTwoWrites,  ///< The first write sets claimed, the second dispatched.
};

inline constexpr auto kWriteProtocolNames = MakeNamesTable<WriteProtocol>({
    {WriteProtocol::kOneWrite, "one-write"},
    {WriteProtocol::kTwoWrites, "two-writes"},
});

constexpr Duration kStoreRoundTrip = std::chrono::milliseconds(2);
constexpr Duration kServiceTime = std::chrono::milliseconds(50);
constexpr int kBookings = 20000;

/// Totals over many bookings.
struct Cost {
  double writes = 0;
  double reads = 0;
  Duration latency{0};
  Duration unknown_window{0};  ///< Time in which a crash leaves "unknown".
};

/// Runs one booking in virtual time; `lost` is the share of lost answers.
class Booking {
 public:
  Booking(WriteProtocol way, double lost, std::mt19937_64& generator,
          Cost& cost)
      : protocol_(way), lost_(lost), generator_(generator), cost_(cost) {}

  void Run() {
    LastReason reason;
    LedgerClaim claim(
        {.key = *IdempotencyKey::Create("k", reason), .claim = ClaimId("c")},
        {});
    if (protocol_ == WriteProtocol::kTwoWrites) Spend(cost_.writes);
    std::vector<LedgerAction> actions = claim.Begin(Clock());
    while (!actions.empty()) {
      std::vector<LedgerAction> next;
      for (const auto& action : actions) {
        if (const auto event = Execute(action)) {
          next = claim.Handle(*event, Clock());
        }
      }
      actions = std::move(next);
    }
    cost_.latency += now_ - TimePoint();
  }

 private:
  ClockReading Clock() const { return {now_}; }
  void Spend(double& count) {
    ++count;
    now_ += kStoreRoundTrip;
  }
  bool Lose() {
    return std::uniform_real_distribution<>(0, 1)(generator_) < lost_;
  }

  std::optional<LedgerEvent> Execute(const LedgerAction& action) {
    return std::visit(
        Overloaded{
            [this](const ReadLedger& read) -> std::optional<LedgerEvent> {
              Spend(cost_.reads);
              return LedgerRead{read.operation, record_, version_};
            },
            [this](const WriteLedger& write) -> std::optional<LedgerEvent> {
              Spend(cost_.writes);
              return Write(write);
            },
            [this](const StartClaimTimer& timer) -> std::optional<LedgerEvent> {
              now_ += timer.delay;
              return ClaimTimerFired{};
            },
            [this](const PermitDispatch&) -> std::optional<LedgerEvent> {
              now_ += kServiceTime;
              return ServiceAnswered{"hold"};
            },
            [](const auto&) -> std::optional<LedgerEvent> {
              return std::nullopt;
            }},
        action);
  }

  LedgerEvent Write(const WriteLedger& write) {
    const bool dispatched = write.record.state == LedgerState::kDispatched;
    if (write.expected != version_) {
      return LedgerConflicted{write.operation, record_, version_};
    }
    record_ = write.record;
    ++version_;
    if (dispatched) dispatched_at_ = now_;
    if (!dispatched) cost_.unknown_window += now_ - dispatched_at_;
    if (Lose()) return LedgerAnswerLost{write.operation};
    return LedgerWritten{write.operation, version_};
  }

  WriteProtocol protocol_;
  double lost_;
  std::mt19937_64& generator_;
  Cost& cost_;
  TimePoint now_;
  TimePoint dispatched_at_;
  std::optional<LedgerRecord> record_;
  std::uint64_t version_ = 0;
};

Cost Measure(WriteProtocol way, double lost) {
  std::mt19937_64 generator(7);
  Cost cost;
  for (int i = 0; i < kBookings; ++i) Booking(way, lost, generator, cost).Run();
  MESSAGE("way=", std::string(kWriteProtocolNames.NameOf(way)), " lost=", lost,
          " writes=", cost.writes / kBookings,
          " reads=", cost.reads / kBookings,
          " latency_us=", cost.latency.count() / kBookings,
          " unknown_window_us=", cost.unknown_window.count() / kBookings);
  return cost;
}

}  // namespace

TEST_CASE(
    "one write before the call costs less without more unknown outcomes") {
  for (const double lost : {0.0, 0.01, 0.1}) {
    const Cost one = Measure(WriteProtocol::kOneWrite, lost);
    const Cost two = Measure(WriteProtocol::kTwoWrites, lost);
    CHECK(one.writes < two.writes);
    CHECK(one.unknown_window <= two.unknown_window);
  }
  CHECK(Measure(WriteProtocol::kOneWrite, 0.0).writes == 2 * kBookings);
}

}  // namespace wisteriayoke
