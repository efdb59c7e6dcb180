#include "ctl/edit_tables.h"

#include <variant>

#include "base/overloaded.h"
#include "wire/table_head_codec.h"

namespace wisteriayoke {
namespace {

std::optional<TableHead> ParseHead(const StoreRecord& record) {
  LastReason ignored;
  if (record.value.empty()) return std::nullopt;
  return ParseTableHeadRecord(record.value, ignored);
}

HeadRead ToHeadRead(const StoreRecord& record) {
  HeadRead read{record.code, record.version, ParseHead(record)};
  const bool damaged = record.code == ResultCode::kOk && !read.head;
  if (damaged) read.code = ResultCode::kMalformedJson;
  return read;
}

TableEditorEvent Execute(StoreClient& store, const TableEditorAction& action,
                         const std::string& content) {
  return std::visit(
      Overloaded{
          [&](const ReadHead&) -> TableEditorEvent {
            return ToHeadRead(store.ReadRecord(std::string(kTableHeadKey)));
          },
          [&](const WriteContent& write) -> TableEditorEvent {
            return ContentWritten{store.WriteObject(write.hash, content)};
          },
          [&](const WriteHistory& write) -> TableEditorEvent {
            return HistoryWritten{
                store
                    .WriteRecord(TableHistoryKey(write.head.version.number),
                                 FormatTableHeadRecord(write.head), 0)
                    .code};
          },
          [&](const WriteHead& write) -> TableEditorEvent {
            const auto record = store.WriteRecord(
                std::string(kTableHeadKey), FormatTableHeadRecord(write.head),
                write.expected);
            return HeadWritten{record.code, ParseHead(record)};
          },
          [&](const ReadHistory& read) -> TableEditorEvent {
            const auto record = store.ReadRecord(TableHistoryKey(read.number));
            return HistoryRead{record.code, ParseHead(record)};
          },
          [](const FinishEdit&) -> TableEditorEvent { return HeadRead{}; },
      },
      action);
}

}  // namespace

FinishEdit EditTables(StoreClient& store, const EditRequested& edit,
                      const std::string& content) {
  TableEditor editor;
  auto actions = editor.Handle(edit);
  while (!std::holds_alternative<FinishEdit>(actions.front())) {
    actions = editor.Handle(Execute(store, actions.front(), content));
  }
  return std::get<FinishEdit>(actions.front());
}

}  // namespace wisteriayoke
