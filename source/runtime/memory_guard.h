#ifndef WISTERIAYOKE_RUNTIME_MEMORY_GUARD_H_
#define WISTERIAYOKE_RUNTIME_MEMORY_GUARD_H_

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "decisions/memory_budget.h"
#include "runtime/loop_timer.h"

namespace wisteriayoke {

class EventLoop;
class HttpServerSession;

/// Carries out what the memory budget of an event loop decides, and counts the
/// descriptors of its connections. Every connection of a server or to another
/// process is one holder. Without limits it only counts.
class MemoryGuard {
 public:
  using HolderId = MemoryBudget::HolderId;

  explicit MemoryGuard(EventLoop& loop) : loop_(loop) {}
  MemoryGuard(const MemoryGuard&) = delete;
  MemoryGuard& operator=(const MemoryGuard&) = delete;

  /// Sets the budget in bytes and the most descriptors; 0 sets no limit.
  void SetLimits(std::uint64_t bytes, std::uint64_t descriptors);

  /// Adds a connection that this process accepted, which may be closed.
  HolderId AddSession(const std::shared_ptr<HttpServerSession>& session);
  /// Adds a connection to another process.
  HolderId AddCall();
  void Remove(HolderId id);

  /// Sets what the holder holds. If memory is low, the budget's decisions are
  /// carried out, on a later turn of the loop.
  void Update(HolderId id, const MemoryBudget::Usage& usage);
  void RecordProgress(HolderId id, std::uint64_t bytes);
  void SetForwarded(HolderId id, bool forwarded);
  bool MayRead(HolderId id) const { return budget_.MayRead(id); }
  void Park(HolderId id);

  /// Returns whether a descriptor for another accepted connection is free. With
  /// `reserved`, it may be one of those kept for calls to other processes.
  bool HasRoomForSession(bool reserved) const;

  /// Closes the connection that has been idle for longest. Returns whether
  /// there was one.
  bool CloseIdleSession();

  /// Cancels the timer, so that the loop can be destroyed.
  void Stop() { timer_.reset(); }

  const MemoryBudget& budget() const { return budget_; }

 private:
  /// Time between decisions while memory is low.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
  /// Descriptors of listeners, signals, the log and files.
  static constexpr std::uint64_t kOwnDescriptors = 64;
  /// One part in this many of the descriptors is left to calls to other
  /// processes and to reserved connections.
  static constexpr std::uint64_t kReservedPart = 8;

  void ScheduleCheck(Duration delay);
  void Check();
  std::shared_ptr<HttpServerSession> FindSession(HolderId id) const;

  EventLoop& loop_;
  MemoryBudget budget_;
  std::uint64_t max_descriptors_ = 0;
  std::unordered_map<HolderId, std::weak_ptr<HttpServerSession>> sessions_;
  LoopTimerPtr timer_;
  bool check_now_ = false;  ///< Whether the timer runs on the next turn.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_MEMORY_GUARD_H_
