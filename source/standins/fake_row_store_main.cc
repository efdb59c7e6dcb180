#include "standins/fake_row_store.h"
#include "standins/run_standin.h"

int main(int argc, const char** argv) {
  return wisteriayoke::RunStandin<wisteriayoke::FakeRowStore>("fake_row_store",
                                                              argc, argv);
}
