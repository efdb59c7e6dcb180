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

LedgerSimulation::LedgerSimulation(DisabledRule disabled_rule, bool timed_key,
                                   bool numbered)
    : disabled_rule_(disabled_rule),
      timed_key_(timed_key),
      numbered_(numbered),
      key_(MakeKey(timed_key)),
      time_(kStart) {}

std::optional<std::string> LedgerSimulation::Simulate(
    const std::vector<std::uint32_t>& choices) {
  SetInvariantHandler([this](ResultCode, const std::string& state) {
    Fail("invariant: " + state);
  });
  if (!choices.empty()) usual_weight_ = 1 + choices[0] % kMaxUsualWeight;
  AddSend(0, "seat=1");
  for (const std::uint32_t number : choices) {
    std::vector<Step> steps;
    ListSteps(steps);
    steps[number % steps.size()]();
    if (violation_) break;
  }
  SetInvariantHandler(nullptr);
  return violation_;
}

ClockReading LedgerSimulation::ClockOf(std::size_t daemon) const {
  if (disabled_rule_ == DisabledRule::kAcceptExpired) {
    return {TimePoint(time_), kStart};
  }
  constexpr std::array<int, kDaemons> kErrors{-1, 0, 1};
  return {TimePoint(time_), time_ + kErrors[daemon] * limits_.clock_error};
}

void LedgerSimulation::AddSend(std::size_t daemon, const std::string& body) {
  const auto number = static_cast<std::uint32_t>(sends_.size() + 1);
  const bool pass_number =
      numbered_ && disabled_rule_ != DisabledRule::kIgnoreSendNumber;
  const ClaimId claim("claim" + std::to_string(number));
  LedgerRequest request{
      .key = key_,
      .claim = claim,
      .daemon = DaemonName("daemon" + std::to_string(daemon)),
      .digest = disabled_rule_ == DisabledRule::kIgnoreBody ? "same" : body,
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

void LedgerSimulation::ListSteps(std::vector<Step>& steps) {
  for (std::size_t i = 0; i < sends_.size(); ++i) {
    if (!sends_[i].alive) continue;
    ListStoreSteps(i, steps);
    ListCallSteps(i, steps);
    if (!sends_[i].timer_pending) continue;
    steps.push_back([this, i] {
      sends_[i].timer_pending = false;
      Feed(i, LedgerEvent(ClaimTimerFired{}));
    });
  }
  ListEnvironmentSteps(steps);
}

void LedgerSimulation::ListStoreSteps(std::size_t index,
                                      std::vector<Step>& steps) {
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
      steps.push_back([this, index, answer] {
        answer(LedgerEvent(*sends_[index].store_reply));
      });
    }
    steps.push_back(
        [answer, operation] { answer(LedgerAnswerLost{operation}); });
    return;
  }
  for (std::uint32_t i = 0; i < usual_weight_; ++i) {
    steps.push_back([this, index] {
      sends_[index].store_reply = ExecuteStoreCall(*sends_[index].store_call);
    });
  }
  if (std::holds_alternative<ReadLedger>(*send.store_call)) {
    steps.push_back([this, index, operation] {
      sends_[index].store_reply =
          LedgerRead{operation, old_record_, old_version_};
    });
  }
  steps.push_back([answer, operation] { answer(LedgerNotSent{operation}); });
  steps.push_back([this, index, answer, operation] {
    if (auto* write = std::get_if<WriteLedger>(&*sends_[index].store_call)) {
      delayed_writes_.push_back(*write);
    }
    answer(LedgerAnswerLost{operation});
  });
}

