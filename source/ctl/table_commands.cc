#include "ctl/table_commands.h"

#include <chrono>
#include <ctime>
#include <random>

#include "ctl/blocking_http.h"
#include "ctl/edit_tables.h"
#include "ctl/table_diff.h"
#include "ctl/table_source.h"
#include "supervisor/context/ini_text.h"
#include "supervisor/context/quoted_text.h"
#include "wire/digest.h"
#include "wire/table_codec.h"
#include "wire/table_head_codec.h"

namespace wisteriayoke {
namespace {

StoreClient MakeStoreClient(const CtlOptions& options) {
  return StoreClient(options.platform.value_or(Endpoint{}), options.timeout);
}

std::string FormatNow() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm utc{};
  gmtime_r(&now, &utc);
  constexpr std::size_t kTextSize = 32;
  char text[kTextSize];
  const std::size_t size =
      std::strftime(text, kTextSize, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return {text, size};
}

/// Returns a random id that is unique to this edit.
EditId GenerateEditId() {
  std::random_device device;
  std::string text;
  constexpr int kWords = 4;
  for (int i = 0; i < kWords; ++i) text += std::to_string(device()) + "-";
  text.pop_back();
  return EditId(text);
}

std::string DescribeHead(const TableHead& head) {
  return "version " + std::to_string(head.version.number) + " (hash " +
         QuoteIfNeeded(head.version.hash) + ", by " + Quote(head.author) +
         " at " + QuoteIfNeeded(head.time) + ")";
}

std::string DescribeCurrent(const FinishEdit& end) {
  return end.current ? DescribeHead(*end.current) : "no version";
}

std::string ExplainEdit(const FinishEdit& end) {
  const std::string number = std::to_string(end.proposed.version.number);
  switch (end.outcome) {
    case EditOutcome::kConflict:
      return "your edit would be version " + number + " (hash " +
             end.proposed.version.hash + "), but " + DescribeCurrent(end) +
             " is in force; your edit is not and will not be.";
    case EditOutcome::kUnknown:
      return "the store did not answer the commit; the edit may take effect. "
             "It has, if \"table history\" lists version " +
             number + " with edit " + end.proposed.edit.text() +
             "; it never will, if another edit has that version.";
    case EditOutcome::kFailed:
      return "the store failed before the commit; nothing was changed.";
    case EditOutcome::kAccepted:
    case EditOutcome::kUnchanged:
      break;
  }
  return "";
}

std::string EncodeEdit(const FinishEdit& end) {
  return R"({"outcome":")" +
         std::string(kEditOutcomeNames.NameOf(end.outcome)) + R"(","code":)" +
         std::to_string(static_cast<int>(end.code)) + R"(,"proposed":)" +
         FormatTableHeadRecord(end.proposed) + R"(,"current":)" +
         (end.current ? FormatTableHeadRecord(*end.current) : "null") + "}\n";
}

/// Sends accepted tables to the daemons, so that they come in force even if the
/// store fails now. Ignores failures: a daemon that can't be reached gets the
/// tables from its peers.
void PushTables(const CtlOptions& options, const FinishEdit& end,
                const std::string& content) {
  const HttpRequest request{
      .method = "PUT",
      .target = "/tables/" + std::to_string(end.proposed.version.number),
      .body = content};
  for (const auto& daemon : options.daemons) {
    LastReason ignored;
    FetchBlocking(daemon, request, options.timeout, ignored);
  }
}

CommandResult ReportEdit(const FinishEdit& end, bool json) {
  CommandResult result;
  if (json) result.output = EncodeEdit(end);
  if (end.code != ResultCode::kOk) {
    result.reason.Set(end.code, ExplainEdit(end));
  } else if (!json) {
    result.output = std::string(kEditOutcomeNames.NameOf(end.outcome)) + ": " +
                    DescribeCurrent(end) + "\n";
  }
  return result;
}

}  // namespace

CommandResult GetTables(const CtlOptions& options) {
  StoreClient store = MakeStoreClient(options);
  LastReason reason;
  const auto head = options.operands.empty()
                        ? ReadHeadInForce(store, reason)
                        : ReadHeadOfVersion(store, options.operands[0], reason);
  if (!head) return CommandResult::Fail(reason);
  const auto content = store.ReadObject(head->version.hash, reason);
  if (!content) return CommandResult::Fail(reason);
  if (options.json) {
    return {"{\"head\":" + FormatTableHeadRecord(*head) +
                ",\"tables\":" + *content + "}\n",
            {},
            ""};
  }
  return {*content, {}, DescribeHead(*head)};
}

CommandResult CheckTables(const CtlOptions& options) {
  const std::string& path = options.operands[0];
  LastReason reason;
  const auto content = ReadTextFile(path, reason);
  if (!content || !CheckContent(path, *content, reason)) {
    return CommandResult::Fail(reason);
  }
  return {options.json ? "{\"valid\":true}\n" : path + ": valid\n", {}, ""};
}

CommandResult SetTables(const CtlOptions& options) {
  const std::string& path = options.operands[0];
  LastReason reason;
  const auto content = ReadTextFile(path, reason);
  if (!content || !CheckContent(path, *content, reason)) {
    return CommandResult::Fail(reason);
  }
  StoreClient store = MakeStoreClient(options);
  const FinishEdit end = EditTables(store,
                                    {.base = options.base.value_or(0),
                                     .hash = ComputeDigest(*content),
                                     .edit = GenerateEditId(),
                                     .author = options.author,
                                     .time = FormatNow()},
                                    *content);
  if (end.outcome == EditOutcome::kAccepted) PushTables(options, end, *content);
  return ReportEdit(end, options.json);
}

CommandResult DiffTableVersions(const CtlOptions& options) {
  StoreClient store = MakeStoreClient(options);
  LastReason reason;
  std::string to;
  if (options.operands.size() > 1) {
    to = options.operands[1];
  } else {
    const auto head = ReadHeadInForce(store, reason);
    if (!head) return CommandResult::Fail(reason);
    to = std::to_string(head->version.number);
  }
  std::vector<TableSpec> specs;
  for (const auto& name : {options.operands[0], to}) {
    const auto content = ReadContent(store, name, reason);
    auto spec = content ? ParseTableSpec(*content, reason) : std::nullopt;
    if (!spec) return CommandResult::Fail(reason);
    specs.push_back(std::move(*spec));
  }
  const auto differences = DiffTables(specs[0], specs[1]);
  if (options.json) return {EncodeDifferences(differences) + "\n", {}, ""};
  std::string text;
  for (const auto& row : differences) {
    text += std::string(kDiffKindNames.NameOf(row.kind)) + " " + row.path;
    text += ": " + row.before + " -> " + row.after + "\n";
  }
  return {text, {}, differences.empty() ? "no difference" : ""};
}

CommandResult ListTableHistory(const CtlOptions& options) {
  StoreClient store = MakeStoreClient(options);
  LastReason reason;
  const auto heads = ReadLatestHeads(store, options.limit, reason);
  if (!heads) return CommandResult::Fail(reason);
  std::string text;
  for (const auto& head : *heads) {
    if (options.json) {
      text += (text.empty() ? "[" : ",") + FormatTableHeadRecord(head);
    } else {
      text += std::to_string(head.version.number);
      for (const auto& word : {head.version.hash, head.time, head.author}) {
        text += " " + QuoteIfNeeded(word);
      }
      text += " edit " + QuoteIfNeeded(head.edit.text()) + "\n";
    }
  }
  return {options.json ? text + "]\n" : text, {}, ""};
}

}  // namespace wisteriayoke
