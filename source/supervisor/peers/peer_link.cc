#include "supervisor/peers/peer_link.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <utility>

#include "base/overloaded.h"
#include "supervisor/context/log.h"
#include "supervisor/context/server_limits.h"
#include "wire/datagram_codec.h"
#include "wire/mirror_codec.h"
#include "wire/passed_request.h"
#include "wire/store_codec.h"

namespace wisteriayoke {
namespace {

constexpr Duration kLoadInterval = std::chrono::milliseconds(300);
/// Time between two repeats of what the quarantines refuse; a daemon that
/// starts must know it within a few seconds.
constexpr Duration kRepeatInterval = std::chrono::seconds(1);
/// One in so many repeats is of blocked segments, if contents are refused too.
constexpr unsigned kSegmentsInterval = 4;
/// Refused contents that a daemon that joins is told at once.
constexpr std::size_t kContentsForJoin = 24;
/// Largest in-flight count that a message can encode.
constexpr std::uint32_t kMaxInFlight =
    std::numeric_limits<std::uint16_t>::max();
/// Connections of peers that fetch content, and of those that pass requests on.
constexpr std::size_t kMaxContentConnections = 32;
constexpr std::size_t kMaxPassedRequests = 512;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

/// Returns an incarnation above that of any earlier run on this instance: the
/// Unix time in microseconds.
std::uint64_t FirstIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

Member MakeSelf(const Settings& settings) {
  return {DaemonName(settings.Text(SettingKey::kDaemonName)),
          settings.EndpointOf(SettingKey::kPeersAddress), FirstIncarnation(),
          MemberStatus::kAlive};
}

}  // namespace

PeerLink::PeerLink(DaemonContext context, FailureHandler on_failure)
    : context_(context),
      on_failure_(std::move(on_failure)),
      membership_(MakeSelf(context.settings),
                  context.settings.EndpointsOf(SettingKey::kPeerSeeds),
                  std::random_device{}()),
      group_(membership_.self().name) {}

bool PeerLink::Start(LastReason& reason) {
  if (!Listen(reason)) return false;
  gossip_sender_ = context_.state.gossip.SetSender(
      [this](const GossipUpdate& update) { Feed(GossipUpdatePosted{update}); });
  Feed(TableHeadChanged{context_.state.version});
  Tick();
  ShareLoads();
  RepeatRefusals();
  return true;
}

bool PeerLink::Listen(LastReason& reason) {
  const Endpoint local =
      context_.settings.EndpointOf(SettingKey::kPeersAddress);
  udp_ = UdpEndpoint::Create(
      context_.loop, local,
      [weak = weak_from_this()](std::string_view data, const Endpoint& from) {
        if (const auto self = weak.lock()) self->HandleDatagram(data, from);
      },
      reason);
  if (!udp_) return false;
  HttpServerLimits limits{.connections = kMaxContentConnections};
  if (context_.settings.Interface() == FrontInterface::kRelay) {
    limits = ReadServerLimits(context_.settings);
    limits.connections = kMaxContentConnections + kMaxPassedRequests;
  }
  limits.reserved = true;
  server_ = HttpServer::Create(
      context_.loop, local, limits,
      [weak = weak_from_this()](
          const HttpRequest& request,
          const std::shared_ptr<HttpServerSession>& session) {
        const auto self = weak.lock();
        if (!self) return session->Abort();
        const auto& passed = self->context_.state.relay.passed_requests;
        if (IsPassedOn(request) && passed.Deliver(request, session)) return;
        session->Respond(self->Serve(request));
      },
      [](const LastReason&) {
        return HttpResponse{{400, {}}, ""};
      },
      reason);
  return server_ != nullptr;
}

void PeerLink::Stop(const std::function<void()>& done) {
  Feed(LeaveRequested{});
  stopped_ = true;
  tick_timer_.reset();
  load_timer_.reset();
  repeat_timer_.reset();
  gossip_sender_.reset();
  if (udp_) udp_->Close();
  if (server_) {
    server_->StopAccepting();
    server_->TerminateSessions();
  }
  done();
}

void PeerLink::Tick() {
  Feed(PeerTick{});
  if (group_.Tick(context_.loop.Now())) ApplyGroup();
  LogChanges();
  context_.state.peer_loads.Expire(context_.loop.Now());
  tick_timer_ =
      context_.loop.Schedule(Membership::kTickInterval, [this] { Tick(); });
}

void PeerLink::ShareLoads() {
  InFlightCountsPosted counted;
  for (const auto& [upstream, state] : context_.state.upstreams.states()) {
    if (state.in_flight == 0) continue;
    counted.counts.push_back(
        {DigestOf(upstream),
         static_cast<std::uint16_t>(std::min(state.in_flight, kMaxInFlight))});
  }
  Feed(counted);
  load_timer_ = context_.loop.Schedule(kLoadInterval, [this] { ShareLoads(); });
}

/// Repeats what the quarantines refuse to some peers, which may have missed it
/// while they were stopped, suspended or cut off. All daemons do it, since any
/// of them may have missed it itself.
void PeerLink::RepeatRefusals() {
  const TimePoint now = context_.loop.Now();
  auto updates = context_.state.quarantine.RepeatRefused(1, now);
  if (updates.empty() || ++repeats_ % kSegmentsInterval == 0) {
    auto blocks = context_.state.relay.segments.RepeatBlocks(now);
    if (!blocks.empty()) updates = std::move(blocks);
  }
  Feed(RepeatsPosted{std::move(updates)});
  repeat_timer_ =
      context_.loop.Schedule(kRepeatInterval, [this] { RepeatRefusals(); });
}

/// Tells a daemon that joins what the quarantines refuse.
void PeerLink::SendRefusals(const Endpoint& to) {
  const TimePoint now = context_.loop.Now();
  Feed(RepeatsPosted{context_.state.relay.segments.RepeatBlocks(now), to});
  Feed(RepeatsPosted{
      context_.state.quarantine.RepeatRefused(kContentsForJoin, now), to});
}

void PeerLink::HandleDatagram(std::string_view data, const Endpoint& from) {
  LastReason reason;
  const auto message = ParseDatagram(data, reason);
  if (!message) {
    context_.state.timeline.Record(
        LogLevel::kWarning, EventKind::kDatagramDropped, reason.code(),
        {{"from", from.ToString()}, {"reason", reason.message()}});
    return;
  }
  context_.state.timeline.AdvancePast(
      {message->clock_us, message->clock_counter});
  if (const auto* ack = std::get_if<Ack>(&message->content)) {
    HandleProof(*message, *ack);
  }
  Feed(PeerMessageArrived{*message, from});
  if (message->store) {
    context_.state.relay.peer_views.Deliver(*message->store, from);
  }
}

/// Takes over the peer's proof that the tables are up to date, if this daemon's
/// tables are at least as new as the peer's and of the same era of the store.
void PeerLink::HandleProof(const PeerMessage& message, const Ack& ack) {
  const auto proven =
      proofs_.TakeProof(ack.sequence, ack.proof_age, context_.loop.BootNow());
  RelayState& relay = context_.state.relay;
  const StoreVersion head =
      message.store ? message.store->tables.head : StoreVersion();
  const StoreVersion known = relay.mirrors.tables.view().head;
  const bool up_to_date =
      head > StoreVersion() && known >= head && known.era() == head.era();
  if (!proven || !up_to_date || !relay.document_valid) return;
  if (!relay.freshness.RecordProof(*proven)) return;
  relay.proof_source = message.sender.name.text();
}

void PeerLink::Feed(const PeerEvent& event) {
  if (stopped_) return;
  for (const auto& action : membership_.Handle(event, context_.loop.Now())) {
    std::visit(Overloaded{
                   [this](const SendPeerMessage& send) { SendMessage(send); },
                   [this](const MemberChanged& changed) {
                     HandleMember(changed.member);
                   },
                   [this](const GossipUpdateReceived& received) {
                     HandleGossipUpdate(received);
                   },
                   [this](const JoinRequested& joining) {
                     SendRefusals(joining.from);
                   },
                   [this](const TableHeadReceived& received) {
                     HandleHead(received.head, received.source);
                   },
                   [this](const InFlightCountsReceived& received) {
                     context_.state.peer_loads.Record(
                         received.daemon, received.counts, context_.loop.Now());
                   },
               },
               action);
  }
}

void PeerLink::SendMessage(const SendPeerMessage& action) {
  PeerMessage message = action.message;
  const HybridTime time = context_.state.timeline.Tick();
  message.clock_us = time.wall_us;
  message.clock_counter = time.counter;
  const StoreView view = context_.state.relay.mirrors.View();
  if (CarriesStoreView(message.content) && view != StoreView{}) {
    message.store = view;
  }
  if (const auto* ping = std::get_if<Ping>(&message.content)) {
    proofs_.RecordPing(ping->sequence, context_.loop.BootNow());
  }
  if (auto* ack = std::get_if<Ack>(&message.content)) {
    ack->proof_age =
        context_.state.relay.freshness.AgeAt(context_.loop.BootNow());
  }
  LastReason reason;
  const auto data = EncodeDatagram(std::move(message), reason);
  if (data) return udp_->Send(*data, action.to);
  context_.state.timeline.Record(LogLevel::kError, EventKind::kDatagramDropped,
                                 reason.code(), {{"reason", reason.message()}});
}

void PeerLink::HandleMember(const Member& member) {
  const TimePoint now = context_.loop.Now();
  std::vector<Endpoint> peers;
  for (const auto& present : membership_.members().ListPresent()) {
    peers.push_back(present.endpoint);
  }
  context_.state.relay.pass_targets.SetPeers(std::move(peers));
  if (group_.Record(member, now)) ApplyGroup();
  if (!group_.Contains(member.name)) {
    context_.state.peer_loads.Drop(member.name);
  }
  if (!changes_.Record(member.status, now)) return;
  context_.state.timeline.Record(
      LogLevel::kInfo, EventKind::kMemberChanged, ResultCode::kOk,
      {{"member", member.name.text()},
       {"status", std::string(kMemberStatusNames.NameOf(member.status))},
       {"incarnation", std::to_string(member.incarnation)}});
}

/// Passes the settled view of the group on to what depends on it.
void PeerLink::ApplyGroup() {
  context_.state.peer_loads.SetPeerCount(group_.size() - 1);
  context_.state.rank = group_.RankByName();
  context_.state.relay.follow_rank = group_.RankByDigest();
  context_.state.relay.group_size = group_.size();
}

void PeerLink::LogChanges() {
  auto counts = changes_.TakeDue(context_.loop.Now());
  if (counts.empty()) return;
  context_.state.timeline.Record(
      LogLevel::kInfo, EventKind::kMembersChanged, ResultCode::kOk,
      {{"alive", std::to_string(counts[MemberStatus::kAlive])},
       {"suspect", std::to_string(counts[MemberStatus::kSuspect])},
       {"dead", std::to_string(counts[MemberStatus::kDead])},
       {"left", std::to_string(counts[MemberStatus::kLeft])},
       {"group", std::to_string(group_.size())}});
}

void PeerLink::HandleGossipUpdate(const GossipUpdateReceived& received) {
  if (const auto* head = std::get_if<TableHeadUpdate>(&received.update)) {
    return HandleHead(head->version, received.source);
  }
  context_.state.gossip.Deliver(received.update);
}

void PeerLink::HandleHead(const TableVersion& head, const Endpoint& sender) {
  const TableVersion& in_force = context_.state.version;
  if (head.number < in_force.number || head == in_force) return;
  if (head.number >= head_.number) {
    head_ = head;
    head_peer_ = sender;
  }
  context_.state.gossip.Deliver(TableHeadUpdate{head});
}

void PeerLink::SetListedPeers(const std::vector<Endpoint>& listed) {
  SeedsChanged changed{context_.settings.EndpointsOf(SettingKey::kPeerSeeds)};
  changed.seeds.insert(changed.seeds.end(), listed.begin(), listed.end());
  Feed(changed);
}

void PeerLink::AnnounceStoreView() { Feed(AnnounceRequested{}); }

void PeerLink::SetHeadInForce(const TableVersion& head) {
  Feed(TableHeadChanged{head});
}

std::optional<Endpoint> PeerLink::ChooseContentPeer(const std::string& hash) {
  if (head_.hash == hash && head_peer_) return std::exchange(head_peer_, {});
  return membership_.SampleMember();
}

std::vector<Member> PeerLink::ListMembers() const {
  std::vector<Member> members = membership_.members().ListPresent();
  members.push_back(membership_.self());
  return members;
}

HttpResponse PeerLink::Serve(const HttpRequest& request) const {
  return request.target.starts_with(kMirrorPrefix) ? ServeRows(request.target)
                                                   : ServeContent(request);
}

/// Serves the changes of a mirrored table after a version.
HttpResponse PeerLink::ServeRows(std::string_view target) const {
  const RelayState& relay = context_.state.relay;
  const auto wanted = ParseMirrorTarget(target);
  if (!wanted || !relay.mirrors.Of(wanted->table).complete()) {
    return {{kStatusNotFound, {}}, ""};
  }
  return {{kStatusOk, {{"Content-Type", "application/octet-stream"}}},
          EncodeMirrorPage(
              relay.mirrors.Of(wanted->table).ChangesAfter(wanted->after))};
}

HttpResponse PeerLink::ServeContent(const HttpRequest& request) const {
  const DaemonState& state = context_.state;
  const std::string target = TableContentTarget(state.version.hash);
  if (state.version.number == 0 || request.target != target) {
    return {{kStatusNotFound, {}}, ""};
  }
  return {{kStatusOk, {{"Content-Type", "application/json"}}},
          state.table_content};
}

}  // namespace wisteriayoke
