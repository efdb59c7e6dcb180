#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_FRONT_END_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_FRONT_END_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "runtime/http_server.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/reach_monitor.h"
#include "supervisor/relay/relay_session.h"

namespace wisteriayoke {

/// Accepts the callers of the relay, finds the route and the workspace of each
/// request, and supervises the sessions. A child of the root.
class RelayFrontEnd : public std::enable_shared_from_this<RelayFrontEnd> {
 public:
  RelayFrontEnd(DaemonContext context, const FailureHandler& on_failure);

  bool Start(LastReason& reason);
  /// Accepts requests until the balancer has noticed the stop, then finishes
  /// those in flight and calls `done`.
  void Stop(std::function<void()> done);
  void TerminateSessions();

 private:
  using CallerPtr = std::shared_ptr<HttpServerSession>;

  void Handle(HttpRequest request, const CallerPtr& caller);
  void PassOn(HttpRequest request, const CallerPtr& caller);
  ResultCode ResolveRequest(const HttpRequest& request,
                            RelayedRequest& relayed);
  void Refuse(const CallerFields& fields, const CallerPtr& caller,
              ResultCode code);
  void CheckSessions();
  void CheckUpstreamsAndMembers();
  void UpdateMemberCount();
  void ApplyRetryLimits();
  void PollDegraded();
  std::vector<UpstreamName> HandleStall(
      const std::vector<UpstreamName>& upstreams);
  void PollReport(const UpstreamName& upstream, Duration interval);
  void SendPoll(const UpstreamName& upstream);
  void HandleUnresponsive(const UpstreamName& upstream, const std::string& why);
  void HandleReport(const UpstreamName& upstream, const FetchResult& result);
  void HandleReportFailure(const UpstreamName& upstream,
                           const FetchResult& result);
  using UpstreamHandler = void (RelaySession::*)(const UpstreamName&);
  void NotifySessions(UpstreamHandler handler, const UpstreamName& upstream);
  void EjectUpstream(const UpstreamName& upstream, const std::string& why);
  void RecordSuspicion(const UpstreamName& upstream, const std::string& why);
  void HandleStalls(const UpstreamName& upstream, const std::string& why);
  void HandleFailure(const UpstreamName& upstream, const std::string& why);

  DaemonContext context_;
  std::shared_ptr<HttpServer> server_;
  GossipExchange::Subscription suspect_updates_;
  GossipExchange::Subscription leaving_updates_;
  GossipExchange::Subscription segment_updates_;
  PassedRequestExchange::Subscription passed_requests_;
  std::vector<std::weak_ptr<RelaySession>> sessions_;
  ReachMonitor reach_monitor_;
  /// Latest request for an upstream's report.
  struct ReportPoll {
    TimePoint sent_at;
    bool pending = false;
    LoopTimerPtr unresponsive_timer;
    unsigned unanswered = 0;  ///< Failed polls in a row.
  };
  std::map<UpstreamName, ReportPoll> polls_;
  LoopTimerPtr check_timer_;
  std::optional<TimePoint> next_check_at_;  ///< When `check_timer_` is due.
  LoopTimerPtr poll_timer_;
  LoopTimerPtr stop_timer_;
  bool refusing_ = false;  ///< Whether new requests are refused.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_FRONT_END_H_
