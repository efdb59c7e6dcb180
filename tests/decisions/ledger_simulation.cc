#include "ledger_simulation.h"

#include <utility>

#include "base/invariant.h"
#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr WallTime kStart = std::chrono::hours(24 * 365 * 55);
constexpr std::size_t kMaxSends = 6;
constexpr std::uint32_t kMaxUsualWeight = 16;

IdempotencyKey MakeKey(bool timed) {
  LastReason reason;
  return *IdempotencyKey::Create(timed ? FormatTimedKey(kStart, 1, 2) : "k",
                                 reason);
}

LedgerOperation OperationOf(const std::variant<ReadLedger, WriteLedger>& call) {
  return std::visit([](const auto& each) { return each.operation; }, call);
}

}  // namespace

LedgerSimulation::LedgerSimulation(BrokenRule broken, bool timed_key,
                                   bool numbered)
    : broken_(broken),
      timed_key_(timed_key),
      numbered_(numbered),
      key_(MakeKey(timed_key)),
      time_(kStart) {}

std::optional<std::string> LedgerSimulation::Play(
    const std::vector<std::uint32_t>& tape) {
  SetInvariantHandler([this](ResultCode, const std::string& state) {
    Break("invariant: " + state);
  });
  if (!tape.empty()) usual_weight_ = 1 + tape[0] % kMaxUsualWeight;
  AddSend(0, "seat=1");
  for (const std::uint32_t number : tape) {
    std::vector<Move> moves;
    ListMoves(moves);
    moves[number % moves.size()]();
    if (violation_) break;
  }
  SetInvariantHandler(nullptr);
  return violation_;
}

ClockReading LedgerSimulation::ClockOf(std::size_t daemon) const {
  if (broken_ == BrokenRule::kAcceptExpired) {
    return {TimePoint(time_), kStart};
  }
  constexpr std::array<int, kDaemons> kErrors{-1, 0, 1};
  return {TimePoint(time_), time_ + kErrors[daemon] * limits_.clock_error};
}

void LedgerSimulation::AddSend(std::size_t daemon, const std::string& body) {
  const auto number = static_cast<std::uint32_t>(sends_.size() + 1);
  const bool pass_number =
      numbered_ && broken_ != BrokenRule::kIgnoreSendNumber;
  const ClaimId claim("claim" + std::to_string(number));
  LedgerRequest request{
      .key = key_,
      .claim = claim,
      .daemon = DaemonName("daemon" + std::to_string(daemon)),
      .digest = broken_ == BrokenRule::kIgnoreBody ? "same" : body,
      .send_number = pass_number ? number : 0,
      .finish_limit = std::chrono::seconds(10)};
  sends_.push_back({.decider = ServiceRequest::ForOnce(
                        std::move(request), limits_,
                        ClockOf(daemon).monotonic + std::chrono::seconds(5)),
                    .daemon = daemon,
                    .number = numbered_ ? number : 0,
                    .body = body,
                    .claim = claim});
  Feed(sends_.size() - 1, ServiceAdmitted{});
}

void LedgerSimulation::ListMoves(std::vector<Move>& moves) {
  for (std::size_t i = 0; i < sends_.size(); ++i) {
    if (!sends_[i].alive) continue;
    ListStoreMoves(i, moves);
    ListCallMoves(i, moves);
    if (!sends_[i].wakes) continue;
    moves.push_back([this, i] {
      sends_[i].wakes = false;
      Feed(i, LedgerEvent(ClaimTimerFired{}));
    });
  }
  ListWorldMoves(moves);
}

void LedgerSimulation::ListStoreMoves(std::size_t index,
                                      std::vector<Move>& moves) {
  const auto answer = [this, index](LedgerEvent event) {
    sends_[index].store_call.reset();
    sends_[index].store_reply.reset();
    Feed(index, event);
  };
  Send& send = sends_[index];
  if (!send.store_call) return;
  const LedgerOperation operation = OperationOf(*send.store_call);
  if (send.store_reply) {
    for (std::uint32_t i = 0; i < usual_weight_; ++i) {
      moves.push_back([this, index, answer] {
        answer(LedgerEvent(*sends_[index].store_reply));
      });
    }
    moves.push_back(
        [answer, operation] { answer(LedgerAnswerLost{operation}); });
    return;
  }
  for (std::uint32_t i = 0; i < usual_weight_; ++i) {
    moves.push_back([this, index] {
      sends_[index].store_reply = Execute(*sends_[index].store_call);
    });
  }
  if (std::holds_alternative<ReadLedger>(*send.store_call)) {
    moves.push_back([this, index, operation] {
      sends_[index].store_reply =
          LedgerRead{operation, old_record_, old_version_};
    });
  }
  moves.push_back([answer, operation] { answer(LedgerNotSent{operation}); });
  moves.push_back([this, index, answer, operation] {
    if (auto* write = std::get_if<WriteLedger>(&*sends_[index].store_call)) {
      floating_writes_.push_back(*write);
    }
    answer(LedgerAnswerLost{operation});
  });
}

