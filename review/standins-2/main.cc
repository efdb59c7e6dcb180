#include <cstdio>
#include <string>

#include "scenarios.h"

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: rig SCENARIO RECORD\n");
    return 2;
  }
  const std::string name = argv[1];
  const std::map<std::string, std::function<rig::Async<int>()>> scenarios = {
      {"crashing-request", rig::CrashingRequestAfterRestarts},
      {"crashing-part", rig::CrashingPartAtLowTraffic},
      {"sound-reads", rig::SoundReadsBlocked},
      {"held-off", rig::HeldOffServer},
      {"large-bodies", rig::LargeBodies},
      {"shared-part", rig::SharedPartBlocked},
      {"endless-bodies", rig::EndlessBodies},
  };
  const auto found = scenarios.find(name);
  if (found == scenarios.end()) return 2;
  return rig::Run(argv[2], found->second, 115);
}
