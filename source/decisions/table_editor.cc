#include "decisions/table_editor.h"

#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {

std::vector<TableEditorAction> TableEditor::Handle(
    const TableEditorEvent& event) {
  return std::visit(
      Overloaded{
          [this](const EditRequested& request) {
            return HandleRequest(request);
          },
          [this](const HeadRead& read) { return HandleHead(read); },
          [this](const ContentWritten& done) { return HandleContent(done); },
          [this](const HistoryWritten& done) {
            return HandleHistoryWrite(done);
          },
          [this](const HeadWritten& done) { return HandleHeadWrite(done); },
          [this](const HistoryRead& read) { return HandleHistory(read); },
      },
      event);
}

TableEditor::Actions TableEditor::HandleRequest(const EditRequested& event) {
  if (step_ != Step::kIdle) return {};
  base_ = event.base;
  proposed_ = {.version = {event.base + 1, event.hash},
               .previous_hash = {},
               .edit = event.edit,
               .author = event.author,
               .time = event.time};
  return Enter(Step::kReadingHead);
}

TableEditor::Actions TableEditor::HandleHead(const HeadRead& event) {
  if (step_ != Step::kReadingHead) return {};
  const bool absent = event.code == ResultCode::kObjectMissing;
  if (event.code != ResultCode::kOk && !absent) {
    return RetryOrFinish(EditOutcome::kFailed, event.code);
  }
  return StartEdit(event);
}

TableEditor::Actions TableEditor::StartEdit(const HeadRead& event) {
  current_ = event.head;
  const std::uint64_t in_force = event.head ? event.head->version.number : 0;
  // A head below the operator's base comes from a stale read.
  if (in_force < base_) {
    return RetryOrFinish(EditOutcome::kConflict, ResultCode::kTableConflict);
  }
  if (in_force != base_) {
    return Finish(EditOutcome::kConflict, ResultCode::kTableConflict);
  }
  if (event.head && event.head->version.hash == proposed_.version.hash) {
    return Finish(EditOutcome::kUnchanged, ResultCode::kOk);
  }
  expected_ = event.record_version;
  replaced_ = event.head;
  if (replaced_) proposed_.previous_hash = replaced_->version.hash;
  return Enter(Step::kWritingContent);
}

TableEditor::Actions TableEditor::HandleContent(const ContentWritten& event) {
  if (step_ != Step::kWritingContent) return {};
  if (event.code != ResultCode::kOk) {
    return RetryOrFinish(EditOutcome::kFailed, event.code);
  }
  return Enter(replaced_ ? Step::kWritingHistory : Step::kWritingHead);
}

TableEditor::Actions TableEditor::HandleHistoryWrite(
    const HistoryWritten& event) {
  if (step_ != Step::kWritingHistory) return {};
  // A conflict means that another edit has already recorded the same head.
  if (event.code != ResultCode::kOk &&
      event.code != ResultCode::kStoreConflict) {
    return RetryOrFinish(EditOutcome::kFailed, event.code);
  }
  return Enter(Step::kWritingHead);
}

TableEditor::Actions TableEditor::HandleHeadWrite(const HeadWritten& event) {
  if (step_ != Step::kWritingHead) return {};
  if (event.code == ResultCode::kOk) {
    current_ = proposed_;
    return Finish(EditOutcome::kAccepted, ResultCode::kOk);
  }
  if (event.code == ResultCode::kStoreConflict) {
    return ResolveConflict(event.current);
  }
  head_write_lost_ = true;
  return RetryOrFinish(EditOutcome::kUnknown, ResultCode::kTableCommitUnknown);
}

TableEditor::Actions TableEditor::ResolveConflict(
    const std::optional<TableHead>& current) {
  if (current) current_ = current;
  if (current && current->edit == proposed_.edit) {
    return Finish(EditOutcome::kAccepted, ResultCode::kOk);
  }
  // Unless a write was lost, this edit has never become the head, and it never
  // will, since the record version is past the expected one.
  if (!head_write_lost_) {
    return Finish(EditOutcome::kConflict, ResultCode::kTableConflict);
  }
  if (current && current->version.number == proposed_.version.number) {
    return Finish(EditOutcome::kConflict, ResultCode::kTableConflict);
  }
  return Enter(Step::kReadingHistory);
}

TableEditor::Actions TableEditor::HandleHistory(const HistoryRead& event) {
  if (step_ != Step::kReadingHistory) return {};
  if (event.code != ResultCode::kOk || !event.head) {
    return RetryOrFinish(EditOutcome::kUnknown,
                         ResultCode::kTableCommitUnknown);
  }
  if (event.head->edit == proposed_.edit) {
    return Finish(EditOutcome::kAccepted, ResultCode::kOk);
  }
  return Finish(EditOutcome::kConflict, ResultCode::kTableConflict);
}

TableEditor::Actions TableEditor::Enter(Step step) {
  step_ = step;
  tries_ = 1;
  return {ActionOf(step)};
}

TableEditor::Actions TableEditor::RetryOrFinish(EditOutcome outcome,
                                                ResultCode code) {
  if (tries_ >= kMaxTries) return Finish(outcome, code);
  ++tries_;
  return {ActionOf(step_)};
}

TableEditorAction TableEditor::ActionOf(Step step) const {
  switch (step) {
    case Step::kWritingContent:
      return WriteContent{proposed_.version.hash};
    case Step::kWritingHistory:
      return WriteHistory{*replaced_};
    case Step::kWritingHead:
      return WriteHead{proposed_, expected_};
    case Step::kReadingHistory:
      return ReadHistory{proposed_.version.number};
    case Step::kIdle:
    case Step::kReadingHead:
    case Step::kFinished:
      break;
  }
  return ReadHead{};
}

TableEditor::Actions TableEditor::Finish(EditOutcome outcome, ResultCode code) {
  step_ = Step::kFinished;
  return {FinishEdit{outcome, code, proposed_, current_}};
}

}  // namespace wisteriayoke
