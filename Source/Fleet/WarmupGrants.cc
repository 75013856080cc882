#include "Fleet/WarmupGrants.h"

#include "Base/Endpoint.h"
#include "Fleet/ControlContext.h"

/// Warm-ups of backend servers, and the leases that the leader grants on the
/// limits of cold servers.
namespace filbertwall {
namespace {

/// Interval between two searches of the registry for cold servers. Until then,
/// a server that has become cold gets no flows.
constexpr Milliseconds kRefreshInterval{250};
/// Minimum interval when the registry has changed.
constexpr Milliseconds kMinRefreshInterval{20};
/// A server is granted for this long after its warm-up: entry instances may
/// have heard of it later, and would find no lease.
constexpr Milliseconds kWarmupGrace{1000};

bool IsColdServer(const Server& server, TimePoint now) {
  const wire::ServerRecord& record = server.record;
  return record.phase() == wire::SERVER_READY && !record.silent() &&
         record.warmup_ms() > 0 &&
         now < server.updated_at + Milliseconds(record.warmup_ms()) +
                   kWarmupGrace;
}

/// Updates the cold servers in the table of leases, when due.
void RefreshColdServers(ControlContext& context) {
  ControlInstance& instance = context.instance;
  WarmupGrants& grants = instance.warmup;
  const bool changed = grants.refreshed_change != instance.registry.change;
  const Milliseconds interval =
      changed ? kMinRefreshInterval : kRefreshInterval;
  if (context.now - grants.refreshed_at < interval) {
    return;
  }
  grants.refreshed_at = context.now;
  grants.refreshed_change = instance.registry.change;
  std::map<std::string, std::vector<ColdServer>> cold;
  for (const auto& [service, pool] : grants.leases.pools) {
    cold[service];  // A service without cold servers has its list emptied.
  }
  for (const auto& [id, server] : instance.registry.servers) {
    const auto limit = grants.limits.find(server.record.service());
    if (limit != grants.limits.end() && IsColdServer(server, context.now)) {
      cold[limit->first].push_back(
          ColdServer{.id = id,
                     .incarnation = server.record.incarnation(),
                     .flows_per_second = limit->second.flows_per_second});
    }
  }
  for (const auto& [service, servers] : cold) {
    SetColdServers(grants.leases, service, servers);
  }
}

/// Returns whether this instance may grant leases: it leads, and no lease of an
/// earlier leader can still be in use.
bool MayGrant(ControlContext& context) {
  ControlInstance& instance = context.instance;
  WarmupGrants& grants = instance.warmup;
  const Replica& replica = instance.replica;
  if (instance.disk_failed || !HasNewestState(replica, context.now)) {
    return false;
  }
  const Milliseconds wait = InheritedLeaseTime(grants.leases.timing);
  if (context.now >= replica.elected_at + wait) {
    return true;
  }
  if (grants.wait_logged_for != replica.elected_at) {
    grants.wait_logged_for = replica.elected_at;
    Log(context, EventId::kWarmupLeasesWait,
        "wait_ms=" + std::to_string(MillisecondsBetween(
                         context.now, replica.elected_at + wait)));
  }
  return false;
}

/// Starts the warm-up of a server, if its service has a limit.
void StartServerWarmup(ControlContext& context, const std::string& id,
                       const std::string& reason) {
  ControlInstance& instance = context.instance;
  const auto server = instance.registry.servers.find(id);
  if (server == instance.registry.servers.end()) {
    return;
  }
  const auto limit =
      instance.warmup.limits.find(server->second.record.service());
  if (limit == instance.warmup.limits.end()) {
    return;
  }
  if (StartWarmup(instance.registry, id, limit->second.duration, context.now)) {
    SchedulePush(context);
  }
  const Milliseconds remaining = RemainingWarmup(server->second, context.now);
  if (remaining.count() > 0) {
    Log(context, EventId::kWarmupStarted,
        "server=" + id + " service=" + limit->first + " warmup_ms=" +
            std::to_string(remaining.count()) + " flows_per_second=" +
            std::to_string(limit->second.flows_per_second) +
            " reason=" + reason);
  }
}

}  // namespace

void ApplyWarmupLimits(ControlContext& context, const Rules& rules) {
  WarmupGrants& grants = context.instance.warmup;
  grants.limits.clear();
  for (const auto& [name, rule] : rules.services) {
    const std::uint32_t flows_per_second = WholeFlowsPerSecond(rule.warmup);
    if (flows_per_second > 0) {
      grants.limits[name] = WarmupLimit{.duration = rule.warmup.duration,
                                        .flows_per_second = flows_per_second};
    }
  }
  grants.refreshed_at = {};
}

bool StartsNewLife(const ControlContext& context,
                   const wire::ServerRecord& record) {
  const ControlInstance& instance = context.instance;
  if (record.phase() == wire::SERVER_GONE) {
    return false;
  }
  const auto known = instance.registry.servers.find(record.id());
  if (known != instance.registry.servers.end()) {
    return record.incarnation() > known->second.record.incarnation();
  }
  // An instance that has just started may not know yet which servers were
  // running before.
  const Milliseconds limit =
      instance.config.announce_interval * kIntervalsUntilSettled;
  return instance.settled && context.now - instance.started_at >= limit;
}

void StartWarmupOfNewServer(ControlContext& context, const std::string& id) {
  StartServerWarmup(context, id, "new");
}

void StartWarmupOfDataCentre(ControlContext& context,
                             const std::string& data_centre) {
  for (const auto& [id, server] : context.instance.registry.servers) {
    if (server.record.data_centre() == data_centre &&
        server.record.phase() != wire::SERVER_GONE) {
      StartServerWarmup(context, id, "returned");
    }
  }
}

void NoteEvacuations(ControlContext& context) {
  ControlInstance& instance = context.instance;
  std::set<std::string> evacuated = instance.evacuations.by_rules;
  for (const wire::Evacuation& item :
       instance.replica.committed.evacuations()) {
    evacuated.insert(item.data_centre());
  }
  evacuated.swap(instance.warmup.evacuated);
  for (const std::string& before : evacuated) {
    if (!instance.warmup.evacuated.contains(before)) {
      StartWarmupOfDataCentre(context, before);
    }
  }
}

InstanceAddress WarmupLeader(const ControlContext& context) {
  const ControlInstance& instance = context.instance;
  if (instance.warmup.limits.empty()) {
    return 0;
  }
  return HasLease(instance.replica, context.now) ? instance.config.self
                                                 : RedirectTarget(context);
}

void HandleWarmupRequest(ControlContext& context, InstanceAddress from,
                         const wire::WarmupRequest& request) {
  WarmupGrants& grants = context.instance.warmup;
  if (!MayGrant(context)) {
    grants.counters.refused += 1;
    return;
  }
  RefreshColdServers(context);
  const WarmupHolder holder{.instance = from,
                            .incarnation = request.incarnation()};
  wire::FleetMessage message;
  wire::WarmupGrant& grant = *message.mutable_warmup_grant();
  grant.set_incarnation(request.incarnation());
  grant.set_echoed_us(request.sent_us());
  for (const wire::WarmupDemand& demand : request.demands()) {
    for (const GrantedLease& lease :
         GrantWarmupLeases(grants.leases, demand.service(), holder,
                           demand.flows_per_second(), context.now)) {
      wire::WarmupLease& item = *grant.add_leases();
      item.set_server(lease.server);
      item.set_incarnation(lease.incarnation);
      item.set_flows_per_second(lease.flows_per_second);
    }
  }
  grants.counters.granted += 1;
  context.effects.emplace_back(
      SendMessage{.to = from, .message = std::move(message)});
}

void ExpireWarmup(ControlContext& context) {
  ExpireWarmupLeases(context.instance.warmup.leases, context.now);
}

}  // namespace filbertwall
