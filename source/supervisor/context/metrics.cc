#include "supervisor/context/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <utility>

#include "supervisor/context/metrics_text.h"

namespace wisteriayoke {
namespace {

namespace histogram = boost::histogram;

constexpr double kSecondsPerUnit = 1e-6;
constexpr double kMinSeconds = 0.0005;
constexpr double kMaxSeconds = 65.536;
/// Seventeen buckets, each twice as wide as the one before.
constexpr unsigned kBuckets = 17;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram = decltype(histogram::make_histogram(Axis(1, 1.0, 2.0)));

/// One distribution with its sum.
struct Distribution {
  Histogram counts =
      histogram::make_histogram(Axis(kBuckets, kMinSeconds, kMaxSeconds));
  double sum_seconds = 0;
};

std::string CodeLabel(ResultCode code) {
  return MetricLabel("code", std::to_string(static_cast<int>(code)));
}

std::string RenderDistribution(const std::string& name,
                               const Distribution& distribution) {
  std::string text = MetricType(name, "histogram");
  const auto& axis = distribution.counts.axis();
  double total = 0;
  // Bin -1 holds the values below the lowest bound.
  for (int i = -1; i < axis.size(); ++i) {
    total += distribution.counts.at(i);
    const double bound = i < 0 ? kMinSeconds : axis.bin(i).upper();
    text +=
        MetricLine(name + "_bucket", MetricLabel("le", std::to_string(bound)),
                   std::to_string(static_cast<std::uint64_t>(total)));
  }
  total += distribution.counts.at(axis.size());
  const std::string count = std::to_string(static_cast<std::uint64_t>(total));
  text += MetricLine(name + "_bucket", MetricLabel("le", "+Inf"), count);
  text +=
      MetricLine(name + "_sum", "", std::to_string(distribution.sum_seconds));
  return text + MetricLine(name + "_count", "", count);
}

}  // namespace

struct Metrics::State {
  std::map<LatencyKind, Distribution> distributions;
  std::map<ResultCode, std::uint64_t> answers;
  std::map<std::pair<EventKind, ResultCode>, std::uint64_t> events;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {
  for (const auto& row : kLatencyKindNames.rows()) {
    state_->distributions[row.value] = {};
  }
}

Metrics::~Metrics() = default;

void Metrics::Observe(LatencyKind kind, Duration length) {
  Distribution& distribution = state_->distributions[kind];
  const double seconds = static_cast<double>(length.count()) * kSecondsPerUnit;
  distribution.counts(seconds);
  distribution.sum_seconds += seconds;
}

void Metrics::CountAnswer(ResultCode code) { ++state_->answers[code]; }

void Metrics::CountEvent(EventKind kind, ResultCode code) {
  ++state_->events[{kind, code}];
}

std::string Metrics::Render() const {
  std::string text = MetricType("answers_total", "counter");
  for (const auto& [code, count] : state_->answers) {
    const Outcome outcome = DescribeResultCode(code).outcome;
    text += MetricLine("answers_total",
                       MetricLabel("outcome", kOutcomeNames.NameOf(outcome)) +
                           "," + CodeLabel(code),
                       std::to_string(count));
  }
  text += MetricType("events_total", "counter");
  for (const auto& [event, count] : state_->events) {
    text +=
        MetricLine("events_total",
                   MetricLabel("kind", kEventKindNames.NameOf(event.first)) +
                       "," + CodeLabel(event.second),
                   std::to_string(count));
  }
  for (const auto& [kind, distribution] : state_->distributions) {
    const std::string name(kLatencyKindNames.NameOf(kind));
    text += RenderDistribution(name + "_seconds", distribution);
  }
  return text;
}

}  // namespace wisteriayoke
