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

/// One stage of a stream's chain: its address and its layers.
struct FakeStage {
  Endpoint endpoint;
  LayerRange layers;
};

/// Parses the stages of a chain, such as "127.0.0.1:80=0-4,127.0.0.1:81=4-8".
/// Returns nothing if a stage is malformed.
std::optional<std::vector<FakeStage>> ParseFakeChain(std::string_view text);

/// One stream of a layered worker. Before each event, checks that the other
/// stages still hold their layers; if one fails, stalls for good, or refuses
/// the request if nothing was sent yet. Keeps itself alive until the caller has
/// disconnected or the stream has ended.
class FakeLayeredStream
    : public std::enable_shared_from_this<FakeLayeredStream> {
 public:
  using Caller = std::shared_ptr<HttpServerSession>;

  FakeLayeredStream(EventLoop& loop, Caller caller, std::string attempt,
                    std::vector<FakeStage> other_stages)
      : loop_(loop),
        caller_(std::move(caller)),
        attempt_(std::move(attempt)),
        other_stages_(std::move(other_stages)) {}

  /// Sends the events after `last_event` up to `final_event`, one per
  /// `event_interval`.
  void Start(std::uint64_t last_event, std::uint64_t final_event,
             Duration event_interval);

  const std::string& attempt() const { return attempt_; }
  /// The stage that failed the check of its layers; empty if none has.
  const std::optional<Endpoint>& stalled_at() const { return stalled_at_; }

 private:
  void CheckStages();
  void HandleStageResult(const Endpoint& stage, bool good);
  void Emit();
  void Refuse(const Endpoint& stage);

  EventLoop& loop_;
  Caller caller_;
  std::string attempt_;
  std::vector<FakeStage> other_stages_;
  std::uint64_t next_event_ = 1;
  std::uint64_t final_event_ = 0;
  Duration event_interval_{};
  bool begun_ = false;
  std::size_t pending_checks_ = 0;  ///< Checks of stages under way.
  std::optional<Endpoint> stalled_at_;
  LoopTimerPtr timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_LAYERED_STREAM_H_
