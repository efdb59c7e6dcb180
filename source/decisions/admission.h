#ifndef WISTERIAYOKE_DECISIONS_ADMISSION_H_
#define WISTERIAYOKE_DECISIONS_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/names_table.h"
#include "base/result_code.h"
#include "decisions/concurrency_limit.h"
#include "decisions/fair_queue.h"

namespace wisteriayoke {

/// Whether a request is expected to hold a slot many times longer than others.
enum class WorkSize { kShort, kLong };

inline constexpr auto kWorkSizeNames = MakeNamesTable<WorkSize>({
    {WorkSize::kShort, "short"},
    {WorkSize::kLong, "long"},
});

/// A request was offered for admission.
struct RequestOffered {
  QueuedRequest request;
  WorkSize size = WorkSize::kShort;
};

/// The answer to a request began, `latency` after the request got its slot.
struct AnswerBegun {
  TicketNumber ticket = 0;
  Duration latency = Duration::zero();
};

/// A request ended, with or without success, or was withdrawn while it waited.
struct RequestEnded {
  TicketNumber ticket = 0;
};

/// A request has stopped running at its upstreams after `SuspendRequest`.
struct RequestSuspended {
  TicketNumber ticket = 0;
};

/// The slots that this daemon may use have changed.
struct SlotsChanged {
  std::uint32_t slots = 0;
  /// The part of `slots` that isn't borrowed from other daemons.
  std::uint32_t own_slots = slots;
};

/// Time has passed; waiting requests may have missed their latest start.
struct TimePassed {};

using AdmissionEvent = std::variant<RequestOffered, AnswerBegun, RequestEnded,
                                    RequestSuspended, SlotsChanged, TimePassed>;

/// Start the request; it holds a slot until it ends.
struct AdmitRequest {
  TicketNumber ticket = 0;
};

/// Refuse the request, which was never sent. The caller may retry after
/// `retry_after`.
struct RefuseRequest {
  TicketNumber ticket = 0;
  ResultCode code = ResultCode::kOverloaded;
  Duration retry_after = Duration::zero();
};

/// Cancel the request at its upstreams, keep its KV cache, and confirm with
/// `RequestSuspended`.
struct SuspendRequest {
  TicketNumber ticket = 0;
};

/// Continue a suspended request at its next token.
struct ResumeRequest {
  TicketNumber ticket = 0;
};

using AdmissionAction =
    std::variant<AdmitRequest, RefuseRequest, SuspendRequest, ResumeRequest>;

/// Bounds of one admission queue.
struct AdmissionLimits {
  /// Longest predicted wait at which short work is still queued.
  Duration max_wait = std::chrono::milliseconds(1000);
  /// Longest predicted time to run all waiting short work at which it starts
  /// in order of arrival: a quarter of `max_wait`. So short a queue leaves
  /// nothing to share out, and shares by weight would make one workspace bear
  /// all of the waiting.
  Duration ordered_wait = std::chrono::milliseconds(250);
  /// Most requests of both sizes that wait at a time.
  std::size_t max_waiting = 4096;
  /// Share of the slots that long work keeps while short work waits.
  double long_share = 0.1;
  /// Share of the slots that long work leaves free for short work that arrives.
  double free_share = 0.05;
};

/// Decides which requests of a pool run, wait, or are refused.
///
/// Workspaces share the slots by weight. A request whose predicted wait is too
/// long is refused at once. Short work takes precedence over long work; long
/// work is suspended while short work waits but keeps a share of the slots.
class Admission {
 public:
  explicit Admission(AdmissionLimits limits = {}) : limits_(limits) {}

  /// Handles one event and returns the actions to perform, in order. Events
  /// about unknown tickets have no effect.
  std::vector<AdmissionAction> Handle(const AdmissionEvent& event,
                                      TimePoint now);

  /// Slots in force: the number last set by `SlotsChanged`, or the lower limit
  /// that `ConcurrencyLimit` found.
  std::uint32_t slots() const { return limit_.limit(); }
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const {
    return short_.queue.size() + long_.queue.size();
  }

 private:
  using Actions = std::vector<AdmissionAction>;

  /// Cost of the work that one workspace started recently, as a decaying sum.
  struct RecentWork {
    double cost = 0.0;
    TimePoint updated;
  };

  /// Queue and statistics of the work of one size.
  struct SizeClass {
    FairQueue queue;
    std::map<WorkspaceName, RecentWork> recent;
    std::size_t running = 0;
    double us_per_cost = 0.0;  ///< Slot time per unit of cost; 0 while unknown.
  };

  struct RunningRequest {
    QueuedRequest request;
    WorkSize size = WorkSize::kShort;
    TimePoint slot_since;
    Duration earlier_slot_time = Duration::zero();  ///< Before suspensions.
    bool suspending = false;
  };

  struct SuspendedRequest {
    QueuedRequest request;
    Duration earlier_slot_time = Duration::zero();
  };

  SizeClass& ClassOf(WorkSize size) {
    return size == WorkSize::kShort ? short_ : long_;
  }

  void Offer(const RequestOffered& event, TimePoint now, Actions& actions);
  void End(const RequestEnded& event, TimePoint now);
  void Suspend(const RequestSuspended& event, TimePoint now);
  void Expire(TimePoint now, Actions& actions);
  void Dispatch(TimePoint now, Actions& actions);
  std::optional<WorkSize> ChooseSize() const;
  void Start(WorkSize size, TimePoint now, Actions& actions);
  void RequestSuspensions(Actions& actions);
  RunningRequest* FindLongestRunning();

  std::size_t SlotsKeptForLong() const;
  std::size_t SlotsKeptFree() const;
  /// Returns the predicted time to run all waiting short work, if known.
  std::optional<Duration> PredictShortBacklog();
  /// Returns whether short work starts in order of arrival.
  bool KeepsArrivalOrder();

  /// Returns the cost per microsecond of all slots that `size` may use.
  double ClassRateOf(WorkSize size);
  /// Returns the cost per microsecond that the request's workspace can expect.
  double WorkRateOf(const QueuedRequest& request, WorkSize size, TimePoint now);
  Duration PredictWait(const QueuedRequest& request, WorkSize size,
                       TimePoint now);
  RefuseRequest Refuse(const QueuedRequest& request, WorkSize size,
                       ResultCode code, Duration wait, TimePoint now);

  AdmissionLimits limits_;
  ConcurrencyLimit limit_;
  SizeClass short_;
  SizeClass long_;
  std::uint32_t own_slots_ = 0;
  std::size_t suspending_ = 0;
  std::unordered_map<TicketNumber, RunningRequest> running_;
  std::unordered_map<TicketNumber, SuspendedRequest> suspended_;
  /// Time at which each workspace's last refused request may be retried.
  std::map<WorkspaceName, TimePoint> next_retry_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_ADMISSION_H_
