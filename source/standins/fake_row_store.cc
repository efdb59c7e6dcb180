#include "standins/fake_row_store.h"

#include <algorithm>

#include "base/parse_decimal.h"
#include "platform/row_codec.h"

namespace wisteriayoke {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kRowsPrefix = "/rows/";
/// Most bytes of a key, as at the platform.
constexpr std::size_t kMaxKeyBytes = 200;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConflict = 412;
constexpr int kUnavailable = 503;

/// Returns the parameter `name`, or "" if there is none.
std::string ReadParameter(const RequestTarget& target,
                          const std::string& name) {
  const auto found = target.parameters.find(name);
  return found == target.parameters.end() ? "" : found->second;
}

/// Returns the parameter `name` as a number; 0 if it is none.
std::uint64_t ReadNumber(const RequestTarget& target, const std::string& name) {
  return static_cast<std::uint64_t>(
      ParseDecimal(ReadParameter(target, name)).value_or(0));
}

}  // namespace

FakeRowStore::FakeRowStore(EventLoop& loop, const StandinOptions& /*options*/)
    : loop_(loop) {}

void FakeRowStore::Put(const std::string& table, const std::string& key,
                       const std::string& value) {
  rows_[{table, key}] = {value, ++version_, false};
  AnswerWaiting();
}

void FakeRowStore::Drop(const std::string& table, const std::string& key) {
  rows_[{table, key}] = {"", ++version_, true};
  AnswerWaiting();
}

void FakeRowStore::set_fault(StoreFault fault) {
  fault_ = fault;
  if (fault != StoreFault::kSilent) return;
  for (auto& waiter : std::exchange(waiting_, {})) {
    unanswered_.push_back(std::move(waiter.caller));
  }
}

void FakeRowStore::KeepCopy() {
  copied_rows_ = rows_;
  copied_version_ = version_;
}

void FakeRowStore::ReturnToCopy() {
  rows_ = copied_rows_;
  version_ = copied_version_;
  ++era_;
  for (const auto& [name, lifetime] : lifetimes_) {
    if (rows_.contains(name) && !rows_.at(name).removed) StartExpiry(name);
  }
  for (const auto& waiter : std::exchange(waiting_, {})) {
    waiter.caller->Abort();
  }
}

void FakeRowStore::LoseWaiting(const std::string& table) {
  for (auto& waiter : std::exchange(waiting_, {})) {
    if (waiter.table == table) {
      unanswered_.push_back(std::move(waiter.caller));
    } else {
      waiting_.push_back(std::move(waiter));
    }
  }
}

std::string FakeRowStore::ValueOf(const std::string& table,
                                  const std::string& key) const {
  const auto found = rows_.find({table, key});
  return found == rows_.end() ? "" : found->second.value;
}

void FakeRowStore::Handle(const HttpRequest& request, const Caller& caller) {
  const auto target = ParseRequestTarget(request.target);
  if (!target) return caller->Respond({{kBadRequest, {}}, ""});
  if (HandleControl(*target, request, caller)) return;
  ++calls_;
  if (fault_ == StoreFault::kSilent) return unanswered_.push_back(caller);
  if (fault_ == StoreFault::kRefusing) {
    return Respond(caller, kUnavailable, "");
  }
  if (target->path == "/-/rows-get") return AnswerGet(*target, caller);
  if (target->path == "/-/rows-feed") return AnswerFeed(*target, caller);
  if (target->path == "/-/rows-tx") return AnswerWrite(request, caller);
  Respond(caller, kNotFound, "");
}

bool FakeRowStore::HandleControl(const RequestTarget& target,
                                 const HttpRequest& request,
                                 const Caller& caller) {
  if (target.path == "/fault") {
    const auto fault = kStoreFaultNames.Find(request.body);
    if (fault) set_fault(*fault);
    caller->Respond({{fault ? kOk : kNotFound, {}}, ""});
    return true;
  }
  if (target.path == "/page-rows") {
    const auto rows = ParseDecimal(request.body);
    if (rows) set_page_rows(static_cast<std::size_t>(*rows));
    caller->Respond({{rows ? kOk : kNotFound, {}}, ""});
    return true;
  }
  if (target.path == "/copy" || target.path == "/return") {
    if (target.path == "/copy") {
      KeepCopy();
    } else {
      ReturnToCopy();
    }
    caller->Respond({{kOk, {}}, ""});
    return true;
  }
  if (target.path == "/calls") {
    caller->Respond({{kOk, {}}, std::to_string(calls_)});
    return true;
  }
  if (!target.path.starts_with(kRowsPrefix)) return false;
  HandleRow(target, request, caller);
  return true;
}

void FakeRowStore::HandleRow(const RequestTarget& target,
                             const HttpRequest& request, const Caller& caller) {
  const std::string name = target.path.substr(kRowsPrefix.size());
  const std::size_t slash = name.find('/');
  if (slash == std::string::npos) return caller->Respond({{kNotFound, {}}, ""});
  const std::string table = name.substr(0, slash);
  const std::string key = name.substr(slash + 1);
  const std::uint64_t lifetime = ReadNumber(target, "lifetime_ms");
  if (request.method == "PUT" && lifetime > 0) {
    RenewRow({table, key}, request.body, std::chrono::milliseconds(lifetime));
  } else if (request.method == "PUT") {
    Put(table, key, request.body);
  } else if (request.method == "DELETE") {
    Drop(table, key);
  }
  caller->Respond({{kOk, {}}, ValueOf(table, key)});
}

