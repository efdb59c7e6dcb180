#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_FRONT_END_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_FRONT_END_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "runtime/http_server.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/relay_session.h"

namespace wisteriayoke {

/// Accepts the callers of the relay, finds the route and the workspace of each
/// request, and watches over the sessions. A child of the root.
class RelayFrontEnd : public std::enable_shared_from_this<RelayFrontEnd> {
 public:
  RelayFrontEnd(DaemonContext context, const FailureHandler& on_failure);

  bool Start(LastReason& reason);
  /// Goes on accepting until the balancer has noticed the stop, then finishes
  /// what is in flight.
  void Stop(std::function<void()> done);
  void TerminateSessions();

 private:
  using CallerPtr = std::shared_ptr<HttpServerSession>;

  void Handle(HttpRequest request, const CallerPtr& caller);
  ResultCode FindPlace(const HttpRequest& request, RelayedRequest& relayed);
  void Refuse(const CallerFields& fields, const CallerPtr& caller,
              ResultCode code);
  void WatchSessions();
  void WatchOthers();
  void FollowMembers();
  void ShareBudgets();
  void FollowTroubled();
  void Doubt(const UpstreamName& upstream);
  void Ask(const UpstreamName& upstream, Duration interval);
  void SendQuestion(const UpstreamName& upstream);
  void TellQuiet(const UpstreamName& upstream);
  void HandleReport(const UpstreamName& upstream, const FetchResult& result);
  void HandleNoReport(const UpstreamName& upstream, const std::string& why);
  void RecordSuspect(const UpstreamName& upstream, const std::string& why);
  void Suspect(const UpstreamName& upstream, const std::string& why);

  DaemonContext context_;
  std::shared_ptr<HttpServer> server_;
  GossipExchange::Subscription rumours_;
  std::vector<std::weak_ptr<RelaySession>> sessions_;
  /// What was asked of an upstream.
  struct Question {
    TimePoint asked_at;
    bool pending = false;
    LoopTimerPtr quiet_timer;
    unsigned unanswered = 0;  ///< In a row.
  };
  std::map<UpstreamName, Question> questions_;
  LoopTimerPtr watch_timer_;
  LoopTimerPtr follow_timer_;
  LoopTimerPtr stop_timer_;
  bool refusing_ = false;  ///< Whether new requests are refused.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_FRONT_END_H_
