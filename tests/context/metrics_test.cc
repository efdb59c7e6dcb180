#include "supervisor/context/metrics.h"

#include <doctest/doctest.h>

#include <string>

#include "supervisor/context/metrics_text.h"
#include "supervisor/context/relay_metrics.h"
#include "supervisor/context/timeline.h"

namespace wisteriayoke {

TEST_CASE("the metrics page counts answers by outcome and code") {
  Metrics metrics;
  metrics.CountAnswer(ResultCode::kOk);
  metrics.CountAnswer(ResultCode::kOk);
  metrics.CountAnswer(ResultCode::kNoUpstream);
  const std::string page = metrics.Render();
  CHECK(page.find("answers_total{outcome=\"done\",code=\"0\"} 2\n") !=
        std::string::npos);
  CHECK(page.find("answers_total{outcome=\"not-run\",code=\"201\"} 1\n") !=
        std::string::npos);
}

TEST_CASE("buckets are cumulative and the last one counts everything") {
  Metrics metrics;
  metrics.Observe(LatencyKind::kRequestTime, std::chrono::microseconds(1));
  metrics.Observe(LatencyKind::kRequestTime, std::chrono::milliseconds(3));
  metrics.Observe(LatencyKind::kRequestTime, std::chrono::hours(1));
  const std::string page = metrics.Render();
  const std::string name = "wisteriayoke_request_time_seconds";
  CHECK(page.find(name + "_bucket{le=\"0.000500\"} 1\n") != std::string::npos);
  CHECK(page.find(name + "_bucket{le=\"0.004000\"} 2\n") != std::string::npos);
  CHECK(page.find(name + "_bucket{le=\"65.536000\"} 2\n") != std::string::npos);
  CHECK(page.find(name + "_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(page.find(name + "_count 3\n") != std::string::npos);
}

TEST_CASE("timeline events are counted by kind and code") {
  Metrics metrics;
  Timeline timeline(metrics);
  timeline.Record(LogLevel::kDebug, EventKind::kAttemptBroke,
                  ResultCode::kTimedOut, {});
  CHECK(metrics.Render().find(
            "events_total{kind=\"attempt-broke\",code=\"704\"} 1\n") !=
        std::string::npos);
}

TEST_CASE("label values are escaped") {
  CHECK(MetricLine("m", MetricLabel("a", "x\"y\\z\n"), "1") ==
        "wisteriayoke_m{a=\"x\\\"y\\\\z\\n\"} 1\n");
}

// Guards against a name that ends the line of its sample for some readers.
TEST_CASE("control characters of label values are shown as text") {
  CHECK(MetricLabel("a", std::string("\r\0\x1b\x7f", 4)) ==
        R"(a="\\x0d\\x00\\x1b\\x7f")");
}

TEST_CASE("routes over the bound are counted together") {
  RelayMetrics metrics;
  constexpr std::size_t kMore = 30;
  for (std::size_t i = 0; i < RelayMetrics::kMaxRoutePools + kMore; ++i) {
    metrics.CountAnswer(RouteName("r" + std::to_string(i)), PoolName("p"),
                        ResultCode::kOk);
  }
  const std::string page = metrics.Render();
  CHECK(page.find("route=\"others\",pool=\"others\",outcome=\"done\","
                  "code=\"0\"} 30\n") != std::string::npos);
  CHECK(page.find("route=\"r200\"") == std::string::npos);
}

// Guards against a page that grows with the operator's routes and priorities.
TEST_CASE("ranked requests are counted by route and rank, within the bound") {
  RelayMetrics metrics;
  CHECK(metrics.Render().find("relay_ranked") == std::string::npos);
  for (std::size_t i = 0; i < RelayMetrics::kMaxRoutePools + 5; ++i) {
    metrics.CountRank(RouteName("r" + std::to_string(i)), RequestRank{12},
                      RankEvent::kDisplaced);
  }
  const std::string page = metrics.Render();
  CHECK(page.find("relay_ranked_total{route=\"r0\",rank=\"9\","
                  "event=\"displaced\"} 1\n") != std::string::npos);
  CHECK(page.find("relay_ranked_total{route=\"others\",rank=\"9\","
                  "event=\"displaced\"} 5\n") != std::string::npos);
}

TEST_CASE("calls to the store are counted by kind and code") {
  RelayMetrics metrics;
  metrics.CountStoreCall(StoreCallKind::kFollow, ResultCode::kOk);
  metrics.CountStoreCall(StoreCallKind::kFollow, ResultCode::kTimedOut);
  const std::string page = metrics.Render();
  CHECK(page.find("store_calls_total{kind=\"follow\",outcome=\"done\","
                  "code=\"0\"} 1\n") != std::string::npos);
  CHECK(page.find("store_calls_total{kind=\"follow\",outcome=") !=
        std::string::npos);
}

}  // namespace wisteriayoke
