#include "Forwarding/HedgedOpenings.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// Limits on stored packets and on recorded flows.
constexpr std::size_t kMaxOpenings = 5000;
constexpr std::size_t kMaxRepeated = 5000;

/// A hedge is sent after this multiple of the time in which nearly all flows of
/// the data centre are accepted.
constexpr double kQuantile = 0.99;
constexpr int kDelayFactor = 2;
/// The lower limit is the time within which the forwarder takes no server for
/// silent; the upper one leaves the second server time to answer before the
/// caller retransmits after 200 ms.
constexpr Milliseconds kMinDelay{50};
constexpr Milliseconds kMaxDelay{120};
constexpr double kMinObservations = 50;

/// A packet that is due for longer has waited for this process, and so may the
/// packets of its caller.
constexpr Milliseconds kMaxLateness{20};
constexpr Milliseconds kCheckInterval{10};

/// Other callers to which a server, or a data centre, must be silent as well.
constexpr std::size_t kOtherCallersOfServer = 1;
constexpr std::size_t kOtherCallersOfDataCentre = 3;
constexpr std::size_t kMaxCallers = 8;
constexpr Milliseconds kSilenceRetention{5000};

/// Acknowledgement numbers of one answer differ by less between two packets.
constexpr std::int32_t kMaxAckStep = 1 << 20;

template <typename Item>
Item& ItemAt(std::vector<Item>& items, std::size_t index) {
  if (index >= items.size()) {
    items.resize(index + 1);
  }
  return items[index];
}

std::size_t CallersOf(const std::vector<Silence>& items, std::size_t index,
                      TimePoint now) {
  const bool known =
      index < items.size() && now - items[index].latest_at < kSilenceRetention;
  return known ? items[index].callers.size() : 0;
}

void AddCaller(Silence& silence, std::uint32_t caller, TimePoint now) {
  if (now - silence.latest_at >= kSilenceRetention) {
    silence.callers.clear();
  }
  silence.latest_at = now;
  if (silence.callers.size() < kMaxCallers) {
    silence.callers.insert(caller);
  }
}

void Store(HedgedOpenings& hedged, StoredOpening opening) {
  const FlowKey key = opening.opening.key;
  hedged.due.emplace(opening.due_at, key);
  hedged.stored[key] = std::move(opening);
}

bool IsHealthy(const HedgedOpenings& hedged, const Placement& placement,
               ServerIndex index, TimePoint now) {
  const PlacedServer& server = placement.servers[index];
  return !server.failing && now >= server.warmup_ends_at &&
         now >= server.avoid_until &&
         now >= placement.data_centres[server.data_centre].avoid_until &&
         CallersOf(hedged.silent_servers, index, now) == 0 &&
         CallersOf(hedged.silent_data_centres, server.data_centre, now) <=
             kOtherCallersOfDataCentre;
}

void RemoveExpired(HedgedOpenings& hedged, TimePoint now) {
  while (!hedged.expiries.empty() && hedged.expiries.begin()->first <= now) {
    hedged.repeated.erase(hedged.expiries.begin()->second);
    hedged.expiries.erase(hedged.expiries.begin());
  }
}

/// Returns the answer that the acknowledgement number belongs to, if any.
AnswerSpace* FindAnswer(RepeatedOpening& flow, std::uint32_t ack_number) {
  const auto found = std::find_if(
      flow.answers.begin(), flow.answers.end(), [&](const AnswerSpace& space) {
        const auto step =
            static_cast<std::int32_t>(ack_number - space.ack_number);
        return step <= kMaxAckStep && step >= -kMaxAckStep;
      });
  return found == flow.answers.end() ? nullptr : &*found;
}

void CountResult(HedgeCounters& counters, const RepeatedOpening& flow,
                 ServerIndex opened_by) {
  if (flow.hedge_server) {
    (opened_by == *flow.hedge_server ? counters.won : counters.lost) += 1;
  }
}

}  // namespace

