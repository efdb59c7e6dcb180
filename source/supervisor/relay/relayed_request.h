#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RELAYED_REQUEST_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RELAYED_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "decisions/relay_tables.h"
#include "platform/relay_fields.h"
#include "runtime/http_server_session.h"
#include "supervisor/relay/relay_target.h"

namespace wisteriayoke {

/// One request that the front end accepted.
struct RelayedRequest {
  RelayTablesPtr tables;
  RelayRoute route;
  PoolName pool;
  WorkspaceName workspace;  ///< Holder of the caller's key; empty without one.
  /// Whether the request may start only while the tables are fresh, since its
  /// key may have been taken away.
  bool needs_fresh_tables = false;
  /// Among the requests to the pool; none if the tables don't rank it.
  std::optional<RequestRank> rank;
  CallerFields fields;
  HttpRequest request;
  double events = 0;  ///< Events of the answer so far, of all attempts.
  std::shared_ptr<HttpServerSession> caller;

  bool is_stream() const { return route.kind == RelayKind::kStreaming; }

  /// Whether the tables rank the requests to the pool.
  bool is_ranked() const { return tables->HasRanks(pool); }

  /// Rank in this daemon's queue. A request without one is ordered as upstreams
  /// order it.
  RequestRank OrderRank() const {
    return rank.value_or(RequestRank{RequestRank::kDefaultUrgency});
  }

  /// Time that the caller and the route allow from the request's arrival.
  Duration TimeLimit() const {
    return std::min(route.timeout, fields.deadline.value_or(route.timeout));
  }

  /// Silence after which an attempt of a request that isn't a stream is given
  /// up, if another upstream can be tried.
  Duration StallTimeout() const;
};

/// Returns a digest that requests of one workspace with the same content share.
std::string ComputeFingerprint(const RelayedRequest& relayed);

/// Returns the request to send to `target`, which has `time_left` for it and
/// goes on after the event `last_event_id`, if there is one.
HttpRequest BuildAttempt(const RelayedRequest& relayed,
                         const RelayTarget& target, Duration time_left,
                         std::optional<std::uint64_t> last_event_id);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAYED_REQUEST_H_
