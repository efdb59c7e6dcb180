#include "supervisor/context/metrics.h"

#include <doctest/doctest.h>

#include <string>

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

TEST_CASE("events of the time line are counted by kind and code") {
  Metrics metrics;
  Timeline timeline(metrics);
  timeline.Record(LogLevel::kDebug, EventKind::kAttemptBroke,
                  ResultCode::kTimedOut, {});
  CHECK(metrics.Render().find(
            "events_total{kind=\"attempt-broke\",code=\"704\"} 1\n") !=
        std::string::npos);
}

}  // namespace wisteriayoke
