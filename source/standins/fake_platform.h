#ifndef WISTERIAYOKE_STANDINS_FAKE_PLATFORM_H_
#define WISTERIAYOKE_STANDINS_FAKE_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "runtime/event_loop.h"
#include "runtime/http_server_session.h"
#include "standins/lagging_record.h"
#include "standins/platform_faults.h"
#include "standins/standin_options.h"

namespace wisteriayoke {

/// Stand-in for the platform: a table service with compare-and-set
/// (/records/KEY, versions in header fields), an object store
/// (/objects/DIGEST) and an eventually consistent list of instances
/// (/instances), in memory. Tests set its faults by PUT /faults and the list by
/// PUT /instances; GET /stats returns how often the list was read.
class FakePlatform {
 public:
  FakePlatform(EventLoop& loop, const StandinOptions& options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller);

 private:
  using Caller = std::shared_ptr<HttpServerSession>;

  bool HandleControl(const HttpRequest& request, const Caller& caller);
  HttpResponse SetFaults(const std::string& body);
  bool OverRateLimit();
  void ScheduleCall(Duration delay, std::function<void()> call);
  void Serve(const HttpRequest& request, const Caller& caller);
  HttpResponse BuildAnswer(const HttpRequest& request);
  HttpResponse HandleRecord(const HttpRequest& request, const std::string& key);
  HttpResponse HandleObject(const HttpRequest& request, const std::string& key);
  HttpResponse ReadInstances();

  EventLoop& loop_;
  PlatformFaults faults_;
  std::map<std::string, LaggingRecord> records_;
  std::map<std::string, std::string> objects_;
  LaggingRecord instances_;
  std::uint64_t instance_reads_ = 0;
  std::map<std::uint64_t, LoopTimerPtr> timers_;
  std::uint64_t next_timer_ = 0;
  TimePoint second_start_;
  std::uint32_t requests_in_second_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_PLATFORM_H_
