#include "supervisor/operators/operators_server.h"

#include <charconv>
#include <utility>

#include "supervisor/context/metrics_page.h"
#include "supervisor/context/operators_codec.h"
#include "wire/completion_codec.h"
#include "wire/uri_codec.h"

namespace wisteriayoke {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr std::size_t kMaxConnections = 64;
constexpr std::string_view kChildrenPrefix = "/children/";
constexpr std::string_view kTablesPrefix = "/tables/";
constexpr std::string_view kRestartSuffix = "/restart";

HttpResponse BuildJson(int status, std::string body) {
  return {{status, {{"Content-Type", "application/json"}}}, std::move(body)};
}

HttpResponse BuildError(const LastReason& reason) {
  return BuildJson(DescribeResultCode(reason.code()).http_status,
                   EncodeErrorBody(reason.code(), reason.message()));
}

HttpResponse BuildUnknownPath(std::string_view path) {
  LastReason reason;
  reason.Set(ResultCode::kUnknownRoute,
             "the operators' port has no " + std::string(path));
  return BuildError(reason);
}

}  // namespace

OperatorsServer::OperatorsServer(DaemonContext context, OperatorsHooks hooks,
                                 FailureHandler on_failure)
    : context_(context),
      hooks_(std::move(hooks)),
      on_failure_(std::move(on_failure)) {}

bool OperatorsServer::Start(LastReason& reason) {
  server_ = HttpServer::Create(
      context_.loop,
      context_.settings.EndpointOf(SettingKey::kOperatorsAddress),
      {.connections = kMaxConnections, .reserved = true},
      [weak = weak_from_this()](
          const HttpRequest& request,
          const std::shared_ptr<HttpServerSession>& session) {
        const auto self = weak.lock();
        if (!self) return session->Abort();
        session->Respond(self->Handle(request));
      },
      BuildError, reason);
  return server_ != nullptr;
}

void OperatorsServer::Stop(std::function<void()> done) {
  server_->StopAccepting();
  server_->Drain(std::move(done));
}

void OperatorsServer::TerminateSessions() { server_->TerminateSessions(); }

HttpResponse OperatorsServer::Handle(const HttpRequest& request) {
  const std::string_view path = PathOf(request.target);
  if (request.method == "PUT") return HandlePut(path, request.body);
  return request.method == "POST" ? HandlePost(path) : HandleGet(path);
}

HttpResponse OperatorsServer::HandleGet(std::string_view path) {
  if (path == "/metrics") return BuildMetricsPage(context_);
  if (path == "/timeline") return BuildJson(kStatusOk, EncodeTimeline());
  if (path == "/status") {
    return BuildJson(kStatusOk, EncodeDaemonStatus(hooks_.describe()));
  }
  return BuildUnknownPath(path);
}

HttpResponse OperatorsServer::HandlePut(std::string_view path,
                                        const std::string& content) {
  if (!path.starts_with(kTablesPrefix)) return BuildUnknownPath(path);
  path.remove_prefix(kTablesPrefix.size());
  std::uint64_t number = 0;
  const char* end = path.data() + path.size();
  const auto parsed = std::from_chars(path.data(), end, number);
  LastReason reason;
  if (parsed.ec != std::errc() || parsed.ptr != end || number == 0) {
    reason.Set(ResultCode::kFieldInvalid,
               "\"" + std::string(path) + "\" is no version of the tables");
    return BuildError(reason);
  }
  if (!hooks_.announce_tables(number, content, reason)) {
    return BuildError(reason);
  }
  return BuildJson(kStatusAccepted, R"({"announced":true})");
}

HttpResponse OperatorsServer::HandlePost(std::string_view path) {
  if (path == "/drain") {
    // Posted, so that the answer is sent first. A repeated drain is ignored.
    if (!context_.state.draining) context_.loop.Post(hooks_.request_stop);
    return BuildJson(kStatusAccepted, R"({"draining":true})");
  }
  if (path.starts_with(kChildrenPrefix) && path.ends_with(kRestartSuffix) &&
      path.size() > kChildrenPrefix.size() + kRestartSuffix.size()) {
    path.remove_prefix(kChildrenPrefix.size());
    path.remove_suffix(kRestartSuffix.size());
    return RestartChild(path);
  }
  return BuildUnknownPath(path);
}

HttpResponse OperatorsServer::RestartChild(std::string_view path) {
  LastReason reason;
  const auto child = PercentDecode(path);
  if (!child) return BuildUnknownPath(path);
  if (!hooks_.restart_child(*child, reason)) {
    return BuildError(reason);
  }
  return BuildJson(kStatusAccepted, R"({"restarting":true})");
}

std::string OperatorsServer::EncodeTimeline() const {
  const auto& events = context_.state.timeline.events();
  return EncodeDaemonTimeline(
      {DaemonName(context_.settings.Text(SettingKey::kDaemonName)),
       {events.begin(), events.end()}});
}

}  // namespace wisteriayoke
