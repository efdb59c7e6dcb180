#ifndef REVIEW_STANDINS_2_SCENARIOS_H_
#define REVIEW_STANDINS_2_SCENARIOS_H_

#include "rig.h"

namespace rig {

/// A server's own answer with its receipt.
std::string SealedAnswer(int status, const std::string& attempt,
                         const std::string& id);
/// A plain service's work: `work_s` seconds, then an answer of 800 bytes.
Work PlainWork(double work_s);
/// A model server's work: reads the prompt, then sends `events` events.
Work StreamWork(double read_s, double step_s, int events);

/// The fields of a request of the tenant with `key`.
Caller::Fields PlainFields(const std::string& attempt, int deadline_ms,
                           const char* key = kKey);
/// Those of a stream whose prompt has the `shared` parts and one of its own.
Caller::Fields StreamFields(const std::string& attempt,
                            const std::string& shared,
                            const char* key = kKey);

Async<int> CrashingRequestAfterRestarts();
Async<int> CrashingPartAtLowTraffic();
Async<int> HeldOffServer();
Async<int> SharedPartBlocked();
Async<int> SoundReadsBlocked();
Async<int> EndlessBodies();
Async<int> LargeBodies();

}  // namespace rig

#endif  // REVIEW_STANDINS_2_SCENARIOS_H_
