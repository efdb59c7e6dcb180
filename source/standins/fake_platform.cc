#include "standins/fake_platform.h"

namespace wisteriayoke {
namespace {

constexpr std::string_view kRecords = "/records/";
constexpr std::string_view kObjects = "/objects/";

}  // namespace

FakePlatform::FakePlatform(EventLoop& /*loop*/,
                           const StandinOptions& /*options*/) {}

void FakePlatform::Handle(const HttpRequest& request,
                          const std::shared_ptr<HttpServerSession>& caller) {
  const std::string& target = request.target;
  if (target.starts_with(kRecords)) {
    return caller->Respond(
        HandleRecord(request, target.substr(kRecords.size())));
  }
  if (target.starts_with(kObjects)) {
    return caller->Respond(
        HandleObject(request, target.substr(kObjects.size())));
  }
  caller->Respond({{404, {}}, ""});
}

HttpResponse FakePlatform::HandleRecord(const HttpRequest& request,
                                        const std::string& key) {
  const Record current = records_.contains(key) ? records_[key] : Record{};
  const auto answer = [](int status, const Record& record) {
    return HttpResponse{
        {status, {{"Record-Version", std::to_string(record.version)}}},
        record.value};
  };
  if (request.method != "PUT") {
    return answer(current.version == 0 ? 404 : 200, current);
  }
  const std::string expected(FindField(request.fields, "Expected-Version"));
  if (expected != std::to_string(current.version)) return answer(409, current);
  records_[key] = {request.body, current.version + 1};
  return answer(200, records_[key]);
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

}  // namespace wisteriayoke
