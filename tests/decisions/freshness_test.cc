#include "decisions/freshness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace wisteriayoke {
namespace {

BootTime At(int milliseconds) {
  return BootTime(std::chrono::milliseconds(milliseconds));
}

}  // namespace

TEST_CASE("without a proof no key is accepted") {
  const Freshness freshness;
  CHECK_FALSE(freshness.AllowsKeys(At(0)));
  CHECK_FALSE(freshness.HasMargin(At(0)));
  CHECK_FALSE(freshness.AgeAt(At(0)).has_value());
}

TEST_CASE("a suspension ends the time in which keys are accepted") {
  Freshness freshness;
  freshness.RecordProof(At(1000));
  CHECK(freshness.AllowsKeys(At(5800)));
  // The instance was suspended for a minute; the boot clock kept running.
  CHECK_FALSE(freshness.AllowsKeys(At(61'000)));
}

TEST_CASE(
    "a daemon is ready only while its proof is younger than half the bound") {
  Freshness freshness;
  freshness.RecordProof(At(0));
  CHECK(freshness.HasMargin(At(2400)));
  CHECK_FALSE(freshness.HasMargin(At(2600)));
  CHECK(freshness.AllowsKeys(At(2600)));
}

TEST_CASE("no key is accepted longer than the bound after any proof") {
  CHECK(rc::check("any order of proofs", [] {
    Freshness freshness;
    const auto proofs = *rc::gen::container<std::vector<int>>(
        *rc::gen::inRange(1, 20), rc::gen::inRange(0, 100'000));
    int newest = 0;
    for (const int proof : proofs) {
      freshness.RecordProof(At(proof));
      newest = std::max(newest, proof);
    }
    const int now = newest + *rc::gen::inRange(0, 10'000);
    RC_ASSERT(freshness.AllowsKeys(At(now)) == (now - newest < 4900));
  }));
}

}  // namespace wisteriayoke
