#ifndef WISTERIAYOKE_STANDINS_ENDLESS_SERVER_H_
#define WISTERIAYOKE_STANDINS_ENDLESS_SERVER_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "base/last_reason.h"
#include "base/names_table.h"
#include "decisions/table_spec.h"
#include "runtime/event_loop.h"

namespace wisteriayoke {

/// Part of an answer that never ends.
enum class EndlessPart {
  kNoise,      ///< Bytes that are no answer from the first on.
  kHead,       ///< A header field after a valid status line.
  kBody,       ///< A body with neither a length nor chunks.
  kChunks,     ///< One chunk after another.
  kChunkSize,  ///< The line with the size of a chunk.
  kTrailer,    ///< A field after the last chunk.
  kEvent,      ///< One event of a stream.
};

inline constexpr auto kEndlessPartNames = MakeNamesTable<EndlessPart>({
    {EndlessPart::kNoise, "noise"},
    {EndlessPart::kHead, "head"},
    {EndlessPart::kBody, "body"},
    {EndlessPart::kChunks, "chunks"},
    {EndlessPart::kChunkSize, "chunk-size"},
    {EndlessPart::kTrailer, "trailer"},
    {EndlessPart::kEvent, "event"},
});

/// What an `EndlessServer` sends.
struct EndlessAnswer {
  EndlessPart part = EndlessPart::kNoise;
  std::string fields;  ///< Lines added to the head, each with its line end.
  /// Bytes of each write after the start of the part.
  std::size_t write_bytes = 64 * 1024;
  Duration pause{};  ///< Time between two writes.
};

/// Stand-in for an upstream in trouble: answers each connection with bytes
/// that don't end until the caller closes it.
class EndlessServer : public std::enable_shared_from_this<EndlessServer> {
 public:
  /// Listens at `address`. Fails with kAddressInUse.
  static std::shared_ptr<EndlessServer> Create(EventLoop& loop,
                                               const Endpoint& address,
                                               EndlessAnswer answer,
                                               LastReason& reason);

  EndlessServer(EventLoop& loop, EndlessAnswer answer);

  void Close();

  /// Returns the number of bytes that callers took.
  std::size_t written() const { return written_; }
  /// Returns the number of connections that are open.
  std::size_t open() const { return open_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket from) : socket(std::move(from)) {}

    asio::ip::tcp::socket socket;
    std::array<char, 4096> input{};
    std::string output;
    LoopTimerPtr timer;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  bool Listen(const Endpoint& address, LastReason& reason);
  void Accept();
  void Serve(const ConnectionPtr& connection);
  void Write(const ConnectionPtr& connection);

  EventLoop& loop_;
  EndlessAnswer answer_;
  asio::ip::tcp::acceptor acceptor_;
  std::size_t written_ = 0;
  std::size_t open_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_ENDLESS_SERVER_H_
