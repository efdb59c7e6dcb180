#include "decisions/table_editor.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

/// How one call to the store and its answer are delivered.
enum class Delivery { kAnswered, kAnswerLost, kNeverArrives, kArrivesLate };

/// The head, history and contents of a store, and delayed writes to it.
class FakeStore {
 public:
  HeadRead Read() const {
    if (!head_) return {ResultCode::kObjectMissing, 0, std::nullopt};
    return {ResultCode::kOk, record_version_, head_};
  }

  HeadWritten Apply(const WriteHead& write) {
    if (write.expected != record_version_) {
      return {ResultCode::kStoreConflict, head_};
    }
    if (head_) accepted_.push_back(*head_);
    head_ = write.head;
    ++record_version_;
    return {};
  }

  HistoryWritten Apply(const WriteHistory& write) {
    const bool written =
        history_.emplace(write.head.version.number, write.head).second;
    return {written ? ResultCode::kOk : ResultCode::kStoreConflict};
  }

  ContentWritten Apply(const WriteContent& write) {
    contents_.insert(write.hash);
    return {};
  }

  HistoryRead Read(const ReadHistory& read) const {
    const auto found = history_.find(read.number);
    if (found == history_.end()) return {ResultCode::kObjectMissing, {}};
    return {ResultCode::kOk, found->second};
  }

  void Delay(std::function<void()> write) { late_.push_back(std::move(write)); }

  void ApplyLate(std::size_t index) {
    if (late_.empty()) return;
    const auto chosen = late_.begin() + static_cast<int>(index % late_.size());
    const auto write = std::move(*chosen);
    late_.erase(chosen);
    write();
  }

  bool HasLateWrites() const { return !late_.empty(); }

  /// Returns every head there was, from the history and the head record.
  std::vector<TableHead> ListVersions() const {
    std::vector<TableHead> versions;
    for (const auto& [number, head] : history_) versions.push_back(head);
    if (head_ && (versions.empty() || versions.back() != *head_)) {
      versions.push_back(*head_);
    }
    return versions;
  }

  /// Returns every head there was, as recorded when it was written.
  std::vector<TableHead> ListAccepted() const {
    std::vector<TableHead> all = accepted_;
    if (head_) all.push_back(*head_);
    return all;
  }

  bool HasContent(const std::string& hash) const {
    return contents_.contains(hash);
  }

 private:
  std::optional<TableHead> head_;
  std::uint64_t record_version_ = 0;
  std::map<std::uint64_t, TableHead> history_;
  std::vector<TableHead> accepted_;
  std::set<std::string> contents_;
  std::vector<std::function<void()>> late_;
};

/// An operator with one edit of the latest version.
struct Operator {
  TableEditor editor;
  TableEditorAction next = ReadHead{};
  EditId edit;
};

template <typename Reply, typename Write>
TableEditorEvent CallWrite(FakeStore& store, const Write& write,
                           Delivery delivery) {
  switch (delivery) {
    case Delivery::kAnswered:
      return store.Apply(write);
    case Delivery::kAnswerLost:
      store.Apply(write);
      break;
    case Delivery::kArrivesLate:
      store.Delay([&store, write] { store.Apply(write); });
      break;
    case Delivery::kNeverArrives:
      break;
  }
  return Reply{ResultCode::kStoreUnreachable};
}

TableEditorEvent CallRead(const TableEditorEvent& answer,
                          const TableEditorEvent& failure, Delivery delivery) {
  return delivery == Delivery::kAnswered ? answer : failure;
}

TableEditorEvent Call(FakeStore& store, const TableEditorAction& action,
                      Delivery delivery) {
  return std::visit(
      Overloaded{
          [&](const ReadHead&) {
            return CallRead(store.Read(),
                            HeadRead{ResultCode::kStoreUnreachable, 0, {}},
                            delivery);
          },
          [&](const ReadHistory& read) {
            return CallRead(store.Read(read),
                            HistoryRead{ResultCode::kStoreUnreachable, {}},
                            delivery);
          },
          [&](const WriteContent& write) {
            return CallWrite<ContentWritten>(store, write, delivery);
          },
          [&](const WriteHistory& write) {
            return CallWrite<HistoryWritten>(store, write, delivery);
          },
          [&](const WriteHead& write) {
            return CallWrite<HeadWritten>(store, write, delivery);
          },
          [](const FinishEdit&) { return TableEditorEvent{EditRequested{}}; },
      },
      action);
}

Delivery DrawDelivery() {
  return *rc::gen::weightedElement<Delivery>({{6, Delivery::kAnswered},
                                              {2, Delivery::kAnswerLost},
                                              {1, Delivery::kNeverArrives},
                                              {2, Delivery::kArrivesLate}});
}

Operator MakeOperator(const FakeStore& store, unsigned serial) {
  Operator made;
  made.edit = EditId("edit-" + std::to_string(serial));
  const auto head = store.Read().head;
  const std::uint64_t base = head ? head->version.number : 0;
  const std::string hash = "hash-" + std::to_string(serial);
  made.next = made.editor.Handle(EditRequested{base, hash, made.edit})[0];
  return made;
}

