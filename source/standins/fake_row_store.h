#ifndef WISTERIAYOKE_STANDINS_FAKE_ROW_STORE_H_
#define WISTERIAYOKE_STANDINS_FAKE_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/names_table.h"
#include "runtime/event_loop.h"
#include "runtime/http_server_session.h"
#include "standins/standin_options.h"
#include "wire/uri_codec.h"

namespace wisteriayoke {

/// Faults of the stand-in store.
enum class StoreFault {
  kNone,
  kSilent,      ///< Never answers, nor what it received before or meanwhile.
  kRefusing,    ///< Answers 503 and executes nothing.
  kLosing,      ///< Executes writes and closes without an answer.
  kForgetting,  ///< Answers the next feed request as if history were lost.
};

inline constexpr auto kStoreFaultNames = MakeNamesTable<StoreFault>({
    {StoreFault::kNone, "none"},
    {StoreFault::kSilent, "silent"},
    {StoreFault::kRefusing, "refusing"},
    {StoreFault::kLosing, "losing"},
    {StoreFault::kForgetting, "forgetting"},
});

/// Stand-in for the platform's store of rows: reads, feeds by long polling, and
/// conditional writes.
///
/// PUT, GET and DELETE of /rows/TABLE/KEY act as the operator, an upstream or
/// another writer would. A PUT with lifetime_ms is a heartbeat: it drops the
/// row unless another one follows in time, and an unchanged value is no change.
/// PUT /fault sets the fault that its body names, and PUT /page-rows the number
/// of rows of a page. PUT /copy keeps a copy of all rows, and PUT /return goes
/// back to it. GET /calls counts the requests of the platform's protocol.
class FakeRowStore {
 public:
  explicit FakeRowStore(EventLoop& loop, const StandinOptions& options = {});

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller);

  /// Writes a row unconditionally, as the operator or an upstream does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);

  void Drop(const std::string& table, const std::string& key);

  /// Returns the value of a row, or "" if it is absent.
  std::string ValueOf(const std::string& table, const std::string& key) const;

  void set_fault(StoreFault fault);
  /// Keeps a copy of all rows and of the newest version.
  void KeepCopy();
  /// Goes back to the copy: later rows are lost, their versions are given out
  /// again, a feed from one of them gets 410, and the era rises. Open calls end
  /// without an answer.
  void ReturnToCopy();

  /// Sets whether answers state the era.
  void set_states_era(bool states_era) { states_era_ = states_era; }
  /// Leaves the calls that wait for changes of `table` without an answer, as if
  /// their connections were lost.
  void LoseWaiting(const std::string& table);
  /// Sets the most rows of a page.
  void set_page_rows(std::size_t rows) { page_rows_ = rows; }
  /// Calls `handler` after each page of a table that more pages follow.
  void set_on_page(std::function<void()> handler) {
    on_page_ = std::move(handler);
  }
  /// Number of requests of the platform's protocol received.
  int calls() const { return calls_; }

 private:
  using Json = nlohmann::json;
  using Caller = std::shared_ptr<HttpServerSession>;
  /// Table and key.
  using RowName = std::pair<std::string, std::string>;

  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  using Rows = std::map<RowName, Row>;

  struct Waiter {
    Caller caller;
    std::string table;
    std::uint64_t after = 0;
    LoopTimerPtr timer;
  };

  bool HandleControl(const RequestTarget& target, const HttpRequest& request,
                     const Caller& caller);
  void HandleRow(const RequestTarget& target, const HttpRequest& request,
                 const Caller& caller);
  void RenewRow(const RowName& name, const std::string& value,
                Duration lifetime);
  void StartExpiry(const RowName& name);
  Json List(const std::string& table, std::uint64_t after,
            bool include_removed) const;
  void Respond(const Caller& caller, int status, std::string body) const;
  void Answer(const Caller& caller, int status, const Json& rows,
              bool has_more = false) const;
  void AnswerGet(const RequestTarget& target, const Caller& caller) const;
  void AnswerFeed(const RequestTarget& target, const Caller& caller);
  void EndWait(Caller caller);
  void AnswerWaiting();
  void AnswerWrite(const HttpRequest& request, const Caller& caller);

  EventLoop& loop_;
  Rows rows_;
  std::map<RowName, Duration> lifetimes_;  ///< Of rows with heartbeats.
  std::map<RowName, LoopTimerPtr> expiry_timers_;
  std::uint64_t version_ = 0;
  std::uint64_t era_ = 1;
  bool states_era_ = true;
  Rows copied_rows_;
  std::uint64_t copied_version_ = 0;
  StoreFault fault_ = StoreFault::kNone;
  int calls_ = 0;
  std::size_t page_rows_ = 500;  ///< As at the platform.
  std::function<void()> on_page_;
  std::vector<Waiter> waiting_;
  std::vector<Caller> unanswered_;  ///< Callers left without an answer.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_ROW_STORE_H_