void LedgerSimulation::ListCallSteps(std::size_t index,
                                     std::vector<Step>& steps) {
  Send& send = sends_[index];
  if (send.wants_upstream) {
    const auto choose = [this, index](const ServiceRequestEvent& event) {
      sends_[index].wants_upstream = false;
      Feed(index, event);
    };
    for (std::uint32_t i = 0; i < usual_weight_; ++i) {
      steps.push_back([choose] { choose(UpstreamChosen{UpstreamName("s")}); });
    }
    steps.push_back([choose] { choose(UpstreamUnavailable{}); });
  }
  if (send.call == 0) return;
  const auto end = [this, index](bool sent) {
    const AttemptNumber attempt = std::exchange(sends_[index].call, 0);
    sends_[index].service_answer.reset();
    Feed(index, CallBroke{attempt, sent});
  };
  if (send.service_answer) {
    steps.push_back([this, index] {
      const AttemptNumber attempt = std::exchange(sends_[index].call, 0);
      Feed(index, CallAnswered{attempt, *sends_[index].service_answer});
    });
    const bool sent = disabled_rule_ != DisabledRule::kResendAfterBreak;
    steps.push_back([end, sent] { end(sent); });
    return;
  }
  for (std::uint32_t i = 0; i < usual_weight_; ++i) {
    steps.push_back([this, index] { Run(index); });
  }
  steps.push_back([end] { end(false); });
  steps.push_back([this, index, end] {
    delayed_runs_.push_back(index);
    end(true);
  });
}

void LedgerSimulation::ListEnvironmentSteps(std::vector<Step>& steps) {
  if (!delayed_writes_.empty()) {
    steps.push_back([this] {
      const WriteLedger write = delayed_writes_.back();
      delayed_writes_.pop_back();
      ApplyDelayedWrite(write);
    });
    steps.push_back([this] {
      const WriteLedger write = delayed_writes_.front();
      delayed_writes_.erase(delayed_writes_.begin());
      ApplyDelayedWrite(write);
    });
  }
  if (!delayed_runs_.empty()) {
    steps.push_back([this] {
      const std::size_t index = delayed_runs_.back();
      delayed_runs_.pop_back();
      Run(index);
    });
  }
  if (sends_.size() < kMaxSends) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      steps.push_back([this, daemon] { AddSend(daemon, "seat=1"); });
    }
    steps.push_back([this] { AddSend(1, "seat=2"); });
  }
  steps.push_back([this] { time_ += std::chrono::milliseconds(700); });
  steps.push_back([this] { time_ += std::chrono::seconds(4); });
  if (timed_key_) {
    steps.push_back([this] { time_ += limits_.resend_horizon / 2; });
    steps.push_back([this] { time_ += limits_.clock_error; });
    steps.push_back([this] { Collect(0); });
    steps.push_back([this] { Collect(kDaemons - 1); });
  }
  steps.push_back([this] { Crash(sends_.size() % kDaemons); });
}

void LedgerSimulation::Feed(std::size_t index,
                            const ServiceRequestEvent& event) {
  const auto actions =
      sends_[index].decider.Handle(event, ClockOf(sends_[index].daemon));
  for (const auto& action : actions) Execute(index, action);
}

void LedgerSimulation::Execute(std::size_t index,
                               const ServiceRequestAction& action) {
  Send& send = sends_[index];
  std::visit(Overloaded{
                 [&](const RequestUpstream&) { send.wants_upstream = true; },
                 [&](const SendCall& call) { send.call = call.attempt; },
                 [&](const ReturnAnswer&) {
                   CheckAnswer(index, *send.service_answer);
                 },
                 [&](const ReplayAnswer& replay) {
                   ++replays_;
                   CheckAnswer(index, replay.answer);
                 },
                 [&](const FailCall& failure) { CheckFailure(index, failure); },
                 [&](const ReadLedger& read) { send.store_call = read; },
                 [&](const WriteLedger& write) {
                   if (disabled_rule_ == DisabledRule::kSendBeforeRecord &&
                       write.record.state == LedgerState::kDispatched) {
                     delayed_writes_.push_back(write);
                     return Feed(
                         index, LedgerEvent(LedgerWritten{write.operation, 1}));
                   }
                   send.store_call = write;
                 },
                 [&](const StartClaimTimer&) { send.timer_pending = true; },
             },
             action);
}

