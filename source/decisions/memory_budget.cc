#include "decisions/memory_budget.h"

#include <algorithm>
#include <utility>

namespace wisteriayoke {
namespace {

/// Holders below this size are closed only once the budget is used up; closing
/// them frees little.
constexpr std::uint64_t kWorthClosingBytes = 8 * 1024;
/// Longest time without progress that counts, so that the wait of a small
/// holder doesn't outweigh the size of a large one.
constexpr Duration kMaxCountedStall = std::chrono::seconds(10);
/// Keeps the size decisive among holders that have just made progress.
constexpr Duration kMinCountedStall = std::chrono::milliseconds(1);

}  // namespace

MemoryBudget::HolderId MemoryBudget::Add(bool closable, TimePoint now) {
  const HolderId id = ++last_id_;
  holders_[id] = {.progressed_at = now, .closable = closable};
  return id;
}

void MemoryBudget::Remove(HolderId id) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) return;
  used_ -= it->second.usage.total_bytes;
  holders_.erase(it);
}

void MemoryBudget::Update(HolderId id, const Usage& usage) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) return;
  used_ = used_ - it->second.usage.total_bytes + usage.total_bytes;
  it->second.usage = usage;
}

void MemoryBudget::RecordProgress(HolderId id, std::uint64_t bytes,
                                  TimePoint now) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) return;
  Holder& holder = it->second;
  holder.unreported_bytes += bytes;
  if (holder.unreported_bytes < kProgressBytes) return;
  holder.unreported_bytes = 0;
  holder.progressed_at = now;
}

void MemoryBudget::SetForwarded(HolderId id, bool forwarded, TimePoint now) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) return;
  it->second.forwarded = forwarded;
  it->second.unreported_bytes = 0;
  it->second.progressed_at = now;
}

bool MemoryBudget::MayRead(HolderId id) const {
  if (!IsLow() || id == granted_) return true;
  const auto it = holders_.find(id);
  if (it == holders_.end() || !it->second.closable) return true;
  const bool small = it->second.usage.input_bytes <= kSmallInputBytes;
  // The departure of a caller that is being served must be noticed.
  return small && (it->second.forwarded || !IsOver());
}

void MemoryBudget::Park(HolderId id) {
  const auto it = holders_.find(id);
  if (it != holders_.end()) it->second.parked = true;
}

MemoryBudget::Decision MemoryBudget::Decide(TimePoint now) {
  Decision decision;
  std::uint64_t left = used_;
  if (IsLow()) {
    left = CloseWorst(MemoryRule::kStalled, ResumeLevel(), now, decision);
  }
  if (limit_ > 0 && left > limit_) {
    left = CloseWorst(MemoryRule::kOverBudget, limit_, now, decision);
  }
  if (limit_ > 0 && left > ResumeLevel()) {
    const auto granted = holders_.find(granted_);
    if (granted != holders_.end() &&
        now - granted->second.progressed_at >= kIdleTime) {
      granted_ = 0;
    }
    GrantRead(decision);
    decision.again = IsLow();
    for (const auto& [id, holder] : holders_) {
      decision.again = decision.again || holder.parked;
    }
  } else {
    granted_ = 0;
    for (auto& [id, holder] : holders_) {
      if (std::exchange(holder.parked, false)) decision.resume.push_back(id);
    }
  }
  // The wait was not the sender's.
  for (const HolderId id : decision.resume) holders_[id].progressed_at = now;
  return decision;
}

/// Closes holders until at most `aim` bytes are left, those first that hold the
/// most for the longest time without progress. Returns the bytes left. Stalled
/// holders are those that let the budget wait: a parked one is ready to send.
std::uint64_t MemoryBudget::CloseWorst(MemoryRule rule, std::uint64_t aim,
                                       TimePoint now, Decision& decision) {
  std::vector<std::pair<double, HolderId>> worst;
  std::uint64_t left = used_;
  for (const auto& [id, holder] : holders_) {
    if (holder.closing) left -= holder.usage.total_bytes;
    if (!IsCandidate(holder)) continue;
    const Duration stalled = now - holder.progressed_at;
    if (rule == MemoryRule::kStalled &&
        (holder.parked || stalled < kStallTime ||
         holder.usage.total_bytes < kWorthClosingBytes)) {
      continue;
    }
    const Duration counted =
        std::clamp(stalled, kMinCountedStall, kMaxCountedStall);
    worst.emplace_back(static_cast<double>(holder.usage.total_bytes) *
                           static_cast<double>(counted.count()),
                       id);
  }
  std::sort(worst.rbegin(), worst.rend());
  for (const auto& [score, id] : worst) {
    if (left <= aim) break;
    Holder& holder = holders_[id];
    holder.closing = true;
    left -= holder.usage.total_bytes;
    ++closures_[static_cast<std::size_t>(rule)];
    decision.close.push_back({id, rule});
  }
  return left;
}

/// Lets one parked holder read on, the one with the most input, so that some
/// request is completed although memory is low. Once that one makes no
/// progress, another may.
void MemoryBudget::GrantRead(Decision& decision) {
  const auto granted = holders_.find(granted_);
  if (granted != holders_.end() && IsCandidate(granted->second)) {
    if (std::exchange(granted->second.parked, false)) {
      decision.resume.push_back(granted_);
    }
    return;
  }
  granted_ = 0;
  const Holder* best = nullptr;
  for (const auto& [id, holder] : holders_) {
    if (!holder.parked || !IsCandidate(holder)) continue;
    if (best != nullptr &&
        holder.usage.input_bytes <= best->usage.input_bytes) {
      continue;
    }
    best = &holder;
    granted_ = id;
  }
  if (best == nullptr) return;
  holders_[granted_].parked = false;
  decision.resume.push_back(granted_);
}

std::optional<MemoryBudget::HolderId> MemoryBudget::ChooseIdle(TimePoint now) {
  std::optional<HolderId> oldest;
  TimePoint since = now - kIdleTime;
  for (const auto& [id, holder] : holders_) {
    if (!IsCandidate(holder) || holder.parked || holder.progressed_at > since) {
      continue;
    }
    oldest = id;
    since = holder.progressed_at;
  }
  if (!oldest) return std::nullopt;
  holders_[*oldest].closing = true;
  ++closures_[static_cast<std::size_t>(MemoryRule::kDescriptors)];
  return oldest;
}

}  // namespace wisteriayoke
