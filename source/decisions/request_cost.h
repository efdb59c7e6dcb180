#ifndef WISTERIAYOKE_DECISIONS_REQUEST_COST_H_
#define WISTERIAYOKE_DECISIONS_REQUEST_COST_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/output_histogram.h"

namespace wisteriayoke {

/// What is known of a request before it runs.
struct RequestTraits {
  RouteName route;
  WorkspaceName workspace;  ///< Empty without one.
  double prompt_tokens = 0;
  double max_output_tokens = 0;     ///< Upper bound; 0 if not stated.
  double hinted_output_tokens = 0;  ///< The caller's estimate; 0 if not stated.
};

/// Learns the output of a pool's requests by route, workspace and size class.
///
/// Output is counted in events, each of which holds the same but unknown number
/// of tokens. The mean events of all requests are taken to be the tokens of the
/// tables' usual output. A class with few samples is estimated by those of its
/// route and, without any, by the tables.
class RequestCosts {
 public:
  /// Most classes that are kept; the one without a sample for the longest time
  /// is replaced. They take about 200 KB.
  static constexpr std::size_t kMaxClasses = 512;

  /// `usual_output_tokens` is the mean of the tables.
  explicit RequestCosts(double usual_output_tokens);

  /// Changes the mean of the tables.
  void set_usual_output_tokens(double tokens) {
    usual_output_tokens_ = tokens > 1 ? tokens : 1;
  }

  /// Returns the output tokens of a whole request with `traits` that has
  /// produced `events` already.
  AmountEstimate Estimate(const RequestTraits& traits, double events,
                          TimePoint now) const;

  /// Learns that a request with `traits` ended after `events`.
  void Record(const RequestTraits& traits, double events, TimePoint now);

  /// Returns the output tokens of the requests of all classes.
  AmountEstimate EstimateAny(TimePoint now) const;

  /// Returns the tokens that an event holds, as far as known.
  double TokensPerEvent(TimePoint now) const;

  /// Mean tokens of the prompts of all classes; 0 before the first request.
  double mean_prompt_tokens() const { return mean_prompt_tokens_; }

  std::size_t CountClasses() const { return classes_.size(); }

 private:
  /// Route, workspace and size class; the workspace is empty for the whole
  /// route.
  using Key = std::tuple<RouteName, WorkspaceName, int>;

  /// Samples of a class, and how good its callers' own estimates were.
  struct Class {
    OutputHistogram events;
    double hints = 0;        ///< Number of samples with a hint, at most 50.
    double hint_error = 0;   ///< Mean squared log error of the hints.
    double class_error = 0;  ///< The same of the estimates without hints.
  };

  const Class* Find(const Key& key) const;
  Class& FindOrAdd(const Key& key);
  OutputHistogram::Shape MixAny(TimePoint now) const;
  OutputHistogram::Shape MixRoute(const RequestTraits& traits,
                                  TimePoint now) const;
  AmountEstimate EstimateWithoutHint(const RequestTraits& traits, double events,
                                     TimePoint now) const;
  void RecordHint(const RequestTraits& traits, double events, TimePoint now,
                  Class& own) const;

  double usual_output_tokens_;
  double mean_prompt_tokens_ = 0;
  OutputHistogram any_;
  std::map<Key, Class> classes_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_REQUEST_COST_H_