void FakeRowStore::RenewRow(const RowName& name, const std::string& value,
                            Duration lifetime) {
  const auto& [table, key] = name;
  if (ValueOf(table, key) != value) Put(table, key, value);
  lifetimes_[name] = lifetime;
  StartExpiry(name);
}

void FakeRowStore::StartExpiry(const RowName& name) {
  expiry_timers_[name] = loop_.Schedule(
      lifetimes_.at(name), [this, name] { Drop(name.first, name.second); });
}

Json FakeRowStore::List(const std::string& table, std::uint64_t after,
                        bool include_removed) const {
  Json rows = Json::array();
  for (const auto& [name, row] : rows_) {
    if (name.first != table || row.version <= after) continue;
    if (row.removed && !include_removed) continue;
    Json json = {{"Table", name.first},
                 {"part", ""},
                 {"Key", name.second},
                 {"Ver", row.version}};
    if (row.removed) {
      json["Removed"] = true;
    } else {
      // Takes the value as the codec encodes it in a write request.
      const auto write = Json::parse(
          BuildWriteRequest({name.first, name.second, row.value, 0}).body);
      json["Value"] = write["Writes"][0]["Value"];
    }
    rows.push_back(std::move(json));
  }
  return rows;
}

void FakeRowStore::Respond(const Caller& caller, int status,
                           std::string body) const {
  HttpFields fields;
  if (states_era_) fields.push_back({"Store-Era", std::to_string(era_)});
  caller->Respond({{status, std::move(fields)}, std::move(body)});
}

void FakeRowStore::Answer(const Caller& caller, int status, const Json& rows,
                          bool has_more) const {
  const Json body = {{"Rows", rows}, {"HasMore", has_more}, {"Ver", version_}};
  Respond(caller, status, body.dump());
}

void FakeRowStore::AnswerGet(const RequestTarget& target,
                             const Caller& caller) const {
  const std::string from = ReadParameter(target, "From");
  if (from.size() > kMaxKeyBytes) {
    return Respond(caller, kBadRequest, "");
  }
  Json rows = Json::array();
  for (auto& row : List(ReadParameter(target, "Table"), 0, false)) {
    if (row["Key"] >= from) rows.push_back(std::move(row));
  }
  const bool has_more = rows.size() > page_rows_;
  if (has_more) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(page_rows_),
               rows.end());
  }
  Answer(caller, kOk, rows, has_more);
  if (has_more && on_page_) on_page_();
}

void FakeRowStore::AnswerFeed(const RequestTarget& target,
                              const Caller& caller) {
  const std::uint64_t after = ReadNumber(target, "After");
  const bool forgets = fault_ == StoreFault::kForgetting;
  if (forgets) fault_ = StoreFault::kNone;
  if (forgets || after > version_) return Respond(caller, kGone, "");
  const std::string table = ReadParameter(target, "Table");
  const Json rows = List(table, after, true);
  if (!rows.empty()) return Answer(caller, kOk, rows);
  const auto wait = std::chrono::milliseconds(ReadNumber(target, "WaitMs"));
  // Callers that disconnected need no answer.
  std::erase_if(waiting_, [](const Waiter& w) { return w.caller->closed(); });
  waiting_.push_back({caller, table, after, nullptr});
  waiting_.back().timer =
      loop_.Schedule(wait, [this, caller] { EndWait(caller); });
}

/// Takes `caller` by value: erasing the waiter destroys its timer, and with it
/// the callback that holds the argument.
void FakeRowStore::EndWait(Caller caller) {
  std::erase_if(waiting_, [&](const Waiter& w) { return w.caller == caller; });
  Answer(caller, kOk, Json::array());
}

void FakeRowStore::AnswerWaiting() {
  for (auto& waiter : std::exchange(waiting_, {})) {
    const Json rows = List(waiter.table, waiter.after, true);
    if (rows.empty()) {
      waiting_.push_back(std::move(waiter));
    } else {
      Answer(waiter.caller, kOk, rows);
    }
  }
}

void FakeRowStore::AnswerWrite(const HttpRequest& request,
                               const Caller& caller) {
  const Json body = Json::parse(request.body);
  for (const auto& condition : body["Precondition"]) {
    const RowName name(condition["Table"], condition["Key"]);
    const Row row = rows_.contains(name) ? rows_.at(name) : Row{};
    if (row.version == condition["Ver"]) continue;
    return Answer(caller, kConflict, List(name.first, 0, false));
  }
  LastReason reason;
  const auto page =
      ParseRowPage(Json{{"Rows", body["Writes"]}, {"Ver", 0}}.dump(), reason);
  if (!page) return Respond(caller, kNotFound, reason.message());
  for (const auto& row : page->rows) {
    rows_[{row.table, row.key}] = {row.value, ++version_, false};
  }
  if (fault_ == StoreFault::kLosing) return caller->Abort();
  Answer(caller, kOk, Json::array());
}

}  // namespace wisteriayoke
