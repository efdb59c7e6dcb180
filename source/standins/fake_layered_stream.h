#ifndef WISTERIAYOKE_STANDINS_FAKE_LAYERED_STREAM_H_
#define WISTERIAYOKE_STANDINS_FAKE_LAYERED_STREAM_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/layer_range.h"
#include "decisions/table_spec.h"
#include "runtime/event_loop.h"
#include "runtime/http_server_session.h"

namespace wisteriayoke {

/// One stage of a stream's chain.
struct FakeStage {
  Endpoint endpoint;
  LayerRange layers;
};

/// Reads the stages that a request names; nothing if they can't be read.
std::optional<std::vector<FakeStage>> ParseFakeChain(std::string_view text);

/// One stream of a layered worker: before each event it asks the other stages
/// whether they still hold their layers, and stalls for good if one doesn't
/// answer. It keeps itself alive until the caller has left or has it whole.
class FakeLayeredStream
    : public std::enable_shared_from_this<FakeLayeredStream> {
 public:
  using Caller = std::shared_ptr<HttpServerSession>;

  FakeLayeredStream(EventLoop& loop, Caller caller, std::string attempt,
                    std::vector<FakeStage> others)
      : loop_(loop),
        caller_(std::move(caller)),
        attempt_(std::move(attempt)),
        others_(std::move(others)) {}

  /// Sends the events after `last` up to the event `count`, one each `pace`.
  void Start(std::uint64_t last, std::uint64_t count, Duration pace);

  const std::string& attempt() const { return attempt_; }
  /// The stage that doesn't answer, once the stream has stalled.
  const std::optional<Endpoint>& stalled_at() const { return stalled_at_; }

 private:
  void AskOthers();
  void HandleAnswer(const Endpoint& stage, bool good);
  void Emit();
  void Refuse(const Endpoint& stage);

  EventLoop& loop_;
  Caller caller_;
  std::string attempt_;
  std::vector<FakeStage> others_;
  std::uint64_t next_ = 1;
  std::uint64_t count_ = 0;
  Duration pace_{};
  bool begun_ = false;
  std::size_t pending_ = 0;  ///< Questions without an answer.
  std::optional<Endpoint> stalled_at_;
  LoopTimerPtr timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_LAYERED_STREAM_H_