std::optional<Milliseconds> HedgeDelayOf(const HedgedOpenings& hedged,
                                         const Placement& placement,
                                         ServerIndex server) {
  const std::uint32_t data_centre = placement.servers[server].data_centre;
  if (data_centre >= hedged.first_answers.size() ||
      hedged.first_answers[data_centre].total < kMinObservations) {
    return std::nullopt;
  }
  const auto delay = std::chrono::ceil<Milliseconds>(
      kDelayFactor * QuantileOf(hedged.first_answers[data_centre], kQuantile));
  return std::clamp(delay, kMinDelay, kMaxDelay);
}

void StoreOpening(HedgedOpenings& hedged, const Placement& placement,
                  const FlowPacket& packet, ServerIndex server,
                  std::span<const std::uint8_t> bytes, TimePoint now) {
  DiscardStoredOpening(hedged, packet.key);
  const auto delay = HedgeDelayOf(hedged, placement, server);
  if (!delay || hedged.stored.size() >= kMaxOpenings) {
    return;
  }
  auto opening = MakeHeldOpening(packet, bytes, now);
  if (!opening || now + *delay >= opening->expires_at) {
    return;
  }
  Store(hedged, StoredOpening{.opening = std::move(*opening),
                              .server = server,
                              .opened_at = now,
                              .due_at = now + *delay});
}

void DiscardStoredOpening(HedgedOpenings& hedged, const FlowKey& key) {
  const auto found = hedged.stored.find(key);
  if (found == hedged.stored.end()) {
    return;
  }
  hedged.due.erase({found->second.due_at, key});
  hedged.stored.erase(found);
}

void RecordFirstAnswer(HedgedOpenings& hedged, const Placement& placement,
                       ServerIndex server, TimePoint opened_at, TimePoint now) {
  const std::uint32_t data_centre = placement.servers[server].data_centre;
  AddDuration(ItemAt(hedged.first_answers, data_centre),
              std::chrono::duration_cast<Microseconds>(now - opened_at));
  ItemAt(hedged.silent_servers, server).callers.clear();
  ItemAt(hedged.silent_data_centres, data_centre).callers.clear();
  hedged.newest_answered_at = std::max(hedged.newest_answered_at, opened_at);
}

std::optional<StoredOpening> TakeDueOpening(HedgedOpenings& hedged,
                                            TimePoint now) {
  while (!hedged.due.empty() && hedged.due.begin()->first <= now) {
    const auto found = hedged.stored.find(hedged.due.begin()->second);
    StoredOpening opening = std::move(found->second);
    hedged.due.erase(hedged.due.begin());
    hedged.stored.erase(found);
    if (now - opening.due_at <= kMaxLateness &&
        now < opening.opening.expires_at) {
      return opening;
    }
    hedged.counters.withheld += 1;
  }
  return std::nullopt;
}

void PutOffHedge(HedgedOpenings& hedged, StoredOpening opening, TimePoint now) {
  opening.due_at = now + kCheckInterval;
  if (opening.due_at >= opening.opening.expires_at) {
    hedged.counters.withheld += 1;
    return;
  }
  Store(hedged, std::move(opening));
}

SilenceSign JudgeSilence(HedgedOpenings& hedged, const Placement& placement,
                         StoredOpening& opening, TimePoint now) {
  const std::uint32_t data_centre =
      placement.servers[opening.server].data_centre;
  if (!opening.counted) {
    opening.counted = true;
    const std::uint32_t caller = opening.opening.key.caller.ip;
    AddCaller(ItemAt(hedged.silent_servers, opening.server), caller, now);
    AddCaller(ItemAt(hedged.silent_data_centres, data_centre), caller, now);
  }
  // Packets of later flows arrive here, so the silence is not of our making.
  if (hedged.newest_answered_at <= opening.opened_at) {
    return SilenceSign::kNone;
  }
  if (CallersOf(hedged.silent_data_centres, data_centre, now) >
      kOtherCallersOfDataCentre) {
    return SilenceSign::kDataCentre;
  }
  return CallersOf(hedged.silent_servers, opening.server, now) >
                 kOtherCallersOfServer
             ? SilenceSign::kServer
             : SilenceSign::kNone;
}

