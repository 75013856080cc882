#include "Registry/Registry.h"

#include <algorithm>
#include <iterator>

namespace filbertwall {
namespace {

constexpr std::size_t kMaxNameBytes = 200;

/// Returns whether a text in UTF-8 has a control character of ASCII or Latin-1.
bool HasControlCharacters(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  constexpr unsigned char kLatin1Lead = 0xC2;
  constexpr unsigned char kLastLatin1Control = 0x9F;
  unsigned char previous = 0;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < kFirstPrintable || byte == kDelete ||
        (previous == kLatin1Lead && byte <= kLastLatin1Control)) {
      return true;
    }
    previous = byte;
  }
  return false;
}

std::optional<InputError> CheckName(std::string_view text,
                                    std::size_t max_bytes) {
  if (text.empty() || text.size() > max_bytes) {
    return InputError::kOutOfRange;
  }
  if (!IsUtf8(text)) {
    return InputError::kNotUtf8;
  }
  return HasControlCharacters(text) ? std::optional(InputError::kOutOfRange)
                                    : std::nullopt;
}

/// Returns a description of the first error in the names of a record.
std::string CheckNames(const wire::ServerRecord& record) {
  const bool gone = record.phase() == wire::SERVER_GONE;
  if (CheckServerName(record.id())) {
    return std::string("id: expected ") + kServerNameSyntax;
  }
  if (record.service().empty()
          ? !gone
          : CheckName(record.service(), kMaxServiceBytes).has_value()) {
    return "service: expected 1 to 600 bytes of UTF-8 without control "
           "characters";
  }
  if (!record.data_centre().empty() && CheckServerName(record.data_centre())) {
    return std::string("data centre: expected ") + kServerNameSyntax;
  }
  return "";
}

/// Returns whether a warm-up with `next` left is a new one for a server that
/// had `remaining` left. Messages are under way for some time, so about as much
/// is no new one.
bool StartsAnew(Milliseconds next, Milliseconds remaining) {
  constexpr Milliseconds kMinTolerance{200};
  constexpr Milliseconds kMaxTolerance{1000};
  return next - remaining > std::clamp(next / 2, kMinTolerance, kMaxTolerance);
}

/// Returns whether `next` takes precedence over `server`.
bool Supersedes(const wire::ServerRecord& next, const Server& server,
                TimePoint now) {
  const wire::ServerRecord& known = server.record;
  if (next.incarnation() != known.incarnation()) {
    return next.incarnation() > known.incarnation();
  }
  if (known.phase() == wire::SERVER_GONE || next.phase() == wire::SERVER_GONE) {
    return next.phase() == wire::SERVER_GONE && known.phase() != next.phase();
  }
  if (next.sequence() != known.sequence()) {
    return next.sequence() > known.sequence();
  }
  return next.silent() != known.silent() || next.failing() != known.failing() ||
         next.slowness_percent() != known.slowness_percent() ||
         StartsAnew(Milliseconds(next.warmup_ms()),
                    RemainingWarmup(server, now));
}

/// Returns whether two records differ in a field that other instances must
/// know.
bool Differs(const wire::ServerRecord& left, const wire::ServerRecord& right) {
  const bool same =
      left.incarnation() == right.incarnation() &&
      left.phase() == right.phase() && left.silent() == right.silent() &&
      left.failing() == right.failing() &&
      left.slowness_percent() == right.slowness_percent() &&
      left.service() == right.service() && left.ip() == right.ip() &&
      left.port() == right.port() && left.slots() == right.slots();
  return !same;
}

/// Gives the server the next change number, after a change of its record.
void AssignNextChange(Registry& registry, const std::string& id,
                      Server& server) {
  registry.ids_by_change.erase(server.change);
  server.change = ++registry.change;
  registry.ids_by_change.emplace(server.change, id);
}

}  // namespace

Milliseconds RemainingWarmup(const Server& server, TimePoint now) {
  const std::int64_t remaining_ms =
      server.record.warmup_ms() - MillisecondsBetween(server.updated_at, now);
  return Milliseconds(std::max<std::int64_t>(0, remaining_ms));
}

std::optional<InputError> CheckServerName(std::string_view text) {
  return CheckName(text, kMaxNameBytes);
}

std::string CheckServerRecord(const wire::ServerRecord& record) {
  const bool gone = record.phase() == wire::SERVER_GONE;
  std::string finding = CheckNames(record);
  if (!finding.empty()) {
    return finding;
  }
  if (!wire::ServerPhase_IsValid(record.phase())) {
    return "phase: expected ready, draining or gone";
  }
  if (record.port() > UINT16_MAX ||
      (!gone && (record.ip() == 0 || record.port() == 0))) {
    return "address: expected IP:port";
  }
  if (record.slots() > kMaxServerSlots || (!gone && record.slots() == 0)) {
    return "slots: expected 1 to " + std::to_string(kMaxServerSlots);
  }
  if (record.incarnation() > kMaxIncarnation) {
    return "incarnation: expected at most " + std::to_string(kMaxIncarnation);
  }
  if (record.sequence() > kMaxSequence) {
    return "sequence: expected at most " + std::to_string(kMaxSequence);
  }
  if (record.warmup_ms() > kMaxWarmup.count()) {
    return "warm-up: expected at most 24 hours";
  }
  if (record.slowness_percent() > kMaxSlownessPercent) {
    return "slowness: expected at most " + std::to_string(kMaxSlownessPercent) +
           " percent";
  }
  return "";
}

