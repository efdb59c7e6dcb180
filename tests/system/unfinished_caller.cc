// Opens many connections to a server and sends on each what a pattern says, but
// never a whole request to which it reads the answer. Prints "sent" once every
// connection has sent its bytes or was closed, and holds the connections until
// its input ends.
#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace {

using Tcp = asio::ip::tcp;

constexpr std::string_view kChunkedHeader =
    "POST /v1/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr auto kTrickleInterval = std::chrono::milliseconds(100);
/// Time after which a connection whose bytes aren't taken counts as sent.
constexpr auto kSendTime = std::chrono::seconds(8);
constexpr int kReceiveBufferBytes = 4096;

/// What each connection sends: `prefix`, then `unit` so many times.
struct Pattern {
  std::string name;
  std::string prefix;
  std::string unit;
  std::size_t repeat = 0;
  bool trickles = false;  ///< Whether single bytes follow.
};

std::vector<Pattern> ListPatterns() {
  const std::string chunked(kChunkedHeader);
  const std::string large(65'536, 'x');
  const std::string line(998, 'x');
  return {
      {"large_chunks", chunked, "10000\r\n" + large + "\r\n", 15},
      {"byte_chunks", chunked, "1\r\nx\r\n", 340'000},
      {"chunk_extensions", chunked + "1;e=", line, 1000},
      {"endless_trailer", chunked + "1\r\nx\r\n0\r\n", "T: " + line + "\r\n",
       1000},
      {"endless_header", "GET / HTTP/1.1\r\n", "A: " + line + "\r\n", 990},
      {"trickle", chunked + "100000\r\n", large, 5, true},
      {"pipelined",
       "POST /booking/seats HTTP/1.1\r\nWisteriayoke-Workspace: volta\r\n"
       "Fake-Fault: run-late\r\nFake-Delay-Ms: 60000\r\n"
       "Content-Length: 1\r\n\r\nx" +
           chunked,
       "10000\r\n" + large + "\r\n", 15},
      {"unread_answers", "", "GET /metrics HTTP/1.1\r\n\r\n", 1500},
      {"idle_connections", "", "", 0},
  };
}

/// One connection.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(asio::io_context& context, const Pattern& pattern)
      : socket_(context), timer_(context), pattern_(pattern) {}

  bool Start(const Tcp::endpoint& server) {
    asio::error_code error;
    socket_.open(server.protocol(), error);
    if (pattern_.name == "unread_answers") {
      socket_.set_option(
          asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
    }
    socket_.connect(server, error);
    if (error) return false;
    Send(pattern_.prefix);
    return true;
  }

  bool sent() const { return sent_; }

 private:
  void Send(const std::string& data) {
    asio::async_write(socket_, asio::buffer(data),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t /*size*/) {
                        self->HandleSent(error);
                      });
  }

  void HandleSent(const asio::error_code& error) {
    if (!error && units_ < pattern_.repeat) {
      // Small units go out many at a time.
      constexpr std::size_t kBatchBytes = 60'000;
      batch_.clear();
      while (batch_.size() < kBatchBytes && units_ < pattern_.repeat) {
        batch_ += pattern_.unit;
        ++units_;
      }
      return Send(batch_);
    }
    sent_ = true;
    if (error || !pattern_.trickles) return;
    timer_.expires_after(kTrickleInterval);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& end) {
      if (!end) self->Send(self->single_byte_);
    });
  }

  Tcp::socket socket_;
  asio::steady_timer timer_;
  const Pattern& pattern_;
  const std::string single_byte_ = "x";
  std::string batch_;
  std::size_t units_ = 0;
  bool sent_ = false;
};

int Run(const Pattern& pattern, const Tcp::endpoint& server, int count) {
  asio::io_context context(1);
  std::vector<std::shared_ptr<Caller>> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(std::make_shared<Caller>(context, pattern));
    if (!callers.back()->Start(server)) {
      std::fprintf(stderr, "connection %d failed\n", i);
      return 1;
    }
  }
  const auto deadline = std::chrono::steady_clock::now() + kSendTime;
  const auto all_sent = [&callers] {
    for (const auto& caller : callers) {
      if (!caller->sent()) return false;
    }
    return true;
  };
  while (!all_sent() && std::chrono::steady_clock::now() < deadline) {
    context.run_for(kTrickleInterval);
    context.restart();
  }
  std::puts("sent");
  std::fflush(stdout);
  // The input ends when the test does.
  asio::posix::stream_descriptor input(context, 0);
  std::array<char, 1> byte{};
  input.async_read_some(asio::buffer(byte),
                        [&context](const asio::error_code& /*error*/,
                                   std::size_t /*size*/) { context.stop(); });
  context.restart();
  context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 5;
  if (argc != kArguments) {
    std::fprintf(stderr, "usage: unfinished_caller IP PORT PATTERN COUNT\n");
    return 2;
  }
  const Tcp::endpoint server(
      asio::ip::make_address(argv[1]),
      static_cast<asio::ip::port_type>(std::stoi(argv[2])));
  for (const Pattern& pattern : ListPatterns()) {
    if (pattern.name == argv[3]) {
      return Run(pattern, server, std::stoi(argv[4]));
    }
  }
  std::fprintf(stderr, "no pattern \"%s\"\n", argv[3]);
  return 2;
}
