#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "runtime/http_client_call.h"
#include "standins/endless_server.h"

namespace wisteriayoke {
namespace {

const Endpoint kServer{"127.0.0.1", 29911};
constexpr std::size_t kBodyLimit = 512 * 1024;
/// The kernel's buffers of both ends, which the server fills in any case.
constexpr std::size_t kKernelBytes = 12 * 1024 * 1024;

/// Fetches from a server whose answer doesn't end and returns the failure.
FetchResult FetchEndless(const EndlessAnswer& answer, std::size_t& written) {
  EventLoop loop;
  LastReason reason;
  const auto server = EndlessServer::Create(loop, kServer, answer, reason);
  REQUIRE_MESSAGE(server != nullptr, reason.message());
  const HttpCallLimits limits{.message = {.header_bytes = 16 * 1024,
                                          .body_bytes = kBodyLimit,
                                          .allow_close_delimited = true},
                              .connect_timeout = std::chrono::seconds(1),
                              .idle_timeout = std::chrono::milliseconds(300),
                              .total_timeout = std::chrono::milliseconds(600)};
  FetchResult result;
  bool done = false;
  FetchResponse(loop, kServer, {}, limits, [&](FetchResult fetched) {
    result = std::move(fetched);
    done = true;
  });
  const auto stop =
      loop.Schedule(std::chrono::seconds(3), [&] { loop.Stop(); });
  LoopTimerPtr check;
  const std::function<void()> wait = [&] {
    if (done && server->open() == 0) return loop.Stop();
    check = loop.Schedule(std::chrono::milliseconds(5), wait);
  };
  wait();
  loop.Run();
  CHECK(done);
  // The connection is closed, so the server stops as well.
  CHECK(server->open() == 0);
  written = server->written();
  server->Close();
  return result;
}

}  // namespace

TEST_CASE("an answer that doesn't end fails within bounded bytes and time") {
  for (const auto& item : kEndlessPartNames.rows()) {
    CAPTURE(item.name);
    for (const bool slow : {false, true}) {
      CAPTURE(slow);
      EndlessAnswer answer{.part = item.value};
      if (slow) {
        answer.write_bytes = 40;
        answer.pause = std::chrono::milliseconds(20);
      }
      std::size_t written = 0;
      const FetchResult result = FetchEndless(answer, written);
      CHECK(result.code != ResultCode::kOk);
      CHECK(result.sent);
      CHECK(result.response.body.size() <= kBodyLimit);
      CHECK(written <= kKernelBytes);
    }
  }
}

}  // namespace wisteriayoke