std::string FindContradiction(const wire::ServerRecord& known,
                              const wire::ServerRecord& record) {
  if (known.incarnation() != record.incarnation()) {
    return "";
  }
  if (known.service() != record.service()) {
    return "service: expected that of the server's other reports";
  }
  if (known.ip() != record.ip() || known.port() != record.port()) {
    return "address: expected that of the server's other reports";
  }
  if (known.data_centre() != record.data_centre()) {
    return "data centre: expected that of the server's other reports";
  }
  return "";
}

bool MergeServerRecord(Registry& registry, const wire::ServerRecord& record,
                       TimePoint now) {
  const auto [position, added] = registry.servers.try_emplace(record.id());
  Server& server = position->second;
  if (added) {
    server.heard_at = now;
  } else if (!Supersedes(record, server, now)) {
    return false;
  }
  if (!record.silent()) {
    server.heard_at = std::max(server.heard_at, now);
  }
  const bool same_incarnation =
      !added && record.incarnation() == server.record.incarnation();
  const Milliseconds remaining =
      same_incarnation ? RemainingWarmup(server, now) : Milliseconds(0);
  const Milliseconds warmup(record.warmup_ms());
  const bool differs =
      added || Differs(record, server.record) || StartsAnew(warmup, remaining);
  if (!differs) {
    // The sequence number is stored so that older reports are rejected. Other
    // instances do not need it.
    server.record.set_sequence(record.sequence());
    return false;
  }
  server.record = record;
  server.record.set_warmup_ms(
      static_cast<std::uint32_t>(std::max(warmup, remaining).count()));
  server.updated_at = now;
  AssignNextChange(registry, record.id(), server);
  return true;
}

bool StartWarmup(Registry& registry, const std::string& id,
                 Milliseconds duration, TimePoint now) {
  const auto found = registry.servers.find(id);
  if (found == registry.servers.end() ||
      !StartsAnew(duration, RemainingWarmup(found->second, now))) {
    return false;
  }
  Server& server = found->second;
  server.record.set_warmup_ms(static_cast<std::uint32_t>(duration.count()));
  server.updated_at = now;
  AssignNextChange(registry, id, server);
  return true;
}

void UpdateLastHeard(Registry& registry, const std::string& id, TimePoint now) {
  const auto server = registry.servers.find(id);
  if (server == registry.servers.end()) {
    return;
  }
  server->second.heard_at = std::max(server->second.heard_at, now);
  if (server->second.record.silent()) {
    server->second.record.set_silent(false);
    AssignNextChange(registry, id, server->second);
  }
}

void SetLastHeardAtLeast(Registry& registry, TimePoint heard_at) {
  for (auto& [id, server] : registry.servers) {
    server.heard_at = std::max(server.heard_at, heard_at);
  }
}

void SetFailing(Registry& registry, const std::string& id, bool failing) {
  const auto server = registry.servers.find(id);
  if (server == registry.servers.end() ||
      server->second.record.failing() == failing) {
    return;
  }
  server->second.record.set_failing(failing);
  AssignNextChange(registry, id, server->second);
}

void SetSlowness(Registry& registry, const std::string& id,
                 std::uint32_t percent) {
  const auto server = registry.servers.find(id);
  if (server == registry.servers.end() ||
      server->second.record.slowness_percent() == percent) {
    return;
  }
  server->second.record.set_slowness_percent(percent);
  AssignNextChange(registry, id, server->second);
}

void PreserveFailingState(const Registry& registry,
                          wire::ServerRecord& record) {
  const auto known = registry.servers.find(record.id());
  const bool same = known != registry.servers.end() &&
                    known->second.record.incarnation() == record.incarnation();
  record.set_failing(same && known->second.record.failing());
  record.set_slowness_percent(same ? known->second.record.slowness_percent()
                                   : 0);
}

std::size_t MarkSilent(Registry& registry, Milliseconds limit, TimePoint now) {
  std::size_t marked = 0;
  for (auto& [id, server] : registry.servers) {
    const bool expired = now - server.heard_at > limit;
    if (expired && !server.record.silent() &&
        server.record.phase() != wire::SERVER_GONE) {
      server.record.set_silent(true);
      AssignNextChange(registry, id, server);
      marked += 1;
    }
  }
  return marked;
}

void RemoveExpiredServers(Registry& registry, Milliseconds limit,
                          TimePoint now) {
  std::erase_if(registry.servers, [&](const auto& item) {
    const Server& server = item.second;
    const bool inactive =
        server.record.phase() == wire::SERVER_GONE || server.record.silent();
    const bool removed =
        inactive && now - std::max(server.updated_at, server.heard_at) > limit;
    if (removed) {
      registry.ids_by_change.erase(server.change);
    }
    return removed;
  });
}

RecordBatch RecordsAfter(const Registry& registry, std::uint64_t change,
                         std::size_t max_records, TimePoint now) {
  RecordBatch batch{.change = registry.change};
  auto next = registry.ids_by_change.upper_bound(change);
  for (; next != registry.ids_by_change.end(); ++next) {
    if (batch.records.size() >= max_records) {
      batch.change = std::prev(next)->first;
      batch.complete = false;
      break;
    }
    const Server& server = registry.servers.at(next->second);
    batch.records.push_back(server.record);
    batch.records.back().set_warmup_ms(
        static_cast<std::uint32_t>(RemainingWarmup(server, now).count()));
  }
  return batch;
}

}  // namespace filbertwall
