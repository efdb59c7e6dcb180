#ifndef WISTERIAYOKE_DECISIONS_PEER_MESSAGE_H_
#define WISTERIAYOKE_DECISIONS_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "decisions/gossip_update.h"
#include "decisions/in_flight_counts.h"
#include "decisions/member.h"
#include "decisions/store_view.h"

namespace wisteriayoke {

/// Requests an `Ack` with the same sequence number.
struct Ping {
  std::uint32_t sequence = 0;
  bool joining = false;  ///< Requests the list of members as well.

  friend bool operator==(const Ping&, const Ping&) = default;
};

/// Requests that the receiver ping `target` and forward its answer.
struct PingRequest {
  std::uint32_t sequence = 0;
  Endpoint target;

  friend bool operator==(const PingRequest&, const PingRequest&) = default;
};

/// Answers a ping, or reports that a requested ping was answered.
struct Ack {
  std::uint32_t sequence = 0;
  /// How long ago the sender's mirrored tables, or newer ones, were proven to
  /// be the newest; empty if they never were. Measured when the answer is sent,
  /// so it holds as of the sending of the ping at the latest.
  std::optional<Duration> proof_age;

  friend bool operator==(const Ack&, const Ack&) = default;
};

/// Carries only member records and gossip updates.
struct GossipNotice {
  friend bool operator==(const GossipNotice&, const GossipNotice&) = default;
};

/// Reports all of the sender's in-flight counts.
struct InFlightCountsNotice {
  InFlightCounts counts;

  friend bool operator==(const InFlightCountsNotice&,
                         const InFlightCountsNotice&) = default;
};

using PeerContent =
    std::variant<Ping, PingRequest, Ack, GossipNotice, InFlightCountsNotice>;

/// Returns whether a message with `content` carries the sender's view of the
/// store.
inline bool CarriesStoreView(const PeerContent& content) {
  return std::holds_alternative<Ack>(content) ||
         std::holds_alternative<GossipNotice>(content);
}

/// One datagram between daemons. Whatever its content, it carries the sender's
/// record, the version of the tables in force at the sender, and some member
/// records and gossip updates.
struct PeerMessage {
  Member sender;
  TableVersion head;  ///< Tables in force at the sender.
  /// What the sender knows of the store's tables. Only in answers to pings and
  /// in notices, which suffice to spread it.
  std::optional<StoreView> store;
  PeerContent content;
  std::vector<Member> members;
  std::vector<GossipUpdate> updates;
  std::uint64_t clock_us = 0;  ///< The sender's hybrid clock.
  std::uint32_t clock_counter = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PEER_MESSAGE_H_
