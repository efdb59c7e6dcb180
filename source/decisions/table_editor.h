#ifndef WISTERIAYOKE_DECISIONS_TABLE_EDITOR_H_
#define WISTERIAYOKE_DECISIONS_TABLE_EDITOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/names_table.h"
#include "base/result_code.h"
#include "decisions/table_head.h"

namespace wisteriayoke {

/// An operator requests new content to replace version `base`.
struct EditRequested {
  std::uint64_t base = 0;  ///< 0 if there are no tables yet.
  std::string hash;        ///< Digest of the new content.
  EditId edit;
  std::string author;
  std::string time;
};

/// The read of the head ended. `code` is kObjectMissing and `head` is nullopt
/// if there is no head record.
struct HeadRead {
  ResultCode code = ResultCode::kOk;
  std::uint64_t record_version = 0;
  std::optional<TableHead> head;
};

/// A write of the content ended with `code`.
struct ContentWritten {
  ResultCode code = ResultCode::kOk;
};

/// A write of a history record ended with `code`.
struct HistoryWritten {
  ResultCode code = ResultCode::kOk;
};

/// The write of the head ended with kOk, with kStoreConflict and the current
/// head in `current`, or with another code, after which the write may still
/// take effect at any time.
struct HeadWritten {
  ResultCode code = ResultCode::kOk;
  std::optional<TableHead> current;
};

/// The read of a history record ended.
struct HistoryRead {
  ResultCode code = ResultCode::kOk;
  std::optional<TableHead> head;
};

using TableEditorEvent = std::variant<EditRequested, HeadRead, ContentWritten,
                                      HistoryWritten, HeadWritten, HistoryRead>;

/// Read the head record.
struct ReadHead {};

/// Store the new content under its digest.
struct WriteContent {
  std::string hash;
};

/// Write `head` as the history record of its version unless there is one.
struct WriteHistory {
  TableHead head;
};

/// Replace the head record if its record version is `expected`.
struct WriteHead {
  TableHead head;
  std::uint64_t expected = 0;
};

/// Read the history record of version `number`.
struct ReadHistory {
  std::uint64_t number = 0;
};

/// Result of an edit.
enum class EditOutcome {
  kAccepted,   ///< The new version is part of the history permanently.
  kUnchanged,  ///< The requested content is already in force.
  kConflict,   ///< Another version was accepted; the edit never takes effect.
  kFailed,     ///< The store failed; the edit never takes effect.
  kUnknown,    ///< The edit may take effect; the history shows whether it did.
};

inline constexpr auto kEditOutcomeNames = MakeNamesTable<EditOutcome>({
    {EditOutcome::kAccepted, "accepted"},
    {EditOutcome::kUnchanged, "unchanged"},
    {EditOutcome::kConflict, "conflict"},
    {EditOutcome::kFailed, "failed"},
    {EditOutcome::kUnknown, "unknown"},
});

/// Report the result of the edit to the operator. This is the last action.
struct FinishEdit {
  EditOutcome outcome = EditOutcome::kUnknown;
  ResultCode code = ResultCode::kOk;
  TableHead proposed;                ///< The head that the edit requested.
  std::optional<TableHead> current;  ///< The latest head that was seen.
};

using TableEditorAction = std::variant<ReadHead, WriteContent, WriteHistory,
                                       WriteHead, ReadHistory, FinishEdit>;

/// Decides the steps of one edit of the tables by compare-and-set.
///
/// The content is written first, then the history record of the version to be
/// replaced, then the head, so that no accepted version is ever missing from
/// the history. If the answer to the write of the head is lost, the write is
/// repeated, which is safe because only one of the two can succeed; a conflict
/// then shows which version was accepted.
class TableEditor {
 public:
  /// Maximum attempts for each kind of call to the store.
  static constexpr unsigned kMaxTries = 4;

  /// Handles one event and returns the next actions. An event that doesn't
  /// answer the latest action has no effect.
  std::vector<TableEditorAction> Handle(const TableEditorEvent& event);

  bool finished() const { return step_ == Step::kFinished; }

 private:
  using Actions = std::vector<TableEditorAction>;

  enum class Step {
    kIdle,
    kReadingHead,
    kWritingContent,
    kWritingHistory,
    kWritingHead,
    kReadingHistory,
    kFinished,
  };

  Actions HandleRequest(const EditRequested& event);
  Actions HandleHead(const HeadRead& event);
  Actions HandleContent(const ContentWritten& event);
  Actions HandleHistoryWrite(const HistoryWritten& event);
  Actions HandleHeadWrite(const HeadWritten& event);
  Actions HandleHistory(const HistoryRead& event);
  Actions StartEdit(const HeadRead& event);
  Actions ResolveConflict(const std::optional<TableHead>& current);
  Actions Enter(Step step);
  Actions RetryOrFinish(EditOutcome outcome, ResultCode code);
  Actions Finish(EditOutcome outcome, ResultCode code);
  TableEditorAction ActionOf(Step step) const;

  Step step_ = Step::kIdle;
  unsigned tries_ = 0;
  std::uint64_t base_ = 0;
  TableHead proposed_;
  std::optional<TableHead> replaced_;
  std::optional<TableHead> current_;
  std::uint64_t expected_ = 0;
  bool head_write_lost_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TABLE_EDITOR_H_
