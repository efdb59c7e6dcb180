#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_TEXT_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_TEXT_H_

#include <string>
#include <string_view>

namespace wisteriayoke {

/// Helpers that write metrics in the Prometheus text format. All names get the
/// prefix of the product.

/// Returns `name="value"` with the value escaped.
std::string MetricLabel(std::string_view name, std::string_view value);

/// Returns the line that declares the type of a metric.
std::string MetricType(std::string_view name, std::string_view type);

/// Returns one sample; `labels` are joined by commas and may be empty.
std::string MetricLine(std::string_view name, std::string_view labels,
                       std::string_view value);

/// Returns the declaration and the only sample of a metric without labels.
std::string MetricSample(std::string_view name, std::string_view type,
                         std::string_view value);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_TEXT_H_
