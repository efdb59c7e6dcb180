#include "standins/fake_engine.h"
#include "standins/run_standin.h"

int main(int argc, const char** argv) {
  return wisteriayoke::RunStandin<wisteriayoke::FakeEngine>("fake_engine", argc,
                                                            argv);
}
