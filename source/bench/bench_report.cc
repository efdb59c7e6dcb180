#include "bench/bench_report.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>

namespace wisteriayoke {
namespace {

constexpr int kBarHeight = 14;
constexpr int kBarWidth = 300;
constexpr int kLabelWidth = 420;

std::string FormatValue(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

std::string NameOf(const BenchResult& result, const Metric& metric) {
  return std::string(kExperimentNames.NameOf(result.experiment)) + "." +
         std::string(kRoutingKindNames.NameOf(result.policy)) + "." +
         metric.name;
}

std::string FormatBar(const std::string& label, double value, double share,
                      int y) {
  return "<text x=\"0\" y=\"" + std::to_string(y + kBarHeight - 3) + "\">" +
         label + " " + FormatValue(value) + "</text><rect x=\"" +
         std::to_string(kLabelWidth) + "\" y=\"" + std::to_string(y) +
         "\" width=\"" + FormatValue(share * kBarWidth) + "\" height=\"" +
         std::to_string(kBarHeight - 2) + "\"/>\n";
}

std::optional<double> FindWorst(const std::vector<BenchResult>& results,
                                const Target& target) {
  std::optional<double> worst;
  for (const auto& result : results) {
    if (result.experiment != target.experiment ||
        result.policy != RoutingKind::kTwoChoices) {
      continue;
    }
    for (const auto& metric : result.metrics) {
      if (metric.name != target.metric) continue;
      const double value = metric.value;
      worst = target.sense == TargetSense::kAtLeast
                  ? std::min(worst.value_or(value), value)
                  : std::max(worst.value_or(value), value);
    }
  }
  return worst;
}

}  // namespace

std::string FormatLines(const BenchResult& result) {
  std::string lines;
  for (const auto& metric : result.metrics) {
    lines += NameOf(result, metric) + "=" + FormatValue(metric.value) + " " +
             std::string(metric.unit) + "\n";
  }
  return lines;
}

std::string FormatJson(const std::vector<BenchResult>& results) {
  std::string json = "[";
  for (const auto& result : results) {
    for (const auto& metric : result.metrics) {
      if (json.size() > 1) json += ",\n ";
      json += "{\"metric\":\"" + NameOf(result, metric) +
              "\",\"seed\":" + std::to_string(result.seed) +
              ",\"value\":" + FormatValue(metric.value) + ",\"unit\":\"" +
              std::string(metric.unit) + "\"}";
    }
  }
  return json + "]\n";
}

std::string FormatSvg(const std::vector<BenchResult>& results) {
  std::map<std::string, double> maxima;
  for (const auto& result : results) {
    for (const auto& metric : result.metrics) {
      double& maximum = maxima[metric.name];
      maximum = std::max(maximum, metric.value);
    }
  }
  std::string bars;
  int y = 0;
  for (const auto& result : results) {
    for (const auto& metric : result.metrics) {
      const double maximum = maxima.at(metric.name);
      bars += FormatBar(NameOf(result, metric), metric.value,
                        maximum > 0.0 ? metric.value / maximum : 0.0, y);
      y += kBarHeight;
    }
  }
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" font-size=\"11\" width=\"" +
         std::to_string(kLabelWidth + kBarWidth) + "\" height=\"" +
         std::to_string(y) + "\">\n" + bars + "</svg>\n";
}

std::string FormatTargets(const std::vector<BenchResult>& results,
                          bool& all_met) {
  std::string lines;
  all_met = true;
  for (const auto& target : TargetTable()) {
    const auto worst = FindWorst(results, target);
    if (!worst) continue;
    const bool met = MeetsTarget(target, *worst);
    all_met = all_met && met;
    lines += std::string(met ? "met    " : "missed ") +
             std::string(kExperimentNames.NameOf(target.experiment)) + "." +
             std::string(target.metric) + "=" + FormatValue(*worst) +
             " target " + std::string(kTargetSenseNames.NameOf(target.sense)) +
             " " + FormatValue(target.bound) + "\n";
  }
  return lines;
}

}  // namespace wisteriayoke
