#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_PASSED_SESSION_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_PASSED_SESSION_H_

#include <memory>
#include <optional>
#include <set>

#include "platform/relay_fields.h"
#include "runtime/http_client_call.h"
#include "runtime/http_server_session.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Passes one request on to a peer, because this daemon has no link to any
/// upstream, and its answer back. Another peer is tried only as long as the
/// request can't have run. Keeps itself alive until the request is answered.
class PassedSession : public std::enable_shared_from_this<PassedSession> {
 public:
  PassedSession(DaemonContext context, HttpRequest request,
                std::shared_ptr<HttpServerSession> caller);

  void Start();

 private:
  void TryNext();
  void HandleCall(CallEvent event);
  void HandleHead(const CallHead& event);
  void HandleBody(const CallBodyData& event);
  void HandleEnd();
  void HandleFailure(const CallFailure& failure);
  void Decline();
  void Fail(ResultCode code);
  void End(ResultCode code);
  Duration TimeLeft() const;

  DaemonContext context_;
  HttpRequest request_;
  CallerFields fields_;
  std::shared_ptr<HttpServerSession> caller_;
  TimePoint arrived_;
  std::set<Endpoint> tried_;
  Endpoint peer_;  ///< The last one that was tried.
  std::shared_ptr<HttpClientCall> call_;
  std::optional<HttpResponse> answer_;  ///< Of `peer_`, once it has begun.
  bool streaming_ = false;  ///< Whether the answer is passed back as it comes.
  bool ended_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_PASSED_SESSION_H_
