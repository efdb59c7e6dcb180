#ifndef WISTERIAYOKE_TESTS_SUPPORT_FAKE_ROW_STORE_SERVER_H_
#define WISTERIAYOKE_TESTS_SUPPORT_FAKE_ROW_STORE_SERVER_H_

#include "standins/fake_row_store.h"
#include "support/daemon_fixture.h"

namespace wisteriayoke {

/// Stand-in for the store of rows, with an HTTP server on the loop of a test.
class FakeRowStoreServer : public FakeRowStore {
 public:
  explicit FakeRowStoreServer(EventLoop& loop)
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

#endif  // WISTERIAYOKE_TESTS_SUPPORT_FAKE_ROW_STORE_SERVER_H_
