#ifndef WISTERIAYOKE_TESTS_SUPPORT_SERVED_ROW_STORE_H_
#define WISTERIAYOKE_TESTS_SUPPORT_SERVED_ROW_STORE_H_

#include "standins/fake_row_store.h"
#include "support/daemon_fixture.h"

namespace wisteriayoke {

/// The stand-in for the store of rows, served by the loop of a test.
class ServedRowStore : public FakeRowStore {
 public:
  explicit ServedRowStore(EventLoop& loop)
      : FakeRowStore(loop),
        server_(loop, TestPorts::kPlatform,
                [this](const HttpRequest& request,
                       const std::shared_ptr<HttpServerSession>& caller) {
                  Handle(request, caller);
                }) {}

 private:
  FakeServer server_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_SUPPORT_SERVED_ROW_STORE_H_
