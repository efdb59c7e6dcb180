#ifndef WISTERIAYOKE_RUNTIME_SUPERVISOR_H_
#define WISTERIAYOKE_RUNTIME_SUPERVISOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/last_reason.h"
#include "decisions/restart_policy.h"
#include "runtime/event_loop.h"

namespace wisteriayoke {

/// Reports to the parent in the supervisor tree that a child or a supervisor
/// can't continue. The reporting child must not be used afterwards.
using FailureHandler = std::function<void(const LastReason&)>;

/// Starts, restarts and stops the children of one node of the supervisor tree.
///
/// `Child` is a `std::variant` of `std::shared_ptr`s. Each alternative offers
/// `bool Start(LastReason&)` and `void Stop(std::function<void()> done)`.
/// Children start in the order in which they are added and stop in reverse. A
/// restart stops the child and creates a new one from its specification.
template <typename Child>
class Supervisor {
 public:
  /// Specification of one child.
  struct ChildSpec {
    std::string name;
    RestartPolicy policy = RestartPolicy::kPermanent;
    RestartIntensity intensity;
    std::function<Child(FailureHandler)> create;
  };

  /// Current state of one child.
  struct ChildStatus {
    std::string name;
    bool running = false;
    unsigned restarts = 0;
  };

  /// Called for each failure of a child with the decision and the failure.
  using Observer = std::function<void(const std::string& child, RestartDecision,
                                      const LastReason&)>;

  Supervisor(EventLoop& loop, Observer observer, FailureHandler escalate)
      : loop_(loop),
        observer_(std::move(observer)),
        escalate_(std::move(escalate)) {}

  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;
  ~Supervisor() { *alive_ = false; }

  /// Creates a child and starts it. Fails with the child's reason.
  bool Add(ChildSpec spec, LastReason& reason) {
    children_.push_back(std::make_unique<Entry>(std::move(spec)));
    if (StartChild(*children_.back(), reason)) return true;
    children_.pop_back();
    return false;
  }

  /// Stops the child called `name` and removes it.
  void Remove(const std::string& name) {
    for (auto it = children_.begin(); it != children_.end(); ++it) {
      if ((*it)->spec.name != name) continue;
      std::unique_ptr<Entry> removed = std::move(*it);
      children_.erase(it);
      StopChild(*removed);
      return;
    }
  }

  /// Stops all children, the last started first, waits for children that are
  /// still stopping after a failure, then calls `done`. `Find` returns a child
  /// until it has stopped.
  void Stop(std::function<void()> done) {
    if (children_.empty()) return AwaitStoppingChildren(std::move(done));
    Entry& last = *children_.back();
    last.stopping = true;
    last.restart_timer.reset();
    auto next = [this, alive = alive_, done = std::move(done)] {
      if (!*alive) return;
      children_.pop_back();
      Stop(done);
    };
    if (!last.child) return next();
    const Child child = *last.child;
    std::visit(
        [this, &next, &child](const auto& running) {
          running->Stop(
              [this, next = std::move(next), child] { loop_.Post(next); });
        },
        child);
  }

  /// Returns the first running child of type `Kind`, or null.
  template <typename Kind>
  std::shared_ptr<Kind> Find() const {
    for (const auto& entry : children_) {
      if (!entry->child) continue;
      if (auto* found = std::get_if<std::shared_ptr<Kind>>(&*entry->child)) {
        return *found;
      }
    }
    return nullptr;
  }

  /// Returns every child of type `Kind` that has not stopped yet, including
  /// children that failed or were removed and are still stopping.
  template <typename Kind>
  std::vector<std::shared_ptr<Kind>> FindAll() const {
    std::vector<std::shared_ptr<Kind>> found;
    const auto add = [&found](const Child& child) {
      if (auto* kind = std::get_if<std::shared_ptr<Kind>>(&child)) {
        found.push_back(*kind);
      }
    };
    for (const auto& [number, child] : stopping_children_) add(child);
    for (const auto& entry : children_) {
      if (entry->child) add(*entry->child);
    }
    return found;
  }

  /// Returns the running child called `name` if its type is `Kind`, or null.
  template <typename Kind>
  std::shared_ptr<Kind> FindNamed(const std::string& name) const {
    for (const auto& entry : children_) {
      if (entry->spec.name != name || !entry->child) continue;
      auto* found = std::get_if<std::shared_ptr<Kind>>(&*entry->child);
      return found == nullptr ? nullptr : *found;
    }
    return nullptr;
  }