void LedgerSimulation::ListCallMoves(std::size_t index,
                                     std::vector<Move>& moves) {
  Send& send = sends_[index];
  if (send.wants_upstream) {
    const auto choose = [this, index](const ServiceRequestEvent& event) {
      sends_[index].wants_upstream = false;
      Feed(index, event);
    };
    for (std::uint32_t i = 0; i < usual_weight_; ++i) {
      moves.push_back([choose] { choose(UpstreamChosen{UpstreamName("s")}); });
    }
    moves.push_back([choose] { choose(UpstreamUnavailable{}); });
  }
  if (send.call == 0) return;
  const auto end = [this, index](bool sent) {
    const AttemptNumber attempt = std::exchange(sends_[index].call, 0);
    sends_[index].service_answer.reset();
    Feed(index, CallBroke{attempt, sent});
  };
  if (send.service_answer) {
    moves.push_back([this, index] {
      const AttemptNumber attempt = std::exchange(sends_[index].call, 0);
      Feed(index, CallAnswered{attempt, *sends_[index].service_answer});
    });
    const bool sent = broken_ != BrokenRule::kResendAfterBreak;
    moves.push_back([end, sent] { end(sent); });
    return;
  }
  for (std::uint32_t i = 0; i < usual_weight_; ++i) {
    moves.push_back([this, index] { Run(index); });
  }
  moves.push_back([end] { end(false); });
  moves.push_back([this, index, end] {
    floating_runs_.push_back(index);
    end(true);
  });
}

void LedgerSimulation::ListWorldMoves(std::vector<Move>& moves) {
  if (!floating_writes_.empty()) {
    moves.push_back([this] {
      const WriteLedger write = floating_writes_.back();
      floating_writes_.pop_back();
      Land(write);
    });
    moves.push_back([this] {
      const WriteLedger write = floating_writes_.front();
      floating_writes_.erase(floating_writes_.begin());
      Land(write);
    });
  }
  if (!floating_runs_.empty()) {
    moves.push_back([this] {
      const std::size_t index = floating_runs_.back();
      floating_runs_.pop_back();
      Run(index);
    });
  }
  if (sends_.size() < kMaxSends) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      moves.push_back([this, daemon] { AddSend(daemon, "seat=1"); });
    }
    moves.push_back([this] { AddSend(1, "seat=2"); });
  }
  moves.push_back([this] { time_ += std::chrono::milliseconds(700); });
  moves.push_back([this] { time_ += std::chrono::seconds(4); });
  if (timed_key_) {
    moves.push_back([this] { time_ += limits_.resend_horizon / 2; });
    moves.push_back([this] { time_ += limits_.clock_error; });
    moves.push_back([this] { Collect(0); });
    moves.push_back([this] { Collect(kDaemons - 1); });
  }
  moves.push_back([this] { Crash(sends_.size() % kDaemons); });
}

void LedgerSimulation::Feed(std::size_t index,
                            const ServiceRequestEvent& event) {
  const auto actions =
      sends_[index].decider.Handle(event, ClockOf(sends_[index].daemon));
  for (const auto& action : actions) Carry(index, action);
}

void LedgerSimulation::Carry(std::size_t index,
                             const ServiceRequestAction& action) {
  Send& send = sends_[index];
  std::visit(
      Overloaded{
          [&](const RequestUpstream&) { send.wants_upstream = true; },
          [&](const SendCall& call) { send.call = call.attempt; },
          [&](const ReturnAnswer&) { TellAnswer(index, *send.service_answer); },
          [&](const ReplayAnswer& replay) {
            ++replays_;
            TellAnswer(index, replay.answer);
          },
          [&](const FailCall& failure) { TellFailure(index, failure); },
          [&](const ReadLedger& read) { send.store_call = read; },
          [&](const WriteLedger& write) {
            if (broken_ == BrokenRule::kSendBeforeRecord &&
                write.record.state == LedgerState::kDispatched) {
              floating_writes_.push_back(write);
              return Feed(index,
                          LedgerEvent(LedgerWritten{write.operation, 1}));
            }
            send.store_call = write;
          },
          [&](const StartClaimTimer&) { send.wakes = true; },
      },
      action);
}

