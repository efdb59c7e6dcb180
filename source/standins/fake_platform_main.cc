#include "standins/fake_platform.h"
#include "standins/run_standin.h"

int main(int argc, const char** argv) {
  return wisteriayoke::RunStandin<wisteriayoke::FakePlatform>("fake_platform",
                                                              argc, argv);
}