  /// Returns the state of each child, in the order of their start.
  std::vector<ChildStatus> Describe() const {
    std::vector<ChildStatus> rows;
    for (const auto& entry : children_) {
      rows.push_back(
          {entry->spec.name, entry->child.has_value(), entry->incarnation - 1});
    }
    return rows;
  }

  /// Returns the names of all children, in the order of their start.
  std::vector<std::string> ListNames() const {
    std::vector<std::string> names;
    for (const auto& entry : children_) names.push_back(entry->spec.name);
    return names;
  }

  /// Treats the child called `name` as failed with `reason`, at the request of
  /// an operator or a test. Returns false if no such child is running.
  bool FailChild(const std::string& name, const LastReason& reason) {
    for (const auto& entry : children_) {
      if (entry->spec.name != name || !entry->child) continue;
      HandleFailure(name, entry->incarnation, reason);
      return true;
    }
    return false;
  }

 private:
  /// Delay after which a failed start during a restart is handled as a failure.
  static constexpr Duration kRestartDelay = std::chrono::milliseconds(100);

  struct Entry {
    explicit Entry(ChildSpec child_spec)
        : spec(std::move(child_spec)), tracker(spec.policy, spec.intensity) {}

    ChildSpec spec;
    RestartTracker tracker;
    std::optional<Child> child;
    unsigned incarnation = 0;
    bool stopping = false;
    LoopTimerPtr restart_timer;
  };

  bool StartChild(Entry& entry, LastReason& reason) {
    const unsigned incarnation = ++entry.incarnation;
    entry.child =
        entry.spec.create([this, alive = alive_, name = entry.spec.name,
                           incarnation](const LastReason& failure) {
          loop_.Post([this, alive, name, incarnation, failure] {
            if (*alive) HandleFailure(name, incarnation, failure);
          });
        });
    const bool started = std::visit(
        [&reason](auto& child) { return child->Start(reason); }, *entry.child);
    if (!started) entry.child.reset();
    return started;
  }

  /// Stops the child of `entry` and keeps it alive until it has stopped.
  void StopChild(Entry& entry) {
    entry.restart_timer.reset();
    if (!entry.child) return;
    const Child child = *std::exchange(entry.child, std::nullopt);
    const unsigned number = next_stopping_number_++;
    stopping_children_.emplace(number, child);
    std::visit(
        [this, number](const auto& running) {
          running->Stop([this, alive = alive_, number] {
            if (!*alive) return;
            loop_.Post([this, alive, number] {
              if (*alive) RemoveStoppedChild(number);
            });
          });
        },
        child);
  }

  void RemoveStoppedChild(unsigned number) {
    stopping_children_.erase(number);
    if (!stopping_children_.empty() || !on_all_stopped_) return;
    std::exchange(on_all_stopped_, nullptr)();
  }

  void AwaitStoppingChildren(std::function<void()> done) {
    if (stopping_children_.empty()) return done();
    on_all_stopped_ = std::move(done);
  }

  Entry* FindEntry(const std::string& name, unsigned incarnation) {
    for (const auto& entry : children_) {
      if (entry->spec.name == name && entry->incarnation == incarnation) {
        return entry.get();
      }
    }
    return nullptr;
  }

  void HandleFailure(const std::string& name, unsigned incarnation,
                     const LastReason& reason) {
    Entry* entry = FindEntry(name, incarnation);
    if (entry == nullptr || entry->stopping) return;
    StopChild(*entry);
    const RestartDecision decision = entry->tracker.RecordFailure(loop_.Now());
    observer_(name, decision, reason);
    switch (decision) {
      case RestartDecision::kRestart:
        return Restart(*entry);
      case RestartDecision::kLeaveStopped:
        return;
      case RestartDecision::kEscalate:
        return Escalate(name, reason);
    }
  }

  void Restart(Entry& entry) {
    LastReason reason;
    if (StartChild(entry, reason)) return;
    entry.restart_timer = loop_.Schedule(
        kRestartDelay,
        [this, name = entry.spec.name, incarnation = entry.incarnation,
         reason] { HandleFailure(name, incarnation, reason); });
  }

  void Escalate(const std::string& name, const LastReason& reason) {
    LastReason escalated;
    escalated.Set(ResultCode::kRestartLimitReached,
                  "child \"" + name +
                      "\" failed too often; last reason: " + reason.message());
    escalate_(escalated);
  }

  EventLoop& loop_;
  Observer observer_;
  FailureHandler escalate_;
  std::vector<std::unique_ptr<Entry>> children_;
  /// Failed or removed children that have not stopped yet.
  std::map<unsigned, Child> stopping_children_;
  unsigned next_stopping_number_ = 0;
  std::function<void()> on_all_stopped_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_SUPERVISOR_H_