std::optional<LedgerRecord> LedgerSimulation::Shown() const {
  auto shown = record_;
  if (shown && broken_ == BrokenRule::kTakeOverDispatched &&
      shown->state == LedgerState::kDispatched) {
    shown->state = LedgerState::kReleased;
    shown->send_number = 0;
  }
  if (shown && broken_ == BrokenRule::kAlterAnswer && !shown->answer.empty()) {
    shown->answer.pop_back();
  }
  return shown;
}

LedgerEvent LedgerSimulation::Execute(
    const std::variant<ReadLedger, WriteLedger>& call) {
  const auto* write = std::get_if<WriteLedger>(&call);
  if (write == nullptr) return LedgerRead{OperationOf(call), Shown(), version_};
  if (broken_ != BrokenRule::kWriteUnconditionally &&
      write->expected != version_) {
    return LedgerConflicted{write->operation, Shown(), version_};
  }
  old_record_ = record_;
  old_version_ = version_;
  record_ = write->record;
  return LedgerWritten{write->operation, ++version_};
}

void LedgerSimulation::Land(const WriteLedger& write) {
  const bool landed =
      std::holds_alternative<LedgerWritten>(Execute(WriteLedger(write)));
  if (broken_ != BrokenRule::kRunAbandonedClaim || !landed) return;
  for (std::size_t i = 0; i < sends_.size(); ++i) {
    if (sends_[i].claim == write.record.claim && sends_[i].told_not_run) Run(i);
  }
}

void LedgerSimulation::Run(std::size_t index) {
  Send& send = sends_[index];
  if (++runs_ > 1) return Break("the work ran twice");
  if (send.told_not_run) return Break("a send told not-run has run");
  if (numbered_ && send.number <= not_run_number_) {
    return Break("a send ran although a later one was told not-run");
  }
  run_answer_ = "hold " + std::to_string(index) + " of " + send.body;
  run_body_ = send.body;
  run_number_ = send.number;
  if (send.call != 0) send.service_answer = run_answer_;
}

void LedgerSimulation::TellAnswer(std::size_t index,
                                  const std::string& answer) {
  if (runs_ != 1) return Break("done was told without a run");
  if (answer != run_answer_) Break("the answer differs from the service's");
  if (sends_[index].body != run_body_) Break("the answer is to another body");
}

void LedgerSimulation::TellFailure(std::size_t index, const FailCall& failure) {
  Send& send = sends_[index];
  if (DescribeResultCode(failure.code).outcome != Outcome::kNotRun) return;
  ++not_run_;
  send.told_not_run = true;
  if (!numbered_ || failure.code == ResultCode::kIdempotencyKeyReused) return;
  if (runs_ > 0 && run_number_ <= send.number) {
    return Break("not-run was told although the key has run");
  }
  not_run_number_ = std::max(not_run_number_, send.number);
}

void LedgerSimulation::Collect(std::size_t daemon) {
  const bool old = IsCollectable(key_.made_at(), ClockOf(daemon).wall, limits_);
  if (!old && broken_ != BrokenRule::kCollectEarly &&
      broken_ != BrokenRule::kAcceptExpired) {
    return;
  }
  if (broken_ == BrokenRule::kAcceptExpired &&
      !IsCollectable(key_.made_at(), time_, limits_)) {
    return;
  }
  record_.reset();
  version_ = 0;
}

void LedgerSimulation::Crash(std::size_t daemon) {
  for (auto& send : sends_) {
    if (send.daemon != daemon || !send.alive) continue;
    send.alive = false;
    if (auto* write = send.store_call && !send.store_reply
                          ? std::get_if<WriteLedger>(&*send.store_call)
                          : nullptr) {
      floating_writes_.push_back(*write);
    }
    if (send.call != 0 && !send.service_answer) {
      floating_runs_.push_back(static_cast<std::size_t>(&send - &sends_[0]));
    }
  }
}

void LedgerSimulation::Break(const std::string& promise) {
  if (!violation_) violation_ = promise;
}

}  // namespace wisteriayoke
