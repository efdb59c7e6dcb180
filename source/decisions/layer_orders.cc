#include "decisions/layer_orders.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {

std::vector<LayerOrderAction> LayerOrders::Handle(const LayerOrderEvent& event,
                                                  TimePoint now) {
  return std::visit(
      Overloaded{
          [&](const OrdersTick& tick) { return HandleTick(tick, now); },
          [&](const LayerOrderEnded& end) {
            HandleEnd(end, now);
            return Actions{};
          },
          [&](const SequenceReported& report) {
            HandleSequence(report, now);
            return Actions{};
          },
      },
      event);
}

LayerOrders::Actions LayerOrders::HandleTick(const OrdersTick& tick,
                                             TimePoint now) {
  Follow(tick, now);
  if (MustWait(now)) return {};
  std::vector<LayerCard> cards;
  for (const auto& upstream : tick.upstreams) {
    LayerCard card = upstream.card;
    const Book& book = books_.at(card.name);
    if (book.ordered) card.held = *book.ordered;
    card.loading = book.busy || book.ordered || !book.sequence;
    cards.push_back(std::move(card));
  }
  Actions actions;
  for (const auto& [name, layers] : PlanLayers(model_, cards)) {
    Book& book = books_.at(name);
    if (book.busy || !book.sequence) continue;
    if (book.ordered.value_or(book.held) == layers) continue;
    actions.push_back(Order(name, book, layers, now));
  }
  AskUnknown(now, actions);
  return actions;
}

void LayerOrders::Follow(const OrdersTick& tick, TimePoint now) {
  for (const auto& upstream : tick.upstreams) {
    laid_out_ = laid_out_ || upstream.card.held != LayerRange{};
  }
  for (const auto& upstream : tick.upstreams) FollowOne(upstream, now);
  std::erase_if(books_, [&tick](const auto& item) {
    return std::none_of(tick.upstreams.begin(), tick.upstreams.end(),
                        [&item](const PlacedUpstream& upstream) {
                          return upstream.card.name == item.first;
                        });
  });
}

void LayerOrders::FollowOne(const PlacedUpstream& upstream, TimePoint now) {
  const auto [found, added] = books_.try_emplace(upstream.card.name);
  Book& book = found->second;
  if (added) joined_at_ = now;
  if (added || book.started_ms != upstream.started_ms) {
    const bool busy = book.busy;
    book = Book{.started_ms = upstream.started_ms, .busy = busy};
    // Before the first layout no upstream has had an order.
    if (!laid_out_) book.sequence = 0;
  }
  book.held = upstream.card.held;
  if (book.ordered == book.held) book.ordered.reset();
  if (book.ordered && now - book.ordered_at >= kLoadTime) {
    book.ordered.reset();
    book.sequence.reset();
  }
}

bool LayerOrders::MustWait(TimePoint now) const {
  const bool empty =
      std::all_of(books_.begin(), books_.end(), [](const auto& item) {
        return item.second.held == LayerRange{} && !item.second.ordered;
      });
  return empty && now - joined_at_ < kQuietTime;
}

/// Asks the upstreams of which the sequence isn't known.
void LayerOrders::AskUnknown(TimePoint now, Actions& actions) {
  for (auto& [name, book] : books_) {
    if (book.sequence || book.busy) continue;
    if (now - book.ordered_at < kAskDelay) continue;
    book.busy = true;
    actions.emplace_back(QuerySequence{name});
  }
}

LayerOrderAction LayerOrders::Order(const UpstreamName& upstream, Book& book,
                                    const LayerRange& layers, TimePoint now) {
  book.busy = true;
  book.ordered = layers;
  book.ordered_at = now;
  return SendLayerOrder{upstream, layers, *book.sequence};
}

void LayerOrders::HandleEnd(const LayerOrderEnded& end, TimePoint now) {
  const auto found = books_.find(end.upstream);
  if (found == books_.end()) return;
  Book& book = found->second;
  book.busy = false;
  if (!book.sequence) return;
  if (end.result == LayerOrderResult::kAccepted) {
    ++*book.sequence;
    return;
  }
  book.sequence.reset();
  book.ordered.reset();
  book.ordered_at = now;
}

void LayerOrders::HandleSequence(const SequenceReported& report,
                                 TimePoint now) {
  const auto found = books_.find(report.upstream);
  if (found == books_.end()) return;
  found->second.busy = false;
  if (report.loading || !report.sequence) {
    found->second.ordered_at = now;
    return;
  }
  found->second.sequence = report.sequence;
}

}  // namespace wisteriayoke
