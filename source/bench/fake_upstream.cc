#include "bench/fake_upstream.h"

#include <algorithm>
#include <utility>

namespace wisteriayoke {

void FakeUpstream::Run(const BenchJobPtr& job, Handler on_begin, Handler on_end,
                       Handler on_break) {
  if (!alive_) return on_break();
  waiting_.push_back({job, std::move(on_begin), std::move(on_end),
                      std::move(on_break), ++next_incarnation_, time_.Now()});
  StartNext();
}

void FakeUpstream::StartNext() {
  while (!waiting_.empty() && running_.size() < spec_.slots) {
    Entry entry = std::move(waiting_.front());
    waiting_.pop_front();
    entry.start = time_.Now();
    const TicketNumber job = entry.job->number;
    const std::uint64_t incarnation = entry.incarnation;
    const std::uint32_t left = entry.job->tokens - entry.job->done_tokens;
    running_.insert_or_assign(job, std::move(entry));
    time_.Schedule(speed_.prefill,
                   [this, job, incarnation] { Begin(job, incarnation); });
    time_.Schedule(speed_.prefill + left * speed_.token,
                   [this, job, incarnation] { End(job, incarnation); });
  }
}

FakeUpstream::Entry* FakeUpstream::Find(TicketNumber job,
                                        std::uint64_t incarnation) {
  const auto found = running_.find(job);
  if (found == running_.end()) return nullptr;
  return found->second.incarnation == incarnation ? &found->second : nullptr;
}

void FakeUpstream::Begin(TicketNumber job, std::uint64_t incarnation) {
  if (Entry* entry = Find(job, incarnation)) entry->on_begin();
}

void FakeUpstream::Release(const Entry& entry) {
  const Duration elapsed = time_.Now() - entry.start;
  busy_time_ += elapsed;
  if (elapsed <= speed_.prefill) return;
  const auto generated =
      static_cast<std::uint32_t>((elapsed - speed_.prefill) / speed_.token);
  BenchJob& job = *entry.job;
  job.done_tokens = std::min(job.tokens, job.done_tokens + generated);
}

Duration FakeUpstream::busy_time() const {
  Duration sum = busy_time_;
  for (const auto& [job, entry] : running_) sum += time_.Now() - entry.start;
  return sum;
}

void FakeUpstream::End(TicketNumber job, std::uint64_t incarnation) {
  if (Find(job, incarnation) == nullptr) return;
  const Entry entry = std::move(running_.extract(job).mapped());
  Release(entry);
  StartNext();
  entry.on_end();
}

void FakeUpstream::Cancel(TicketNumber job) {
  std::erase_if(waiting_,
                [job](const auto& entry) { return entry.job->number == job; });
  const auto found = running_.find(job);
  if (found == running_.end()) return;
  Release(found->second);
  running_.erase(found);
  StartNext();
}

void FakeUpstream::Kill() {
  alive_ = false;
  std::vector<Entry> broken;
  for (auto& [job, entry] : running_) {
    Release(entry);
    broken.push_back(std::move(entry));
  }
  for (auto& entry : waiting_) broken.push_back(std::move(entry));
  running_.clear();
  waiting_.clear();
  for (const auto& entry : broken) entry.on_break();
}

}  // namespace wisteriayoke
