#include "supervisor/context/relay_metrics.h"

#include <cmath>
#include <string_view>

#include "supervisor/context/metrics_text.h"

namespace wisteriayoke {
namespace {

/// Label of the routes and pools that aren't counted by name.
constexpr auto kOthers = "others";

/// Returns the labels with the outcome and the code of a request or call.
std::string LabelsOf(ResultCode code) {
  const Outcome outcome = DescribeResultCode(code).outcome;
  return MetricLabel("outcome", kOutcomeNames.NameOf(outcome)) + "," +
         MetricLabel("code", std::to_string(static_cast<int>(code)));
}

}  // namespace

void RelayMetrics::CountAnswer(const RouteName& route, const PoolName& pool,
                               ResultCode code) {
  RouteAndPool pair{route.text(), pool.text()};
  const bool counted =
      answers_.contains(pair) || answers_.size() < kMaxRoutePools;
  if (!counted) pair = {kOthers, kOthers};
  ++answers_[pair][code];
}

void RelayMetrics::CountRank(const RouteName& route, RequestRank rank,
                             RankEvent event) {
  std::pair key{route.text(), rank.urgency()};
  const bool counted =
      rank_events_.contains(key) || rank_events_.size() < kMaxRoutePools;
  if (!counted) key.first = kOthers;
  ++rank_events_[key][event];
}

void RelayMetrics::CountStoreCall(StoreCallKind kind, ResultCode code) {
  ++store_calls_[{kind, code}];
}

void RelayMetrics::RecordOutput(const PoolName& pool, double expected,
                                double actual) {
  const bool named =
      outputs_.contains(pool.text()) || outputs_.size() < kMaxRoutePools;
  OutputSums& sums = outputs_[named ? pool.text() : kOthers];
  sums.expected += expected;
  sums.actual += actual;
  sums.error += std::abs(expected - actual);
}

std::uint64_t RelayMetrics::CountOf(TargetSearchKind kind) const {
  const auto found = target_searches_.find(kind);
  return found == target_searches_.end() ? 0 : found->second;
}

std::string RelayMetrics::Render() const {
  std::string text = MetricType("relay_answers_total", "counter");
  for (const auto& [pair, codes] : answers_) {
    const std::string labels = MetricLabel("route", pair.first) + "," +
                               MetricLabel("pool", pair.second) + ",";
    for (const auto& [code, count] : codes) {
      text += MetricLine("relay_answers_total", labels + LabelsOf(code),
                         std::to_string(count));
    }
  }
  text += MetricType("store_calls_total", "counter");
  for (const auto& [call, count] : store_calls_) {
    const auto kind = kStoreCallKindNames.NameOf(call.first);
    text += MetricLine("store_calls_total",
                       MetricLabel("kind", kind) + "," + LabelsOf(call.second),
                       std::to_string(count));
  }
  text += MetricType("target_searches_total", "counter");
  for (const auto& [kind, count] : target_searches_) {
    text += MetricLine("target_searches_total",
                       MetricLabel("kind", kTargetSearchKindNames.NameOf(kind)),
                       std::to_string(count));
  }
  if (!rank_events_.empty()) {
    text += MetricType("relay_ranked_total", "counter");
  }
  for (const auto& [key, events] : rank_events_) {
    const std::string labels = MetricLabel("route", key.first) + "," +
                               MetricLabel("rank", std::to_string(key.second)) +
                               ",";
    for (const auto& [event, count] : events) {
      text += MetricLine(
          "relay_ranked_total",
          labels + MetricLabel("event", kRankEventNames.NameOf(event)),
          std::to_string(count));
    }
  }
  if (outputs_.empty()) return text;
  text += MetricType("relay_output_tokens_total", "counter");
  for (const auto& [pool, sums] : outputs_) {
    const std::string labels = MetricLabel("pool", pool) + ",";
    const auto line = [&labels](std::string_view kind, double tokens) {
      return MetricLine("relay_output_tokens_total",
                        labels + MetricLabel("kind", kind),
                        std::to_string(std::llround(tokens)));
    };
    text += line("expected", sums.expected) + line("actual", sums.actual) +
            line("error", sums.error);
  }
  return text;
}

}  // namespace wisteriayoke
