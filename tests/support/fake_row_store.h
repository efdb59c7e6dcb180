#ifndef WISTERIAYOKE_TESTS_SUPPORT_FAKE_ROW_STORE_H_
#define WISTERIAYOKE_TESTS_SUPPORT_FAKE_ROW_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "platform/row_codec.h"
#include "support/daemon_fixture.h"

namespace wisteriayoke {

/// What the store does with the calls that it gets.
enum class StoreFault {
  kNone,
  kSilent,      ///< It never answers.
  kRefusing,    ///< It answers 503 and does nothing.
  kLosing,      ///< It does what it is asked and closes without an answer.
  kForgetting,  ///< It has lost its history.
};

/// A small store of rows that speaks the platform's protocol: reads, feeds that
/// wait, and writes under a condition.
class FakeRowStore {
 public:
  explicit FakeRowStore(EventLoop& loop)
      : loop_(loop),
        server_(loop, TestPorts::kPlatform,
                [this](const HttpRequest& request,
                       const std::shared_ptr<HttpServerSession>& caller) {
                  Handle(request, caller);
                }) {}

  /// Writes a row as the operator or an upstream does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    rows_[{table, key}] = {value, ++version_, false};
    AnswerWaiting();
  }

  void Drop(const std::string& table, const std::string& key) {
    rows_[{table, key}] = {"", ++version_, true};
    AnswerWaiting();
  }

  /// Returns the value of a row, or "".
  std::string ValueOf(const std::string& table, const std::string& key) const {
    const auto found = rows_.find({table, key});
    return found == rows_.end() ? "" : found->second.value;
  }

  void set_fault(StoreFault fault) { fault_ = fault; }
  int calls() const { return calls_; }

 private:
  using Json = nlohmann::json;
  using CallerPtr = std::shared_ptr<HttpServerSession>;

  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  struct Waiter {
    CallerPtr caller;
    std::string table;
    std::uint64_t after = 0;
    LoopTimerPtr timer;
  };

  void Handle(const HttpRequest& request, const CallerPtr& caller) {
    ++calls_;
    if (fault_ == StoreFault::kSilent) return held_.push_back(caller);
    if (fault_ == StoreFault::kRefusing) {
      return caller->Respond({{503, {}}, ""});
    }
    const std::string_view path = PathOf(request.target);
    if (path == "/-/rows-get") return AnswerGet(request, caller);
    if (path == "/-/rows-feed") return AnswerFeed(request, caller);
    if (path == "/-/rows-tx") return AnswerWrite(request, caller);
    caller->Respond({{404, {}}, ""});
  }

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) return "";
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }

  Json Encode(const std::string& table, const std::string& key,
              const Row& row) const {
    Json json = {
        {"Table", table}, {"part", ""}, {"Key", key}, {"Ver", row.version}};
    if (row.removed) {
      json["Removed"] = true;
    } else {
      // The codec's own encoding, read back from a write request.
      const auto write =
          Json::parse(BuildWriteRequest({table, key, row.value, 0}).body);
      json["Value"] = write["Writes"][0]["Value"];
    }
    return json;
  }

  Json List(const std::string& table, std::uint64_t after,
            bool with_removed) const {
    Json rows = Json::array();
    for (const auto& [name, row] : rows_) {
      if (name.first != table || row.version <= after) continue;
      if (row.removed && !with_removed) continue;
      rows.push_back(Encode(name.first, name.second, row));
    }
    return rows;
  }

  void Answer(const CallerPtr& caller, int status, const Json& rows) {
    const Json body = {{"Rows", rows}, {"HasMore", false}, {"Ver", version_}};
    caller->Respond({{status, {}}, body.dump()});
  }

  void AnswerGet(const HttpRequest& request, const CallerPtr& caller) {
    Answer(caller, 200, List(Parameter(request.target, "Table"), 0, false));
  }

  void AnswerFeed(const HttpRequest& request, const CallerPtr& caller) {
    if (fault_ == StoreFault::kForgetting) {
      fault_ = StoreFault::kNone;
      return caller->Respond({{410, {}}, ""});
    }
    const std::string table = Parameter(request.target, "Table");
    const auto after = std::stoull(Parameter(request.target, "After"));
    const Json rows = List(table, after, true);
    if (!rows.empty()) return Answer(caller, 200, rows);
    const auto wait = std::chrono::milliseconds(
        std::stoll(Parameter(request.target, "WaitMs")));
    waiting_.push_back({caller, table, after, nullptr});
    waiting_.back().timer = loop_.Schedule(
        wait, [this, caller] { Answer(caller, 200, Json::array()); });
  }

  void AnswerWaiting() {
    for (auto& waiter : std::exchange(waiting_, {})) {
      const Json rows = List(waiter.table, waiter.after, true);
      if (rows.empty()) {
        waiting_.push_back(std::move(waiter));
      } else if (fault_ != StoreFault::kSilent) {
        Answer(waiter.caller, 200, rows);
      }
    }
  }

  void AnswerWrite(const HttpRequest& request, const CallerPtr& caller) {
    const Json body = Json::parse(request.body);
    for (const auto& condition : body["Precondition"]) {
      const std::pair<std::string, std::string> name(condition["Table"],
                                                     condition["Key"]);
      const Row row = rows_.contains(name) ? rows_.at(name) : Row{};
      if (row.version == condition["Ver"]) continue;
      return Answer(caller, 412, List(name.first, 0, false));
    }
    LastReason ignored;
    const auto page = ParseRowPage(
        Json{{"Rows", body["Writes"]}, {"Ver", 0}}.dump(), ignored);
    for (const auto& row : page->rows) {
      rows_[{row.table, row.key}] = {row.value, ++version_, false};
    }
    if (fault_ == StoreFault::kLosing) return caller->Abort();
    Answer(caller, 200, Json::array());
  }

  EventLoop& loop_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::uint64_t version_ = 0;
  StoreFault fault_ = StoreFault::kNone;
  int calls_ = 0;
  std::vector<Waiter> waiting_;
  std::vector<CallerPtr> held_;
  FakeServer server_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_SUPPORT_FAKE_ROW_STORE_H_
