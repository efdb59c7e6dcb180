#ifndef WISTERIAYOKE_BENCH_BENCH_JOB_H_
#define WISTERIAYOKE_BENCH_BENCH_JOB_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

#include "base/ids.h"
#include "base/result_code.h"
#include "base/time_types.h"
#include "decisions/admission.h"

namespace wisteriayoke {

/// One request of a load and its outcome.
struct BenchJob {
  TicketNumber number = 0;
  std::size_t workspace = 0;
  std::uint32_t weight = 1;
  WorkSize size = WorkSize::kShort;
  std::uint32_t tokens = 0;
  TimePoint arrival;

  std::uint32_t done_tokens = 0;
  std::uint32_t attempts = 0;
  std::set<UpstreamName> excluded;
  std::optional<TimePoint> sent;  ///< Time of the first dispatch.
  std::optional<TimePoint> first_token;
  std::optional<TimePoint> end;
  std::optional<TimePoint> refused;
  bool lost = false;

  Duration wait() const { return *first_token - arrival; }
  bool done() const { return end && !refused && !lost; }
};

using BenchJobPtr = std::shared_ptr<BenchJob>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_BENCH_JOB_H_
