#include "supervisor/table_service/table_service_client.h"

#include <utility>

#include "wire/store_codec.h"

namespace wisteriayoke {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t kMaxRunningCalls = 64;
constexpr std::size_t kMaxWaitingCalls = 256;
constexpr std::string_view kExpectedField = "Expected-Version";

StoreReply ToReply(const FetchResult& result) {
  if (result.code != ResultCode::kOk) {
    return {.code = ResultCode::kStoreUnreachable, .sent = result.sent};
  }
  const HttpResponse& response = result.response;
  const ResultCode code = ResultCodeOfStoreStatus(response.head.status);
  return {code, response.body, ReadRecordVersion(response.head.fields),
          code == ResultCode::kStoreUnreachable};
}

}  // namespace

TableServiceClient::TableServiceClient(DaemonContext context,
                                       FailureHandler on_failure)
    : context_(context),
      on_failure_(std::move(on_failure)),
      endpoint_(context.settings.EndpointOf(SettingKey::kPlatformAddress)) {}

bool TableServiceClient::Start(LastReason& /*reason*/) { return true; }

void TableServiceClient::Stop(const std::function<void()>& done) { done(); }

void TableServiceClient::ReadRecord(const std::string& key, Done done) {
  Send({.method = "GET", .target = RecordTarget(key)}, std::move(done));
}

void TableServiceClient::WriteRecord(const std::string& key,
                                     const std::string& value,
                                     std::uint64_t expected, Done done) {
  Send({.method = "PUT",
        .target = RecordTarget(key),
        .fields = {{std::string(kExpectedField), std::to_string(expected)}},
        .body = value},
       std::move(done));
}

void TableServiceClient::ReadInstances(Done done) {
  Send({.method = "GET", .target = "/instances"}, std::move(done));
}

void TableServiceClient::ReadObject(const std::string& hash, Done done) {
  Send({.method = "GET", .target = ObjectTarget(hash)}, std::move(done));
}

void TableServiceClient::Send(HttpRequest request, Done done) {
  if (running_ < kMaxRunningCalls) {
    return StartCall(std::move(request), std::move(done));
  }
  if (waiting_.size() >= kMaxWaitingCalls) {
    return FailUnsent(done, ResultCode::kStoreRateLimited);
  }
  waiting_.push_back(
      {std::move(request), std::move(done), context_.loop.Now()});
}

void TableServiceClient::StartCall(HttpRequest request, Done done) {
  if (!breaker_.TryStart(context_.loop.Now())) {
    return FailUnsent(done, ResultCode::kStoreUnreachable);
  }
  ++running_;
  FetchResponse(
      context_.loop, endpoint_, std::move(request),
      {.idle_timeout = kStoreTimeout},
      [self = shared_from_this(), done = std::move(done)](
          const FetchResult& result) { self->HandleResult(result, done); });
}

void TableServiceClient::HandleResult(const FetchResult& result,
                                      const Done& done) {
  --running_;
  StoreReply reply = ToReply(result);
  RecordOutcome(reply);
  done(std::move(reply));
  StartWaiting();
}

void TableServiceClient::RecordOutcome(const StoreReply& reply) {
  const BreakerState before = breaker_.state();
  if (reply.code == ResultCode::kStoreUnreachable) {
    breaker_.RecordFailure(context_.loop.Now());
  } else {
    breaker_.RecordSuccess();
  }
  const bool opened = before == BreakerState::kClosed &&
                      breaker_.state() == BreakerState::kOpen;
  const bool closed = before != BreakerState::kClosed &&
                      breaker_.state() == BreakerState::kClosed;
  if (!opened && !closed) return;
  context_.state.timeline.Record(
      opened ? LogLevel::kWarning : LogLevel::kInfo, EventKind::kStoreBreaker,
      reply.code,
      {{"state", std::string(kBreakerStateNames.NameOf(breaker_.state()))}});
}

void TableServiceClient::StartWaiting() {
  while (!waiting_.empty() && running_ < kMaxRunningCalls) {
    WaitingCall next = std::move(waiting_.front());
    waiting_.pop_front();
    if (context_.loop.Now() - next.queued_at >= kStoreTimeout) {
      FailUnsent(next.done, ResultCode::kStoreUnreachable);
    } else {
      StartCall(std::move(next.request), std::move(next.done));
    }
  }
}

void TableServiceClient::FailUnsent(const Done& done, ResultCode code) {
  context_.loop.Post([done, code] { done({.code = code}); });
}

}  // namespace wisteriayoke