bool HalfAreHealthy(const HedgedOpenings& hedged, const Placement& placement,
                    ServiceIndex service, TimePoint now) {
  if (service >= placement.usable_by_service.size()) {
    return false;
  }
  const std::vector<ServerIndex>& usable = placement.usable_by_service[service];
  const auto healthy = static_cast<std::size_t>(
      std::count_if(usable.begin(), usable.end(), [&](ServerIndex server) {
        return IsHealthy(hedged, placement, server, now);
      }));
  return 2 * healthy >= usable.size();
}

void RecordRepeatedOpening(HedgedOpenings& hedged, const FlowKey& key,
                           ServerIndex earlier, ServerIndex server,
                           TimePoint expires_at, TimePoint now) {
  const auto known = hedged.repeated.find(key);
  if (known != hedged.repeated.end()) {
    known->second.servers.push_back(server);
    return;
  }
  if (earlier != server && HasRoomForRecord(hedged, now)) {
    hedged.repeated[key] =
        RepeatedOpening{.servers = {earlier, server}, .expires_at = expires_at};
    hedged.expiries.emplace(expires_at, key);
  }
}

bool HasRoomForRecord(HedgedOpenings& hedged, TimePoint now) {
  RemoveExpired(hedged, now);
  return hedged.repeated.size() < kMaxRepeated;
}

void MarkHedge(HedgedOpenings& hedged, const FlowKey& key) {
  const auto known = hedged.repeated.find(key);
  if (known != hedged.repeated.end()) {
    known->second.hedge_server = known->second.servers.back();
  }
}

void ForgetRepeatedOpening(HedgedOpenings& hedged, const FlowKey& key) {
  const auto known = hedged.repeated.find(key);
  if (known != hedged.repeated.end()) {
    hedged.expiries.erase({known->second.expires_at, key});
    hedged.repeated.erase(known);
  }
}

std::optional<ServerIndex> ServerOfAnswer(HedgedOpenings& hedged,
                                          const FlowPacket& packet,
                                          std::optional<ServerIndex> by_token) {
  const auto known = hedged.repeated.find(packet.key);
  if (known == hedged.repeated.end()) {
    return by_token;
  }
  RepeatedOpening& flow = known->second;
  if (AnswerSpace* const answer = FindAnswer(flow, packet.ack_number)) {
    answer->ack_number = packet.ack_number;
    hedged.counters.kept_packets += by_token != answer->server ? 1 : 0;
    return answer->server;
  }
  const bool was_asked =
      by_token && std::find(flow.servers.begin(), flow.servers.end(),
                            *by_token) != flow.servers.end();
  // The acknowledgement number of a reset may be arbitrary.
  if (was_asked && !packet.aborts &&
      flow.answers.size() < flow.servers.size()) {
    if (flow.answers.empty()) {
      CountResult(hedged.counters, flow, *by_token);
    }
    flow.answers.push_back(
        AnswerSpace{.server = *by_token, .ack_number = packet.ack_number});
  }
  return by_token;
}

std::optional<ServerIndex> OpenedBy(const HedgedOpenings& hedged,
                                    const FlowKey& key) {
  const auto known = hedged.repeated.find(key);
  if (known == hedged.repeated.end() || known->second.answers.empty()) {
    return std::nullopt;
  }
  return known->second.answers.front().server;
}

TimePoint NextHedgeDue(const HedgedOpenings& hedged) {
  return hedged.due.empty() ? TimePoint::max() : hedged.due.begin()->first;
}

}  // namespace filbertwall
