#include "decisions/pass_targets.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE("a peer that declined a request is left out for a while") {
  const Endpoint a{"10.0.0.1", 1};
  const Endpoint b{"10.0.0.2", 1};
  const TimePoint start{};
  PassTargets targets;
  CHECK_FALSE(targets.Choose({}, 0, start).has_value());
  targets.SetPeers({a, b});
  CHECK(targets.Choose({}, 0, start) == a);
  CHECK(targets.Choose({}, 1, start) == b);
  CHECK(targets.Choose({a}, 0, start) == b);
  targets.RecordDecline(b, start);
  CHECK(targets.Choose({}, 1, start) == a);
  CHECK_FALSE(targets.Choose({a}, 0, start).has_value());
  CHECK(targets.Choose({a}, 0, start + PassTargets::kDeclineTime) == b);
}

}  // namespace wisteriayoke
