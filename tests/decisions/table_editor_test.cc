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

/// What happens to one call to the store.
enum class Fate { kAnswered, kAnswerLost, kNeverArrives, kLandsLate };

/// The head, history and contents of a store, and writes still on their way.
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

  void LandOne(std::size_t index) {
    if (late_.empty()) return;
    const auto chosen = late_.begin() + static_cast<int>(index % late_.size());
    const auto write = std::move(*chosen);
    late_.erase(chosen);
    write();
  }

  bool HasLateWrites() const { return !late_.empty(); }

  /// Returns every head that ever was, from the store's own records.
  std::vector<TableHead> ListVersions() const {
    std::vector<TableHead> versions;
    for (const auto& [number, head] : history_) versions.push_back(head);
    if (head_ && (versions.empty() || versions.back() != *head_)) {
      versions.push_back(*head_);
    }
    return versions;
  }

  /// Returns every head that ever was, as the model saw them pass.
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

/// One operator who repeats an edit on the latest version, some times.
struct Operator {
  TableEditor editor;
  TableEditorAction next = ReadHead{};
  EditId edit;
};

template <typename Reply, typename Write>
TableEditorEvent Perform(FakeStore& store, const Write& write, Fate fate) {
  switch (fate) {
    case Fate::kAnswered:
      return store.Apply(write);
    case Fate::kAnswerLost:
      store.Apply(write);
      break;
    case Fate::kLandsLate:
      store.Delay([&store, write] { store.Apply(write); });
      break;
    case Fate::kNeverArrives:
      break;
  }
  return Reply{ResultCode::kStoreUnreachable};
}

TableEditorEvent PerformRead(const TableEditorEvent& answer,
                             const TableEditorEvent& failure, Fate fate) {
  return fate == Fate::kAnswered ? answer : failure;
}

TableEditorEvent Call(FakeStore& store, const TableEditorAction& action,
                      Fate fate) {
  return std::visit(
      Overloaded{
          [&](const ReadHead&) {
            return PerformRead(store.Read(),
                               HeadRead{ResultCode::kStoreUnreachable, 0, {}},
                               fate);
          },
          [&](const ReadHistory& read) {
            return PerformRead(store.Read(read),
                               HistoryRead{ResultCode::kStoreUnreachable, {}},
                               fate);
          },
          [&](const WriteContent& write) {
            return Perform<ContentWritten>(store, write, fate);
          },
          [&](const WriteHistory& write) {
            return Perform<HistoryWritten>(store, write, fate);
          },
          [&](const WriteHead& write) {
            return Perform<HeadWritten>(store, write, fate);
          },
          [](const FinishEdit&) { return TableEditorEvent{EditRequested{}}; },
      },
      action);
}

Fate DrawFate() {
  return *rc::gen::weightedElement<Fate>({{6, Fate::kAnswered},
                                          {2, Fate::kAnswerLost},
                                          {1, Fate::kNeverArrives},
                                          {2, Fate::kLandsLate}});
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

/// Checks what was told to each operator against the versions of the store.
void CheckTold(const std::map<EditId, EditOutcome>& told,
               const std::vector<TableHead>& versions) {
  std::set<EditId> in_history;
  for (const auto& head : versions) {
    RC_ASSERT(in_history.insert(head.edit).second);
  }
  for (const auto& [edit, outcome] : told) {
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

/// Operators who race on one store; each begins another edit after its last.
class Race {
 public:
  void Start() {
    while (operators_.size() < kOperators) {
      operators_.push_back(MakeOperator(store_, ++serial_));
    }
  }

  /// Lets one operator take several steps, or one late write land.
  void TakeTurn() {
    const auto choice = *rc::gen::inRange<unsigned>(0, kOperators + 1);
    if (choice == kOperators) {
      return store_.LandOne(*rc::gen::inRange<std::size_t>(0, 100));
    }
    const int steps = *rc::gen::inRange(1, kMostStepsInTurn);
    for (int i = 0; i < steps; ++i) TakeStep(operators_[choice]);
  }

  void Check() {
    while (store_.HasLateWrites()) store_.LandOne(0);
    CheckVersions(store_);
    CheckTold(told_, store_.ListVersions());
  }

 private:
  static constexpr unsigned kOperators = 3;
  static constexpr int kMostStepsInTurn = 8;

  void TakeStep(Operator& current) {
    const auto answer = Call(store_, current.next, DrawFate());
    const auto actions = current.editor.Handle(answer);
    RC_ASSERT(actions.size() == 1U);
    current.next = actions[0];
    if (const auto* end = std::get_if<FinishEdit>(&current.next)) {
      told_[current.edit] = end->outcome;
      current = MakeOperator(store_, ++serial_);
    }
  }

  FakeStore store_;
  std::map<EditId, EditOutcome> told_;
  unsigned serial_ = 0;
  std::vector<Operator> operators_;
};

void RunRace() {
  constexpr int kMostTurns = 60;
  Race race;
  race.Start();
  const int turns = *rc::gen::inRange(1, kMostTurns);
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

TEST_CASE("a store that stays silent on commit leaves the edit unknown") {
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

TEST_CASE("a store that fails before the commit changes nothing") {
  TableEditor editor;
  Next(editor, EditRequested{0, "new", EditId("e")});
  TableEditorAction last = ReadHead{};
  for (unsigned i = 0; i < TableEditor::kMaxTries; ++i) {
    last = Next(editor, HeadRead{ResultCode::kStoreUnreachable, 0, {}});
  }
  CHECK(std::get<FinishEdit>(last).outcome == EditOutcome::kFailed);
}

}  // namespace wisteriayoke
