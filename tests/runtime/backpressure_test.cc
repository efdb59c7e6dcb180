#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "runtime/http_client_call.h"
#include "runtime/http_server.h"

namespace wisteriayoke {
namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;
constexpr std::size_t kAnswerBytes = 48 * 1024 * 1024;
/// More than the kernel buffers for one connection, but less than the answer.
constexpr std::size_t kMaxBufferedBytes = 24 * 1024 * 1024;
const Endpoint kServer{"127.0.0.1", 29900};

/// Writes a long answer as fast as the caller reads it.
class AnswerProducer : public std::enable_shared_from_this<AnswerProducer> {
 public:
  explicit AnswerProducer(std::shared_ptr<HttpServerSession> caller)
      : caller_(std::move(caller)) {}

  void Start() {
    caller_->StartStream({200, {}});
    caller_->set_on_writable([self = shared_from_this()] { self->Write(); });
    Write();
  }

  std::size_t written() const { return written_; }

 private:
  void Write() {
    while (written_ < kAnswerBytes && !caller_->ShouldPause()) {
      caller_->WriteChunk(std::string(kChunkBytes, 'x'));
      written_ += kChunkBytes;
    }
    if (written_ == kAnswerBytes) caller_->EndStream();
  }

  std::shared_ptr<HttpServerSession> caller_;
  std::size_t written_ = 0;
};

}  // namespace

TEST_CASE(
    "a paused call stops its sender and receives the whole answer once "
    "resumed") {
  EventLoop loop;
  LastReason reason;
  std::shared_ptr<AnswerProducer> producer;
  const auto server = HttpServer::Create(
      loop, kServer, {},
      [&producer](const HttpRequest&,
                  std::shared_ptr<HttpServerSession> caller) {
        producer = std::make_shared<AnswerProducer>(std::move(caller));
        producer->Start();
      },
      [](const LastReason&) { return HttpResponse{}; }, reason);
  REQUIRE(server != nullptr);

  std::size_t received = 0;
  std::size_t written_while_paused = 0;
  bool completed = false;
  LoopTimerPtr timer;
  std::shared_ptr<HttpClientCall> call;
  call =
      HttpClientCall::Start(loop, kServer, {}, {}, [&](const CallEvent& event) {
        if (const auto* body = std::get_if<CallBodyData>(&event)) {
          if (received == 0) call->Pause();
          received += body->data.size();
        } else if (!std::holds_alternative<CallHead>(event)) {
          completed = std::holds_alternative<CallEnd>(event);
          loop.Stop();
        }
      });
  timer = loop.Schedule(std::chrono::milliseconds(300), [&] {
    written_while_paused = producer->written();
    call->Resume();
  });
  loop.Run();
  CHECK(written_while_paused > 0);
  CHECK(written_while_paused < kMaxBufferedBytes);
  CHECK(completed);
  CHECK(received == kAnswerBytes);
}

}  // namespace wisteriayoke
