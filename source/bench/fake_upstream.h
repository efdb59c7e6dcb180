#ifndef WISTERIAYOKE_BENCH_FAKE_UPSTREAM_H_
#define WISTERIAYOKE_BENCH_FAKE_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "bench/bench_job.h"
#include "bench/virtual_time.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Speed of one accelerator kind.
struct AcceleratorSpeed {
  Duration prefill;  ///< Time from getting a slot to the first token.
  Duration token;    ///< Time between two tokens.
};

/// Simulated engine: a queue with slots that runs jobs in order of arrival, at
/// the speed of its accelerator kind.
class FakeUpstream {
 public:
  using Handler = std::function<void()>;

  FakeUpstream(VirtualTime& time, const UpstreamSpec& spec,
               AcceleratorSpeed speed)
      : time_(time), spec_(spec), speed_(speed) {}

  /// Queues `job`, which continues after the tokens that it already has. Calls
  /// exactly one of `on_end` and `on_break` unless the job is cancelled.
  void Run(const BenchJobPtr& job, Handler on_begin, Handler on_end,
           Handler on_break);

  /// Removes `job` and records how many tokens it has generated.
  void Cancel(TicketNumber job);

  /// Calls `on_break` of all jobs, and of each new one until `Revive`.
  void Kill();
  void Revive() { alive_ = true; }

  bool alive() const { return alive_; }
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(running_.size() + waiting_.size());
  }
  const UpstreamSpec& spec() const { return spec_; }
  const AcceleratorSpeed& speed() const { return speed_; }

  /// Returns the busy time so far, summed over all slots.
  Duration busy_time() const;

 private:
  struct Entry {
    BenchJobPtr job;
    Handler on_begin;
    Handler on_end;
    Handler on_break;
    std::uint64_t incarnation = 0;
    TimePoint start;
  };

  void StartNext();
  void Begin(TicketNumber job, std::uint64_t incarnation);
  void End(TicketNumber job, std::uint64_t incarnation);
  void Release(const Entry& entry);
  Entry* Find(TicketNumber job, std::uint64_t incarnation);

  VirtualTime& time_;
  const UpstreamSpec& spec_;
  AcceleratorSpeed speed_;
  bool alive_ = true;
  std::uint64_t next_incarnation_ = 0;
  std::map<TicketNumber, Entry> running_;
  std::deque<Entry> waiting_;
  Duration busy_time_ = Duration::zero();
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_FAKE_UPSTREAM_H_