/// Checks the outcomes reported to the operators against the store's versions.
void CheckOutcomes(const std::map<EditId, EditOutcome>& outcomes,
                   const std::vector<TableHead>& versions) {
  std::set<EditId> in_history;
  for (const auto& head : versions) {
    RC_ASSERT(in_history.insert(head.edit).second);
  }
  for (const auto& [edit, outcome] : outcomes) {
    const bool present = in_history.contains(edit);
    if (outcome == EditOutcome::kAccepted) RC_ASSERT(present);
    if (outcome == EditOutcome::kConflict) RC_ASSERT(!present);
    if (outcome == EditOutcome::kFailed) RC_ASSERT(!present);
  }
}

void CheckVersions(const FakeStore& store) {
  const auto versions = store.ListVersions();
  RC_ASSERT(versions == store.ListAccepted());
  std::string previous;
  for (std::size_t i = 0; i < versions.size(); ++i) {
    RC_ASSERT(versions[i].version.number == i + 1);
    RC_ASSERT(versions[i].previous_hash == previous);
    RC_ASSERT(store.HasContent(versions[i].version.hash));
    previous = versions[i].version.hash;
  }
}

/// Operators who race on one store; each starts another edit after the last.
class Race {
 public:
  void Start() {
    while (operators_.size() < kOperators) {
      operators_.push_back(MakeOperator(store_, ++serial_));
    }
  }

  /// Makes several steps of one operator, or applies one late write.
  void TakeTurn() {
    const auto choice = *rc::gen::inRange<unsigned>(0, kOperators + 1);
    if (choice == kOperators) {
      return store_.ApplyLate(*rc::gen::inRange<std::size_t>(0, 100));
    }
    const int steps = *rc::gen::inRange(1, kMaxStepsInTurn);
    for (int i = 0; i < steps; ++i) TakeStep(operators_[choice]);
  }

  void Check() {
    while (store_.HasLateWrites()) store_.ApplyLate(0);
    CheckVersions(store_);
    CheckOutcomes(outcomes_, store_.ListVersions());
  }

 private:
  static constexpr unsigned kOperators = 3;
  static constexpr int kMaxStepsInTurn = 8;

  void TakeStep(Operator& current) {
    const auto answer = Call(store_, current.next, DrawDelivery());
    const auto actions = current.editor.Handle(answer);
    RC_ASSERT(actions.size() == 1U);
    current.next = actions[0];
    if (const auto* end = std::get_if<FinishEdit>(&current.next)) {
      outcomes_[current.edit] = end->outcome;
      current = MakeOperator(store_, ++serial_);
    }
  }

  FakeStore store_;
  std::map<EditId, EditOutcome> outcomes_;
  unsigned serial_ = 0;
  std::vector<Operator> operators_;
};

void RunRace() {
  constexpr int kMaxTurns = 60;
  Race race;
  race.Start();
  const int turns = *rc::gen::inRange(1, kMaxTurns);
  for (int turn = 0; turn < turns; ++turn) race.TakeTurn();
  race.Check();
}

/// Returns the only action after `event`.
TableEditorAction Next(TableEditor& editor, const TableEditorEvent& event) {
  const auto actions = editor.Handle(event);
  REQUIRE(actions.size() == 1);
  return actions[0];
}

}  // namespace

TEST_CASE("racing editors, lost answers and late writes keep the history") {
  CHECK(rc::check("table editor", RunRace));
}

TEST_CASE("an edit of an old version is a conflict that names both versions") {
  TableEditor editor;
  Next(editor, EditRequested{3, "new", EditId("e")});
  TableHead head{.version = {5, "five"}};
  const auto end =
      std::get<FinishEdit>(Next(editor, HeadRead{ResultCode::kOk, 9, head}));
  CHECK(end.outcome == EditOutcome::kConflict);
  CHECK(end.code == ResultCode::kTableConflict);
  CHECK(end.proposed.version.number == 4);
  CHECK(end.current->version.number == 5);
}

TEST_CASE("an edit whose commit gets no answer has an unknown outcome") {
  TableEditor editor;
  Next(editor, EditRequested{0, "new", EditId("e")});
  Next(editor, HeadRead{ResultCode::kObjectMissing, 0, {}});
  Next(editor, ContentWritten{});
  for (unsigned i = 1; i < TableEditor::kMaxTries; ++i) {
    CHECK(std::holds_alternative<WriteHead>(
        Next(editor, HeadWritten{ResultCode::kStoreUnreachable, {}})));
  }
  const auto end = std::get<FinishEdit>(
      Next(editor, HeadWritten{ResultCode::kStoreUnreachable, {}}));
  CHECK(end.outcome == EditOutcome::kUnknown);
  CHECK(end.code == ResultCode::kTableCommitUnknown);
}

TEST_CASE("an edit fails if the store fails before the commit") {
  TableEditor editor;
  Next(editor, EditRequested{0, "new", EditId("e")});
  TableEditorAction last = ReadHead{};
  for (unsigned i = 0; i < TableEditor::kMaxTries; ++i) {
    last = Next(editor, HeadRead{ResultCode::kStoreUnreachable, 0, {}});
  }
  CHECK(std::get<FinishEdit>(last).outcome == EditOutcome::kFailed);
}

}  // namespace wisteriayoke
