#include "standins/fake_service.h"
#include "standins/run_standin.h"

int main(int argc, const char** argv) {
  return wisteriayoke::RunStandin<wisteriayoke::FakeService>("fake_service",
                                                             argc, argv);
}
