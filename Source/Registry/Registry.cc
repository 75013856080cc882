#include "Registry/Registry.h"

#include <algorithm>

namespace filbertwall {
namespace {

constexpr std::uint32_t kMostSlots = 100000;
constexpr std::size_t kLongestName = 200;

/// Whether `next` says something that `known` does not.
bool Supersedes(const wire::ServerRecord& next,
                const wire::ServerRecord& known) {
  if (next.incarnation() != known.incarnation()) {
    return next.incarnation() > known.incarnation();
  }
  if (known.phase() == wire::SERVER_GONE || next.phase() == wire::SERVER_GONE) {
    return next.phase() == wire::SERVER_GONE && known.phase() != next.phase();
  }
  if (next.sequence() != known.sequence()) {
    return next.sequence() > known.sequence();
  }
  return next.silent() != known.silent();
}

/// Whether the statements differ in what other instances must know.
bool Differs(const wire::ServerRecord& left, const wire::ServerRecord& right) {
  const bool same =
      left.incarnation() == right.incarnation() &&
      left.phase() == right.phase() && left.silent() == right.silent() &&
      left.service() == right.service() && left.ip() == right.ip() &&
      left.port() == right.port() && left.slots() == right.slots();
  return !same;
}

std::uint32_t WarmupLeft(const Server& server, TimePoint now) {
  const std::int64_t left =
      server.record.warmup_ms() - MillisecondsBetween(server.stated_at, now);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, left));
}

}  // namespace

std::string CheckRecord(const wire::ServerRecord& record) {
  if (record.id().empty() || record.id().size() > kLongestName) {
    return "id: expected 1 to 200 bytes";
  }
  if (record.phase() == wire::SERVER_GONE) {
    return "";
  }
  if (record.service().empty() || record.service().size() > kLongestName) {
    return "service: expected 1 to 200 bytes";
  }
  if (record.ip() == 0 || record.port() == 0 || record.port() > UINT16_MAX) {
    return "address: expected IP:port";
  }
  if (record.slots() == 0 || record.slots() > kMostSlots) {
    return "slots: expected 1 to 100000";
  }
  return "";
}

bool MergeRecord(Registry& registry, const wire::ServerRecord& record,
                 TimePoint now) {
  const auto [position, added] = registry.servers.try_emplace(record.id());
  Server& server = position->second;
  if (added) {
    server.heard_at = now;
  } else if (!Supersedes(record, server.record)) {
    return false;
  }
  if (!record.silent()) {
    server.heard_at = std::max(server.heard_at, now);
  }
  const bool differs = added || Differs(record, server.record);
  if (!differs) {
    // The sequence must be kept, but nobody else needs to hear of it.
    server.record.set_sequence(record.sequence());
    return false;
  }
  server.record = record;
  server.stated_at = now;
  server.change = ++registry.change;
  return true;
}

void NoteHeard(Registry& registry, const std::string& id, TimePoint now) {
  const auto server = registry.servers.find(id);
  if (server == registry.servers.end()) {
    return;
  }
  server->second.heard_at = std::max(server->second.heard_at, now);
  if (server->second.record.silent()) {
    server->second.record.set_silent(false);
    server->second.change = ++registry.change;
  }
}

std::size_t MarkSilent(Registry& registry, Milliseconds limit, TimePoint now) {
  std::size_t marked = 0;
  for (auto& [id, server] : registry.servers) {
    const bool lapsed = now - server.heard_at > limit;
    if (lapsed && !server.record.silent() &&
        server.record.phase() != wire::SERVER_GONE) {
      server.record.set_silent(true);
      server.change = ++registry.change;
      marked += 1;
    }
  }
  return marked;
}

void ForgetGone(Registry& registry, Milliseconds limit, TimePoint now) {
  std::erase_if(registry.servers, [&](const auto& item) {
    const Server& server = item.second;
    const bool over =
        server.record.phase() == wire::SERVER_GONE || server.record.silent();
    return over && now - std::max(server.stated_at, server.heard_at) > limit;
  });
}

std::vector<wire::ServerRecord> RecordsAfter(const Registry& registry,
                                             std::uint64_t change,
                                             TimePoint now) {
  std::vector<wire::ServerRecord> records;
  for (const auto& [id, server] : registry.servers) {
    if (server.change > change) {
      records.push_back(server.record);
      records.back().set_warmup_ms(WarmupLeft(server, now));
    }
  }
  return records;
}

}  // namespace filbertwall
