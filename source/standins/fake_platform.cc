#include "standins/fake_platform.h"

#include <utility>

#include "wire/uri_codec.h"

namespace wisteriayoke {
namespace {

constexpr std::string_view kRecords = "/records/";
constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kInstances = "/instances";
constexpr Duration kRateWindow = std::chrono::seconds(1);

HttpResponse BuildRecordAnswer(int status, const RecordValue& record) {
  return {{status, {{"Record-Version", std::to_string(record.version)}}},
          record.value};
}

}  // namespace

FakePlatform::FakePlatform(EventLoop& loop, const StandinOptions& /*options*/)
    : loop_(loop) {}

void FakePlatform::Handle(const HttpRequest& request, const Caller& caller) {
  if (HandleControl(request, caller)) return;
  if (faults_.outage == OutageKind::kRefuse) return caller->Abort();
  if (faults_.outage == OutageKind::kHang) return;
  if (OverRateLimit()) return caller->Respond({{429, {}}, ""});
  Duration delay = faults_.delay;
  if (request.target.starts_with(kObjects)) delay += faults_.object_delay;
  if (delay <= Duration::zero()) return Serve(request, caller);
  ScheduleCall(delay, [this, request, caller] { Serve(request, caller); });
}

bool FakePlatform::HandleControl(const HttpRequest& request,
                                 const Caller& caller) {
  if (request.target == "/faults" && request.method == "PUT") {
    caller->Respond(SetFaults(request.body));
    return true;
  }
  if (request.target == kInstances && request.method == "PUT") {
    instances_.Write(request.body, loop_.Now());
    caller->Respond({{200, {}}, ""});
    return true;
  }
  if (request.target == "/stats") {
    caller->Respond(
        {{200, {}},
         "instance_reads " + std::to_string(instance_reads_) + "\n"});
    return true;
  }
  return false;
}

HttpResponse FakePlatform::SetFaults(const std::string& body) {
  LastReason reason;
  const auto faults = ParsePlatformFaults(body, reason);
  if (!faults) return {{400, {}}, reason.message()};
  faults_ = *faults;
  return {{200, {}}, ""};
}

bool FakePlatform::OverRateLimit() {
  if (faults_.rate_limit == 0) return false;
  const TimePoint now = loop_.Now();
  if (now - second_start_ >= kRateWindow) {
    second_start_ = now;
    requests_in_second_ = 0;
  }
  return ++requests_in_second_ > faults_.rate_limit;
}

void FakePlatform::ScheduleCall(Duration delay, std::function<void()> call) {
  const std::uint64_t id = next_timer_++;
  timers_[id] = loop_.Schedule(delay, [this, id, call = std::move(call)] {
    const LoopTimerPtr running = std::move(timers_[id]);
    timers_.erase(id);
    call();
  });
}

void FakePlatform::Serve(const HttpRequest& request, const Caller& caller) {
  const HttpResponse answer = BuildAnswer(request);
  const bool written = request.method == "PUT" && answer.head.status == 200;
  if (written && faults_.lose_answers > 0) {
    --faults_.lose_answers;
    return caller->Abort();
  }
  caller->Respond(answer);
}

HttpResponse FakePlatform::BuildAnswer(const HttpRequest& request) {
  const auto decoded = ParseRequestTarget(request.target);
  if (!decoded) return {{400, {}}, ""};
  const std::string& target = decoded->path;
  if (target.starts_with(kRecords)) {
    return HandleRecord(request, target.substr(kRecords.size()));
  }
  if (target.starts_with(kObjects)) {
    return HandleObject(request, target.substr(kObjects.size()));
  }
  if (target == kInstances) return ReadInstances();
  return {{404, {}}, ""};
}

HttpResponse FakePlatform::HandleRecord(const HttpRequest& request,
                                        const std::string& key) {
  LaggingRecord& record = records_[key];
  if (request.method != "PUT") {
    const RecordValue seen = record.ValueAt(loop_.Now() - faults_.stale);
    return BuildRecordAnswer(seen.version == 0 ? 404 : 200, seen);
  }
  const RecordValue current = record.Latest();
  const std::string expected(FindField(request.fields, "Expected-Version"));
  if (expected != std::to_string(current.version)) {
    return BuildRecordAnswer(409, current);
  }
  record.Write(request.body, loop_.Now());
  return BuildRecordAnswer(200, record.Latest());
}

HttpResponse FakePlatform::HandleObject(const HttpRequest& request,
                                        const std::string& key) {
  if (request.method == "PUT") {
    objects_[key] = request.body;
    return {{200, {}}, ""};
  }
  const auto found = objects_.find(key);
  if (found == objects_.end()) return {{404, {}}, ""};
  return {{200, {}}, found->second};
}

HttpResponse FakePlatform::ReadInstances() {
  ++instance_reads_;
  const RecordValue seen =
      instances_.ValueAt(loop_.Now() - faults_.instances_lag);
  return BuildRecordAnswer(seen.version == 0 ? 404 : 200, seen);
}

}  // namespace wisteriayoke
