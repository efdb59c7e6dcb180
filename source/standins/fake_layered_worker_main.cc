#include "standins/fake_layered_worker.h"
#include "standins/run_standin.h"

int main(int argc, const char** argv) {
  return wisteriayoke::RunStandin<wisteriayoke::FakeLayeredWorker>(
      "fake_layered_worker", argc, argv);
}
