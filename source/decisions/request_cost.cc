#include "decisions/request_cost.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace wisteriayoke {
namespace {

/// Tokens per event that are assumed before the first sample. The estimates in
/// tokens don't depend on it.
constexpr double kAssumedTokensPerEvent = 3;
/// Samples of a class that count as much as all of what it is a part of.
constexpr double kPriorSamples = 10;
/// Samples with a hint that are remembered, and the number of them that makes a
/// caller half trusted.
constexpr double kMaxHints = 50;
constexpr double kHalfTrustHints = 8;
/// Weight of a prompt in the mean of all.
constexpr double kPromptWeight = 0.02;
constexpr int kMaxSizeClass = 15;

int SizeClassOf(const RequestTraits& traits) {
  const double bounded = std::clamp(traits.max_output_tokens, 0.0, 1e6);
  return std::min(
      kMaxSizeClass,
      static_cast<int>(std::bit_width(static_cast<std::uint32_t>(bounded))));
}

double SquaredLogError(double actual, double expected) {
  const double error =
      std::log(std::max(1.0, actual) / std::max(1.0, expected));
  return error * error;
}

/// Returns the share of own samples of weight `weight` in an estimate.
double OwnShare(double weight) { return weight / (weight + kPriorSamples); }

void Scale(OutputHistogram::Shape& shape, double factor) {
  for (auto& weight : shape) weight *= static_cast<float>(factor);
}

}  // namespace

RequestCosts::RequestCosts(double usual_output_tokens)
    : usual_output_tokens_(std::max(1.0, usual_output_tokens)) {}

const RequestCosts::Class* RequestCosts::Find(const Key& key) const {
  const auto found = classes_.find(key);
  return found == classes_.end() ? nullptr : &found->second;
}

RequestCosts::Class& RequestCosts::FindOrAdd(const Key& key) {
  const auto found = classes_.find(key);
  if (found != classes_.end()) return found->second;
  if (classes_.size() >= kMaxClasses) {
    classes_.erase(std::min_element(
        classes_.begin(), classes_.end(), [](const auto& a, const auto& b) {
          return a.second.events.updated() < b.second.events.updated();
        }));
  }
  return classes_[key];
}

OutputHistogram::Shape RequestCosts::MixAny(TimePoint now) const {
  const double own = OwnShare(any_.WeightAt(now));
  auto shape =
      MakeExponentialShape(usual_output_tokens_ / kAssumedTokensPerEvent);
  Scale(shape, 1 - own);
  any_.AddTo(shape, own);
  return shape;
}

OutputHistogram::Shape RequestCosts::MixRoute(const RequestTraits& traits,
                                              TimePoint now) const {
  auto shape = MixAny(now);
  const Class* route = Find({traits.route, {}, SizeClassOf(traits)});
  if (route == nullptr) return shape;
  const double own = OwnShare(route->events.WeightAt(now));
  Scale(shape, 1 - own);
  route->events.AddTo(shape, own);
  return shape;
}

double RequestCosts::TokensPerEvent(TimePoint now) const {
  return usual_output_tokens_ / Summarize(MixAny(now), 0).mean;
}

AmountEstimate RequestCosts::EstimateAny(TimePoint now) const {
  const AmountEstimate events = Summarize(MixAny(now), 0);
  const double factor = usual_output_tokens_ / events.mean;
  return {usual_output_tokens_, events.deviation * factor,
          events.high * factor};
}

AmountEstimate RequestCosts::EstimateWithoutHint(const RequestTraits& traits,
                                                 double events,
                                                 TimePoint now) const {
  auto shape = MixRoute(traits, now);
  const AmountEstimate route = Summarize(shape, events);
  AmountEstimate estimate = route;
  const Class* own =
      Find({traits.route, traits.workspace, SizeClassOf(traits)});
  if (own != nullptr && !traits.workspace.empty()) {
    const double share = OwnShare(own->events.WeightAt(now));
    Scale(shape, 1 - share);
    own->events.AddTo(shape, share);
    estimate = Summarize(shape, events);
    // A workspace may narrow the route's estimate, but not exceed it.
    estimate.high = std::min(estimate.high, route.high);
    estimate.mean = std::min(estimate.mean, route.high);
  }
  const double factor = TokensPerEvent(now);
  return {estimate.mean * factor, estimate.deviation * factor,
          estimate.high * factor};
}

AmountEstimate RequestCosts::Estimate(const RequestTraits& traits,
                                      double events, TimePoint now) const {
  AmountEstimate estimate = EstimateWithoutHint(traits, events, now);
  const double produced = events * TokensPerEvent(now);
  const Class* own =
      Find({traits.route, traits.workspace, SizeClassOf(traits)});
  const double hint = traits.hinted_output_tokens;
  if (own != nullptr && hint > produced) {
    const double errors = own->class_error + own->hint_error;
    const double trust = errors <= 0 ? 0.5 : own->class_error / errors;
    const double share = trust * own->hints / (own->hints + kHalfTrustHints);
    const double bounded = std::min(hint, estimate.high);
    estimate.mean += share * (bounded - estimate.mean);
    estimate.deviation *= 1 - share / 2;
  }
  if (traits.max_output_tokens > 0) {
    const double most = std::max(traits.max_output_tokens, produced);
    estimate.mean = std::min(estimate.mean, most);
    estimate.high = std::min(estimate.high, most);
  }
  estimate.high = std::max(estimate.high, estimate.mean);
  return estimate;
}

void RequestCosts::RecordHint(const RequestTraits& traits, double events,
                              TimePoint now, Class& own) const {
  const double actual = events * TokensPerEvent(now);
  const double expected = EstimateWithoutHint(traits, 0, now).mean;
  own.hints = std::min(own.hints + 1, kMaxHints);
  own.hint_error +=
      (SquaredLogError(actual, traits.hinted_output_tokens) - own.hint_error) /
      own.hints;
  own.class_error +=
      (SquaredLogError(actual, expected) - own.class_error) / own.hints;
}

void RequestCosts::Record(const RequestTraits& traits, double events,
                          TimePoint now) {
  const int size = SizeClassOf(traits);
  Class& own = FindOrAdd({traits.route, traits.workspace, size});
  if (traits.hinted_output_tokens > 0) RecordHint(traits, events, now, own);
  own.events.Add(events, now);
  if (!traits.workspace.empty()) {
    FindOrAdd({traits.route, {}, size}).events.Add(events, now);
  }
  any_.Add(events, now);
  if (mean_prompt_tokens_ <= 0) mean_prompt_tokens_ = traits.prompt_tokens;
  mean_prompt_tokens_ +=
      kPromptWeight * (traits.prompt_tokens - mean_prompt_tokens_);
}

}  // namespace wisteriayoke
