// Callers of streams and holds: stream_callers IP PORT STREAMS EVENTS SPREAD_MS
// HOLDS. Starts STREAMS streams within SPREAD_MS, each on a channel of its own, and
// then a hold each 125 ms, HOLDS in all. A caller leaves its stream after a
// gap of two seconds. Prints a line for each hold and each stream: kind, number,
// when it was sent and ended, in ms, its status and its events.
#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

asio::io_context g_loop(1);
const Clock::time_point g_start = Clock::now();

int Now() {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                              Clock::now() - g_start)
                              .count());
}

class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(tcp::endpoint to, bool stream, int number, int events)
      : to_(to), stream_(stream), number_(number), socket_(g_loop),
        timer_(g_loop), start_(g_loop) {
    const std::string kind = stream ? "note" : "hold";
    request_ = "POST /" + kind + (stream ? "s/a" : "/a") +
               " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + kind +
               std::to_string(number) +
               "\r\nAuthorization: Bearer k1\r\nDeadline-Ms: " +
               (stream ? "20000" : "8000") + "\r\nModel: m0\r\n" +
               (stream ? "Token-Counts: 100," + std::to_string(events) + "\r\n"
                       : std::string()) +
               "Content-Length: 4\r\n\r\nbody";
  }

  void StartAfter(int ms) {
    start_.expires_after(std::chrono::milliseconds(ms));
    start_.async_wait([self = shared_from_this()](const asio::error_code&) {
      self->sent_at_ = Now();
      self->socket_.async_connect(
          self->to_, [self](const asio::error_code& error) {
            if (error) return self->End("no channel");
            asio::error_code ignored;
            asio::write(self->socket_, asio::buffer(self->request_), ignored);
            self->ArmTimer();
            self->Read();
          });
    });
  }

 private:
  void ArmTimer() {
    timer_.expires_after(std::chrono::milliseconds(stream_ ? 2000 : 8000));
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error) self->End("left");
    });
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_), [self = shared_from_this()](
                                   const asio::error_code& error, std::size_t n) {
          if (self->ended_) return;
          if (error) return self->End("closed");
          self->input_.append(self->buffer_, n);
          self->ArmTimer();
          const bool whole =
              self->stream_ ? self->input_.find("\r\n0\r\n\r\n") !=
                                      std::string::npos
                            : self->input_.find("\r\n\r\n") != std::string::npos;
          const bool refused =
              self->stream_ && self->input_.size() > 12 &&
              self->input_.compare(9, 3, "200") != 0;
          if (whole || refused) return self->End("answered");
          self->Read();
        });
  }

  void End(const char* how) {
    if (ended_) return;
    ended_ = true;
    int events = 0;
    for (std::size_t at = input_.find("id: "); at != std::string::npos;
         at = input_.find("id: ", at + 1)) {
      ++events;
    }
    std::printf("%s %d sent %d ended %d %s status %s events %d\n",
                stream_ ? "note" : "hold", number_, sent_at_, Now(), how,
                input_.size() > 12 ? input_.substr(9, 3).c_str() : "-", events);
    std::fflush(stdout);
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  tcp::endpoint to_;
  bool stream_;
  int number_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer start_;
  std::string request_;
  std::string input_;
  char buffer_[8192];
  int sent_at_ = 0;
  bool ended_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 7) return 2;
  const tcp::endpoint to(asio::ip::make_address(argv[1]),
                         static_cast<unsigned short>(std::atoi(argv[2])));
  const int streams = std::atoi(argv[3]);
  const int events = std::atoi(argv[4]);
  const int spread = std::atoi(argv[5]);
  const int holds = std::atoi(argv[6]);
  for (int i = 1; i <= streams; ++i) {
    std::make_shared<Caller>(to, true, i, events)->StartAfter(spread * i / streams);
  }
  for (int i = 1; i <= holds; ++i) {
    std::make_shared<Caller>(to, false, i, 0)->StartAfter(spread + 125 * i);
  }
  g_loop.run();
}
