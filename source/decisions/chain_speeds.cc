#include "decisions/chain_speeds.h"

#include <algorithm>
#include <set>

namespace wisteriayoke {
namespace {

/// Weight of a new sample in a moving average.
constexpr double kSampleWeight = 0.1;
/// Time per layer of an accelerator kind that isn't measured yet.
constexpr double kDefaultLayerMicroseconds = 100.0;
/// Round-trip times of links that aren't measured yet, within a data centre and
/// between two.
constexpr Duration kDefaultLocalLink = std::chrono::microseconds(100);
constexpr Duration kDefaultRemoteLink = std::chrono::microseconds(500);

template <typename Key>
void AddSample(std::map<Key, double>& averages, const Key& key, double sample) {
  const auto [entry, added] = averages.try_emplace(key, sample);
  if (!added) entry->second += kSampleWeight * (sample - entry->second);
}

double ToMicroseconds(Duration time) {
  return static_cast<double>(std::max<Duration::rep>(0, time.count()));
}

Duration FromMicroseconds(double time) {
  return Duration(static_cast<Duration::rep>(time));
}

double LayerCountOf(const UpstreamSpec& upstream) {
  return std::max(1U, upstream.layers.end - upstream.layers.first);
}

}  // namespace

ChainSpeeds::Link ChainSpeeds::MakeLink(const DataCentreName& from,
                                        const DataCentreName& to) {
  return from < to ? Link(from, to) : Link(to, from);
}

void ChainSpeeds::RecordCompute(const UpstreamSpec& upstream, Duration time) {
  const double sample = ToMicroseconds(time);
  AddSample(compute_us_, upstream.name, sample);
  AddSample(layer_us_, upstream.accelerator, sample / LayerCountOf(upstream));
}

void ChainSpeeds::RecordLink(const DataCentreName& from,
                             const DataCentreName& to, Duration time) {
  AddSample(link_us_, MakeLink(from, to), ToMicroseconds(time));
}

Duration ChainSpeeds::ComputeTimeOf(const UpstreamSpec& upstream) const {
  const auto measured = compute_us_.find(upstream.name);
  if (measured != compute_us_.end()) return FromMicroseconds(measured->second);
  const auto kind = layer_us_.find(upstream.accelerator);
  const double layer =
      kind == layer_us_.end() ? kDefaultLayerMicroseconds : kind->second;
  return FromMicroseconds(layer * LayerCountOf(upstream));
}

Duration ChainSpeeds::LinkTimeOf(const DataCentreName& from,
                                 const DataCentreName& to) const {
  const auto measured = link_us_.find(MakeLink(from, to));
  if (measured != link_us_.end()) return FromMicroseconds(measured->second);
  return from == to ? kDefaultLocalLink : kDefaultRemoteLink;
}

void ChainSpeeds::Retain(const std::vector<Pool>& pools) {
  std::set<UpstreamName> named;
  for (const auto& pool : pools) {
    for (const auto& upstream : pool.upstreams) named.insert(upstream.name);
  }
  std::erase_if(compute_us_, [&named](const auto& entry) {
    return !named.contains(entry.first);
  });
}

}  // namespace wisteriayoke
