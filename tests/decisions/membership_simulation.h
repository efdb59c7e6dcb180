#ifndef WISTERIAYOKE_TESTS_DECISIONS_MEMBERSHIP_SIMULATION_H_
#define WISTERIAYOKE_TESTS_DECISIONS_MEMBERSHIP_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "decisions/membership.h"

namespace wisteriayoke {

/// Runs the membership deciders of several daemons in virtual time, connected
/// by a network that delays, reorders and loses messages and can be
/// partitioned. For tests only.
class MembershipSimulation {
 public:
  static constexpr std::size_t kFirstPort = 7000;
  /// Datagrams that wait for a slow daemon at most.
  static constexpr std::size_t kReceiveQueue = 128;

  /// Called with each message when it is sent.
  using Observer = std::function<void(std::size_t from, const PeerMessage&)>;
  /// Called with each action of a daemon that isn't a message.
  using Handler = std::function<void(std::size_t daemon, const PeerAction&)>;

  /// Starts `count` daemons; the first two are the seeds of all.
  MembershipSimulation(std::size_t count, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      daemons_.push_back({});
      Start(i);
    }
  }

  static DaemonName NameOf(std::size_t i) {
    return DaemonName("daemon" + std::to_string(i));
  }
  static Endpoint EndpointOf(std::size_t i) {
    return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
            static_cast<std::uint16_t>(kFirstPort + i)};
  }

  /// Starts or restarts daemon `i`.
  void Start(std::size_t i) {
    Daemon& daemon = daemons_[i];
    const auto incarnation =
        static_cast<std::uint64_t>(now_.time_since_epoch().count() + 1);
    daemon.membership = std::make_unique<Membership>(
        Member{NameOf(i), EndpointOf(i), incarnation, MemberStatus::kAlive},
        std::vector<Endpoint>{EndpointOf(0), EndpointOf(1)}, random_());
    daemon.running = true;
    daemon.paused = false;
    const unsigned generation = ++daemon.generation;
    const Duration phase(static_cast<Duration::rep>(random_() % 30000));
    ScheduleTick(i, generation, now_ + phase);
  }

  void Crash(std::size_t i) { daemons_[i].running = false; }
  void SetPaused(std::size_t i, bool paused) { daemons_[i].paused = paused; }
  /// Daemons in different partitions receive no messages from each other.
  void SetPartition(std::size_t i, unsigned partition) {
    daemons_[i].partition = partition;
  }
  void SetLoss(unsigned percent) { loss_percent_ = percent; }
  /// Multiplies the delay of each message by the factor of its link.
  void SetLinkFactor(
      std::function<unsigned(std::size_t from, std::size_t to)> factor) {
    link_factor_ = std::move(factor);
  }
  /// Makes daemon `i` take `time` for each tick and each datagram. Datagrams
  /// that find its queue full are lost.
  void SetHandlingTime(std::size_t i, Duration time) {
    daemons_[i].handling = time;
  }
  /// Makes all daemons known to each other, as after a long time of calm.
  void Introduce() {
    RunFor(std::chrono::milliseconds(100));
    for (std::size_t i = 0; i < size(); ++i) {
      const std::size_t from = i == 0 ? 1 : 0;
      PeerMessage list{.sender = membership(from).self()};
      for (std::size_t j = 0; j < size(); ++j) {
        list.members.push_back(membership(j).self());
      }
      Feed(i, PeerMessageArrived{list, EndpointOf(from)});
    }
  }
  void set_observer(Observer observer) { observer_ = std::move(observer); }
  void set_handler(Handler handler) { handler_ = std::move(handler); }
  /// Called with each message before it is sent, to complete it.
  void set_stamp(std::function<void(std::size_t from, PeerMessage&)> stamp) {
    stamp_ = std::move(stamp);
  }
  /// Called with each message that a running daemon receives.
  void set_receiver(
      std::function<void(std::size_t to, const PeerMessage&, std::size_t from)>
          receiver) {
    receiver_ = std::move(receiver);
  }
  bool paused(std::size_t i) const { return daemons_[i].paused; }
  /// Returns whether messages from one daemon reach the other.
  bool Connected(std::size_t a, std::size_t b) const {
    return daemons_[a].partition == daemons_[b].partition;
  }

  /// Calls `call` at `time`.
  void Schedule(TimePoint time, std::function<void()> call) {
    events_.push({time, next_order_++, std::move(call)});
  }

  bool running(std::size_t i) const { return daemons_[i].running; }
  std::size_t size() const { return daemons_.size(); }
  TimePoint now() const { return now_; }
  const Membership& membership(std::size_t i) const {
    return *daemons_[i].membership;
  }

  /// Returns whether `a` knows `b` as a present member.
  bool Sees(std::size_t a, std::size_t b) const {
    const Member* member = membership(a).members().Find(NameOf(b));
    return member != nullptr && member->present();
  }

  void Feed(std::size_t i, const PeerEvent& event) {
    Daemon& daemon = daemons_[i];
    if (!daemon.running || daemon.paused) return;
    for (const auto& action : daemon.membership->Handle(event, now_)) {
      if (const auto* send = std::get_if<SendPeerMessage>(&action)) {
        Send(i, *send);
      } else if (handler_) {
        handler_(i, action);
      }
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = now_ + time;
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.call();
    }
    now_ = end;
  }

 private:
  struct Daemon {
    std::unique_ptr<Membership> membership;
    bool running = false;
    bool paused = false;
    unsigned partition = 0;
    unsigned generation = 0;
    Duration handling{};
    std::size_t queued = 0;
    TimePoint busy_until{};
  };
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> call;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return std::tie(a.time, a.order) > std::tie(b.time, b.order);
    }
  };

  void ScheduleTick(std::size_t i, unsigned generation, TimePoint time) {
    Schedule(time, [this, i, generation] {
      Enter(i, [this, i, generation] {
        if (daemons_[i].generation != generation) return;
        Feed(i, PeerTick{});
        ScheduleTick(i, generation, now_ + Membership::kTickInterval);
      });
    });
  }

  /// Calls `call` when daemon `i` has handled what came before it.
  void Enter(std::size_t i, std::function<void()> call) {
    Daemon& daemon = daemons_[i];
    if (daemon.handling == Duration::zero() && daemon.queued == 0) {
      return call();
    }
    daemon.busy_until = std::max(now_, daemon.busy_until) + daemon.handling;
    ++daemon.queued;
    Schedule(daemon.busy_until, [this, i, call = std::move(call)] {
      --daemons_[i].queued;
      call();
    });
  }

  void Send(std::size_t from, const SendPeerMessage& send) {
    PeerMessage message = send.message;
    if (stamp_) stamp_(from, message);
    if (observer_) observer_(from, message);
    if (random_() % 100 < loss_percent_) return;
    const std::size_t to = send.to.port - kFirstPort;
    if (daemons_[to].partition != daemons_[from].partition) return;
    Duration delay(static_cast<Duration::rep>(250 + random_() % 2000));
    if (link_factor_) delay *= link_factor_(from, to);
    Schedule(now_ + delay, [this, from, to, message = std::move(message)] {
      if (daemons_[to].queued >= kReceiveQueue) return;
      Enter(to, [this, from, to, message] { Receive(to, message, from); });
    });
  }

  void Receive(std::size_t to, const PeerMessage& message, std::size_t from) {
    Feed(to, PeerMessageArrived{message, EndpointOf(from)});
    const Daemon& receiver = daemons_[to];
    if (receiver_ && receiver.running && !receiver.paused) {
      receiver_(to, message, from);
    }
  }

  std::vector<Daemon> daemons_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::mt19937_64 random_;
  std::uint64_t next_order_ = 0;
  unsigned loss_percent_ = 0;
  TimePoint now_{};
  std::function<unsigned(std::size_t, std::size_t)> link_factor_;
  Observer observer_;
  Handler handler_;
  std::function<void(std::size_t, PeerMessage&)> stamp_;
  std::function<void(std::size_t, const PeerMessage&, std::size_t)> receiver_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_DECISIONS_MEMBERSHIP_SIMULATION_H_
