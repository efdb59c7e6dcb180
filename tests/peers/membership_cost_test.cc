#include <doctest/doctest.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "tests/decisions/membership_simulation.h"
#include "wire/datagram_codec.h"

namespace wisteriayoke {
namespace {

/// Upstreams with requests of one daemon at the daily peak.
constexpr std::size_t kUpstreams = 60;
/// Time in which daemons that start together discover each other.
constexpr Duration kJoinTime = std::chrono::seconds(90);
constexpr Duration kMeasured = std::chrono::seconds(6);
constexpr Duration kLoadInterval = std::chrono::milliseconds(300);
constexpr Duration kRepeatInterval = std::chrono::seconds(1);
/// Bytes of the IPv4 and UDP headers of a datagram.
constexpr std::uint64_t kHeaderBytes = 28;
/// Limit on a daemon's control traffic, sent and received.
constexpr double kBytesPerSecondLimit = 18.0 * 1024;
constexpr double kCoreShareLimit = 0.02;

/// Cost per second for each daemon of a group.
struct MemberCost {
  double mean_bytes = 0;  ///< Sent and received.
  double worst_sent = 0;
  double core_share = 0;  ///< For deciders, encoding and decoding.
};

InFlightCounts MakeCounts() {
  InFlightCounts counts;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    counts.push_back(
        {DigestOf(UpstreamName("engine" + std::to_string(100 + i))), 3});
  }
  return counts;
}

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

MemberCost Measure(std::size_t count,
                   const std::vector<GossipUpdate>& repeats) {
  MembershipSimulation group(count, 1);
  group.RunFor(kJoinTime);
  for (std::size_t i = 0; i < count; ++i) {
    REQUIRE(group.membership(i).group_size() == count);
    group.Feed(i, TableHeadChanged{{1700, std::string(64, 'a')}});
  }
  group.set_stamp([](std::size_t, PeerMessage& message) {
    if (CarriesStoreView(message.content)) {
      message.store = StoreView{{{1, 1700}, {1, 1800}}, {{1, 1790}, {1, 1800}}};
    }
    if (auto* ack = std::get_if<Ack>(&message.content)) {
      ack->proof_age = std::chrono::milliseconds(700);
    }
  });
  std::vector<std::uint64_t> sent(count);
  group.set_observer([&sent](std::size_t from, const PeerMessage& message) {
    LastReason reason;
    const auto data = EncodeDatagram(message, reason);
    REQUIRE(data.has_value());
    REQUIRE(ParseDatagram(*data, reason).has_value());
    sent[from] += data->size() + kHeaderBytes;
  });
  const double start = ProcessorSeconds();
  for (Duration time{}; time < kMeasured; time += kLoadInterval) {
    for (std::size_t i = 0; i < count; ++i) {
      if (time % kRepeatInterval < kLoadInterval) {
        group.Feed(i, RepeatsPosted{repeats});
      }
      group.Feed(i, InFlightCountsPosted{MakeCounts()});
    }
    group.RunFor(kLoadInterval);
  }
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  MemberCost cost;
  for (const std::uint64_t bytes : sent) {
    const double rate = static_cast<double>(bytes) / seconds;
    cost.mean_bytes += 2 * rate / static_cast<double>(count);
    cost.worst_sent = std::max(cost.worst_sent, rate);
  }
  cost.core_share =
      (ProcessorSeconds() - start) / seconds / static_cast<double>(count);
  return cost;
}

}  // namespace

TEST_CASE(
    "a daemon's cost of membership and in-flight counts stays within limits") {
  // The most that a daemon repeats: the crashes of a content.
  const SuspectUpdate crash{std::string(64, 'f'), UpstreamName("engine100"),
                            GossipQueue::kUpdateRetention};
  const std::vector<GossipUpdate> repeats{crash, crash, crash};
  for (const unsigned count : {4U, 16U, 64U, 320U}) {
    const double repeating = Measure(count, repeats).mean_bytes;
    std::printf("with repeats: %.0f B/s ", repeating);
    CHECK(repeating <= kBytesPerSecondLimit);
    const MemberCost cost = Measure(count, {});
    std::printf(
        "members=%u bytes_both_ways=%.0f B/s worst_sent=%.0f B/s "
        "core_share=%.5f\n",
        count, cost.mean_bytes, cost.worst_sent, cost.core_share);
    CHECK(cost.mean_bytes <= kBytesPerSecondLimit);
    CHECK(cost.core_share <= kCoreShareLimit);
  }
}

}  // namespace wisteriayoke
