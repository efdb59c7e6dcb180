#include "decisions/table_follower.h"

namespace wisteriayoke {

std::vector<TableAction> TableFollower::Handle(const TableEvent& event) {
  if (const auto* head = std::get_if<HeadSeen>(&event)) {
    return HandleHead(*head);
  }
  return HandleContent(std::get<ContentArrived>(event));
}

std::vector<TableAction> TableFollower::HandleHead(const HeadSeen& event) {
  if (event.version.number <= in_force_.number) return {};
  if (wanted_ && event.version.number < wanted_->number) return {};
  wanted_ = event.version;
  return {FetchContent{event.version.hash}};
}

std::vector<TableAction> TableFollower::HandleContent(
    const ContentArrived& event) {
  if (!wanted_ || wanted_->hash != event.hash) return {};
  in_force_ = *wanted_;
  wanted_.reset();
  return {PutInForce{in_force_, event.tables}};
}

}  // namespace wisteriayoke
