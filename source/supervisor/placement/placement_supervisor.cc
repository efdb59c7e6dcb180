#include "supervisor/placement/placement_supervisor.h"

#include <random>
#include <utility>

#include "supervisor/context/child_record.h"

namespace wisteriayoke {
namespace {

std::string MakeToken(const std::string& daemon) {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> numbers;
  return daemon + "-" + std::to_string(numbers(device));
}

}  // namespace

PlacementSupervisor::PlacementSupervisor(DaemonContext context,
                                         TableServiceFinder table_service,
                                         FailureHandler on_failure)
    : context_(context),
      table_service_(std::move(table_service)),
      token_(MakeToken(context.settings.Text(SettingKey::kDaemonName))),
      children_(context.loop, MakeChildObserver(context.state.timeline),
                std::move(on_failure)) {}

bool PlacementSupervisor::Start(LastReason& reason) {
  return ApplyTables(reason);
}

void PlacementSupervisor::Stop(std::function<void()> done) {
  children_.Stop(std::move(done));
}

bool PlacementSupervisor::ApplyTables(LastReason& reason) {
  for (const auto& name : children_.ListNames()) children_.Remove(name);
  if (!context_.state.tables) return true;
  for (const auto& pool : context_.state.tables->spec().pools) {
    if (!pool.placement) continue;
    const bool added =
        children_.Add({.name = pool.name.text(),
                       .create =
                           [this, pool](const FailureHandler& /*on_failure*/) {
                             return Child(std::make_shared<PoolPlacement>(
                                 context_, table_service_, pool, token_));
                           }},
                      reason);
    if (!added) return false;
  }
  return true;
}

}  // namespace wisteriayoke