std::optional<LedgerRecord> LedgerSimulation::Read() const {
  auto visible = record_;
  if (visible && disabled_rule_ == DisabledRule::kTakeOverDispatched &&
      visible->state == LedgerState::kDispatched) {
    visible->state = LedgerState::kReleased;
    visible->send_number = 0;
  }
  if (visible && disabled_rule_ == DisabledRule::kAlterAnswer &&
      !visible->answer.empty()) {
    visible->answer.pop_back();
  }
  return visible;
}

LedgerEvent LedgerSimulation::ExecuteStoreCall(
    const std::variant<ReadLedger, WriteLedger>& call) {
  const auto* write = std::get_if<WriteLedger>(&call);
  if (write == nullptr) return LedgerRead{OperationOf(call), Read(), version_};
  if (disabled_rule_ != DisabledRule::kWriteUnconditionally &&
      write->expected != version_) {
    return LedgerConflicted{write->operation, Read(), version_};
  }
  old_record_ = record_;
  old_version_ = version_;
  record_ = write->record;
  return LedgerWritten{write->operation, ++version_};
}

void LedgerSimulation::ApplyDelayedWrite(const WriteLedger& write) {
  const bool applied = std::holds_alternative<LedgerWritten>(
      ExecuteStoreCall(WriteLedger(write)));
  if (disabled_rule_ != DisabledRule::kRunAbandonedClaim || !applied) return;
  for (std::size_t i = 0; i < sends_.size(); ++i) {
    if (sends_[i].claim == write.record.claim && sends_[i].refused) Run(i);
  }
}

void LedgerSimulation::Run(std::size_t index) {
  Send& send = sends_[index];
  if (++runs_ > 1) return Fail("the work ran twice");
  if (send.refused) return Fail("a send reported as not run has run");
  if (numbered_ && send.number <= not_run_number_) {
    return Fail("a send ran although a later one was reported as not run");
  }
  run_answer_ = "hold " + std::to_string(index) + " of " + send.body;
  run_body_ = send.body;
  run_number_ = send.number;
  if (send.call != 0) send.service_answer = run_answer_;
}

void LedgerSimulation::CheckAnswer(std::size_t index,
                                   const std::string& answer) {
  if (runs_ != 1) return Fail("an answer was delivered without a run");
  if (answer != run_answer_) Fail("the answer differs from the service's");
  if (sends_[index].body != run_body_) Fail("the answer is for another body");
}

void LedgerSimulation::CheckFailure(std::size_t index,
                                    const FailCall& failure) {
  Send& send = sends_[index];
  if (DescribeResultCode(failure.code).outcome != Outcome::kNotRun) return;
  ++not_run_;
  send.refused = true;
  if (!numbered_ || failure.code == ResultCode::kIdempotencyKeyReused) return;
  if (runs_ > 0 && run_number_ <= send.number) {
    return Fail("a send was reported as not run although the key has run");
  }
  not_run_number_ = std::max(not_run_number_, send.number);
}

void LedgerSimulation::Collect(std::size_t daemon) {
  const bool old = IsCollectable(key_.made_at(), ClockOf(daemon).wall, limits_);
  if (!old && disabled_rule_ != DisabledRule::kCollectEarly &&
      disabled_rule_ != DisabledRule::kAcceptExpired) {
    return;
  }
  if (disabled_rule_ == DisabledRule::kAcceptExpired &&
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
      delayed_writes_.push_back(*write);
    }
    if (send.call != 0 && !send.service_answer) {
      delayed_runs_.push_back(static_cast<std::size_t>(&send - &sends_[0]));
    }
  }
}

void LedgerSimulation::Fail(const std::string& violation) {
  if (!violation_) violation_ = violation;
}

}  // namespace wisteriayoke
