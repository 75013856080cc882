#include "Registry/Registry.h"

#include <algorithm>
#include <iterator>

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
  return next.silent() != known.silent() || next.failing() != known.failing();
}

/// Whether the statements differ in what other instances must know.
bool Differs(const wire::ServerRecord& left, const wire::ServerRecord& right) {
  const bool same =
      left.incarnation() == right.incarnation() &&
      left.phase() == right.phase() && left.silent() == right.silent() &&
      left.failing() == right.failing() && left.service() == right.service() &&
      left.ip() == right.ip() && left.port() == right.port() &&
      left.slots() == right.slots();
  return !same;
}

/// Gives the server the registry's next change.
void NoteChange(Registry& registry, const std::string& id, Server& server) {
  registry.ids_by_change.erase(server.change);
  server.change = ++registry.change;
  registry.ids_by_change.emplace(server.change, id);
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
  NoteChange(registry, record.id(), server);
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
    NoteChange(registry, id, server->second);
  }
}

void SetFailing(Registry& registry, const std::string& id, bool failing) {
  const auto server = registry.servers.find(id);
  if (server == registry.servers.end() ||
      server->second.record.failing() == failing) {
    return;
  }
  server->second.record.set_failing(failing);
  NoteChange(registry, id, server->second);
}

void KeepJudgement(const Registry& registry, wire::ServerRecord& record) {
  const auto known = registry.servers.find(record.id());
  const bool same = known != registry.servers.end() &&
                    known->second.record.incarnation() == record.incarnation();
  record.set_failing(same && known->second.record.failing());
}

std::size_t MarkSilent(Registry& registry, Milliseconds limit, TimePoint now) {
  std::size_t marked = 0;
  for (auto& [id, server] : registry.servers) {
    const bool lapsed = now - server.heard_at > limit;
    if (lapsed && !server.record.silent() &&
        server.record.phase() != wire::SERVER_GONE) {
      server.record.set_silent(true);
      NoteChange(registry, id, server);
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
    const bool forgotten =
        over && now - std::max(server.stated_at, server.heard_at) > limit;
    if (forgotten) {
      registry.ids_by_change.erase(server.change);
    }
    return forgotten;
  });
}

RecordBatch RecordsAfter(const Registry& registry, std::uint64_t change,
                         std::size_t most, TimePoint now) {
  RecordBatch batch{.change = registry.change};
  auto next = registry.ids_by_change.upper_bound(change);
  for (; next != registry.ids_by_change.end(); ++next) {
    if (batch.records.size() >= most) {
      batch.change = std::prev(next)->first;
      batch.complete = false;
      break;
    }
    const Server& server = registry.servers.at(next->second);
    batch.records.push_back(server.record);
    batch.records.back().set_warmup_ms(WarmupLeft(server, now));
  }
  return batch;
}

}  // namespace filbertwall
