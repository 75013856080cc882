#include "Fleet/Metrics.h"

#include <algorithm>

namespace filbertwall {
namespace {

using Samples = std::vector<MetricSample>;

void AddCounter(Samples& samples, const std::string& name,
                const std::string& help, std::uint64_t value,
                const std::string& label = "") {
  samples.push_back(MetricSample{.name = "filbertwall_" + name,
                                 .help = help,
                                 .label = label,
                                 .value = Counter{.value = value}});
}

void AddGauge(Samples& samples, const std::string& name,
              const std::string& help, double value,
              const std::string& label = "") {
  samples.push_back(MetricSample{.name = "filbertwall_" + name,
                                 .help = help,
                                 .label = label,
                                 .value = Gauge{.value = value}});
}

void AddHistogram(Samples& samples, const std::string& name,
                  const std::string& help, const Histogram& histogram) {
  samples.push_back(MetricSample{
      .name = "filbertwall_" + name, .help = help, .value = histogram});
}

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

/// `refused_reports` are the calls that the reducer refused as invalid.
void AddProcessMetrics(Samples& samples, const ProcessStatistics& process,
                       const InputErrorCounts& refused_reports = {}) {
  AddCounter(samples, "log_lines_lost_total",
             "Log lines that a slow reader did not take.",
             process.log_lines_lost);
  AddCounter(samples, "malformed_messages_total",
             "Datagrams between instances that could not be read.",
             process.malformed_messages);
  for (std::size_t i = 0; i < kInputErrorCount; ++i) {
    const auto error = static_cast<InputError>(i);
    AddCounter(samples, "refused_calls_total",
               "Calls that could not be read or were invalid, by reason.",
               process.refused_calls.Get(error) + refused_reports.Get(error),
               InputErrorName(error));
  }
  AddCounter(samples, "message_bytes_sent_total",
             "Bytes sent to other instances, without transport headers.",
             process.message_bytes_sent);
}

void AddSetAsideMetrics(Samples& samples, const InputErrorCounts& set_aside) {
  for (std::size_t i = 0; i < kInputErrorCount; ++i) {
    const auto error = static_cast<InputError>(i);
    AddCounter(samples, "records_set_aside_total",
               "Received or stored records that could not be used, by reason.",
               set_aside.Get(error), InputErrorName(error));
  }
}

void AddServerMetrics(Samples& samples, const Registry& registry) {
  double ready = 0;
  double draining = 0;
  double silent = 0;
  double slow = 0;
  for (const auto& [id, server] : registry.servers) {
    const bool is_ready = server.record.phase() == wire::SERVER_READY;
    const bool is_draining = server.record.phase() == wire::SERVER_DRAINING;
    ready += is_ready && !server.record.silent() ? 1 : 0;
    silent += is_ready && server.record.silent() ? 1 : 0;
    draining += is_draining ? 1 : 0;
    slow += is_ready && server.record.slowness_percent() > 0 ? 1 : 0;
  }
  const std::string help = "Backend servers that are known, by state.";
  AddGauge(samples, "servers", help, ready, "ready");
  AddGauge(samples, "servers", help, draining, "draining");
  AddGauge(samples, "servers", help, silent, "silent");
  AddGauge(samples, "slow_servers",
           "Ready backend servers that work more slowly than others.", slow);
}

/// Metrics that show why a control instance does not become a voter.
void AddMembershipMetrics(Samples& samples, const Replica& replica,
                          TimePoint now) {
  AddGauge(samples, "voters", "Voting control instances.",
           replica.committed.members_size());
  AddGauge(samples, "voters_leaving",
           "Voting control instances that are stopped, by their own word.",
           static_cast<double>(CountLeavingVoters(replica)));
  const auto up_to_date = std::count_if(
      replica.standbys.begin(), replica.standbys.end(),
      [now](const auto& item) { return IsUpToDate(item.second, now); });
  const std::string standbys_help =
      "Control instances that follow this leader and do not vote, by whether "
      "they have caught up.";
  AddGauge(samples, "standbys", standbys_help, static_cast<double>(up_to_date),
           "up_to_date");
  AddGauge(samples, "standbys", standbys_help,
           static_cast<double>(replica.standbys.size()) -
               static_cast<double>(up_to_date),
           "behind");
  const std::string help =
      "Requests to become a voter, by whether the sender had all entries.";
  AddCounter(samples, "join_requests_total", help,
             replica.membership.joins_behind, "behind");
  AddCounter(samples, "join_requests_total", help,
             replica.membership.joins_up_to_date, "up_to_date");
  AddCounter(samples, "voter_changes_deferred_total",
             "Times that a change to the voters waited for another change.",
             replica.membership.changes_deferred);
}

/// Metrics of the setting `balance_by_load`, as of the last new flows.
void AddBalanceMetrics(Samples& samples, const Placement& placement) {
  double max_load = 1;
  double max_share = 0;
  for (const LoadView& view : placement.load_views) {
    for (const DataCentreView& data_centre : view.data_centres) {
      max_load = std::max(max_load, data_centre.load);
      max_share = std::max(max_share, data_centre.diverted_share);
    }
  }
  AddGauge(samples, "data_centre_load",
           "Duration of flows by that without load, highest of all services "
           "and data centres.",
           max_load);
  AddGauge(samples, "diverted_share",
           "Share of new flows that leave a loaded data centre, highest of all "
           "services and data centres.",
           max_share);
  AddCounter(samples, "flows_diverted_total",
             "New flows placed elsewhere because of the load of a data centre.",
             placement.diverted_flows);
}

void AddWarmupMetrics(Samples& samples, const Placement& placement,
                      TimePoint now) {
  const WarmupBudget& budget = placement.warmup;
  const std::string help =
      "New flows of services with a warm-up limit, by what was decided.";
  AddCounter(samples, "warmup_flows_total", help, budget.counters.placed,
             "placed");
  AddCounter(samples, "warmup_flows_total", help, budget.counters.refused,
             "refused");
  AddCounter(samples, "warmup_flows_total", help, budget.counters.unconfirmed,
             "unconfirmed");
  AddGauge(samples, "warmup_leased_flows",
           "New flows a second to cold servers that valid leases allow here.",
           static_cast<double>(CountLeasedFlows(budget, now)));
}

void AddWarmupMetrics(Samples& samples, const WarmupGrants& grants) {
  const std::string help = "Requests for leases on warm-up limits.";
  AddCounter(samples, "warmup_requests_total", help, grants.counters.granted,
             "answered");
  AddCounter(samples, "warmup_requests_total", help, grants.counters.refused,
             "ignored");
  const WarmupTotals totals = SumWarmupLeases(grants.leases);
  AddGauge(samples, "warmup_leased_flows",
           "New flows a second to cold servers that are leased.",
           static_cast<double>(totals.leased));
  AddGauge(samples, "warmup_cold_servers",
           "Cold servers with a limit that were asked for.",
           static_cast<double>(totals.cold_servers));
}

/// Adds who was refused by admission control, and why.
void AddAdmissionMetrics(Samples& samples, const Admission& admission) {
  const AdmissionCounters& counters = admission.counters;
  const std::string flows_help =
      "New flows that admission control decided on, by decision.";
  AddCounter(samples, "admission_flows_total", flows_help, counters.admitted,
             "admitted");
  AddCounter(samples, "admission_flows_total", flows_help, counters.refused,
             "refused");
  AddCounter(samples, "admission_flows_total", flows_help, counters.starved,
             "starved");
  AddCounter(samples, "admission_flows_total", flows_help, counters.unfair,
             "unfair");
  const std::size_t last = counters.refused_by_priority.size() - 1;
  for (std::size_t i = 0; i <= last; ++i) {
    AddCounter(samples, "refused_by_priority_total",
               "New flows refused for load, by the priority of their route.",
               counters.refused_by_priority.at(i),
               std::to_string(i) + (i == last ? "+" : ""));
  }
}

std::size_t CountEvacuated(const ControlInstance& instance) {
  std::set<std::string> names = instance.evacuations.in_force;
  names.insert(instance.evacuations.by_rules.begin(),
               instance.evacuations.by_rules.end());
  return names.size();
}

/// `seq` is the log entry of the newest known command.
void AddEvacuationMetrics(Samples& samples, std::size_t evacuated,
                          std::uint64_t seq) {
  AddGauge(samples, "evacuated_data_centres",
           "Data centres whose servers get no new flow.",
           static_cast<double>(evacuated));
  AddGauge(samples, "evacuations_seq",
           "Log entry of the newest known evacuation command.",
           static_cast<double>(seq));
}

void AddEvacuationMetrics(Samples& samples, const EntryInstance& instance) {
  AddEvacuationMetrics(samples, instance.forwarder.placement.evacuated.size(),
                       instance.evacuations.seq);
}

void AddEvacuationOrderMetrics(Samples& samples,
                               const ControlCounters& counters) {
  const std::string orders_help =
      "Evacuation commands that were answered here, by answer.";
  AddCounter(samples, "evacuation_orders_total", orders_help,
             counters.evacuations_accepted, "accepted");
  AddCounter(samples, "evacuation_orders_total", orders_help,
             counters.evacuations_refused, "refused");
  AddCounter(samples, "evacuation_orders_total", orders_help,
             counters.evacuations_unavailable, "unavailable");
}

/// Metrics of tokens that several backend servers have.
void AddTokenMetrics(Samples& samples, const Forwarder& forwarder) {
  const Placement& placement = forwarder.placement;
  AddGauge(samples, "shared_tokens",
           "Tokens that several backend servers known here have.",
           static_cast<double>(placement.tokens.shared.size()));
  const auto without_token = std::count_if(
      placement.servers.begin(), placement.servers.end(),
      [](const PlacedServer& server) { return server.token == kNoToken; });
  AddGauge(samples, "servers_without_token",
           "Backend servers that get no new flows, as others have all of their "
           "tokens.",
           static_cast<double>(without_token));
  const std::string help =
      "Packets with such a token, by whether their flow was opened here.";
  AddCounter(samples, "shared_token_packets_total", help,
             forwarder.counters.shared_token_own, "own");
  AddCounter(samples, "shared_token_packets_total", help,
             forwarder.counters.shared_token_other, "other");
}

/// Adds what was decided on packets of callers.
void AddPacketMetrics(Samples& samples, const Forwarder& forwarder,
                      std::uint64_t malformed_packets) {
  const ForwarderCounters& counters = forwarder.counters;
  const std::string packets_help = "Packets of callers, by what was decided.";
  AddCounter(samples, "packets_total", packets_help, counters.forwarded,
             "forwarded");
  AddCounter(samples, "packets_total", packets_help, counters.placed, "placed");
  AddCounter(samples, "packets_total", packets_help, counters.placed_again,
             "placed_again");
  AddCounter(samples, "packets_total", packets_help, counters.no_route,
             "no_route");
  AddCounter(samples, "packets_total", packets_help, counters.no_server,
             "no_server");
  AddCounter(samples, "packets_total", packets_help,
             counters.no_server_in_region, "no_server_in_region");
  AddCounter(samples, "packets_total", packets_help, counters.overload,
             "overload");
  AddCounter(samples, "packets_total", packets_help, counters.unknown_token,
             "unknown_token");
  AddCounter(samples, "packets_total", packets_help, malformed_packets,
             "malformed");
  AddTokenMetrics(samples, forwarder);
  const std::string held_help =
      "Opening packets that came before this instance served.";
  AddCounter(samples, "held_openings_total", held_help, forwarder.held.released,
             "released");
  AddCounter(samples, "held_openings_total", held_help, forwarder.held.lapsed,
             "lapsed");
  const std::string late_help =
      "Opening packets whose answers were late already, and that waited until "
      "the service had capacity.";
  AddCounter(samples, "late_openings_total", late_help, forwarder.late.released,
             "released");
  AddCounter(samples, "late_openings_total", late_help, forwarder.late.lapsed,
             "lapsed");
}

}  // namespace

std::vector<MetricSample> CollectMetrics(const EntryInstance& instance,
                                         const ProcessStatistics& process,
                                         TimePoint now) {
  Samples samples;
  AddProcessMetrics(samples, process);
  AddSetAsideMetrics(samples, instance.set_aside);
  AddServerMetrics(samples, instance.registry);
  AddPacketMetrics(samples, instance.forwarder, process.malformed_packets);
  AddCounter(samples, "packet_send_failures_total",
             "Packets that the socket did not take.", process.send_failures);
  AddCounter(samples, "flows_expired_total",
             "Flows whose end was not seen within their time limit.",
             instance.forwarder.counters.expired);
  AddCounter(samples, "orders_refused_total",
             "New flows refused for load whose requests may not be repeated.",
             instance.forwarder.admission.counters.refused_non_retryable);
  AddAdmissionMetrics(samples, instance.forwarder.admission);
  double max_slowness = 0;
  for (std::uint32_t i = 0; i < instance.forwarder.admission.services.size();
       ++i) {
    max_slowness = std::max(
        max_slowness, ExpectedSlowness(instance.forwarder.admission, i, now));
  }
  AddEvacuationMetrics(samples, instance);
  AddGauge(samples, "expected_slowness",
           "Expected time to an answer by its objective, slowest service.",
           max_slowness);
  AddGauge(samples, "flows_open", "Flows that were opened here.",
           static_cast<double>(instance.forwarder.flows.size()));
  const auto avoided = std::count_if(
      instance.forwarder.placement.servers.begin(),
      instance.forwarder.placement.servers.end(),
      [&](const PlacedServer& server) { return now < server.avoid_until; });
  AddGauge(samples, "servers_avoided",
           "Backend servers left out because they did not answer.",
           static_cast<double>(avoided));
  AddWarmupMetrics(samples, instance.forwarder.placement, now);
  AddBalanceMetrics(samples, instance.forwarder.placement);
  AddGauge(samples, "rules_version", "Version of the rules in force.",
           static_cast<double>(instance.forwarder.routes.version));
  AddGauge(samples, "rules_age_seconds",
           "Time since a control instance confirmed the newest rules.",
           SecondsBetween(instance.primary_fresh_at, now));
  AddGauge(samples, "serving", "1 when new flows may be sent here.",
           IsReady(instance) ? 1 : 0);
  AddHistogram(samples, "packet_batch_seconds",
               "From receiving packets to having sent them on.", process.batch);
  AddHistogram(samples, "first_answer_seconds",
               "From a flow's first packet to its caller's next one.",
               instance.forwarder.first_answer);
  return samples;
}

std::vector<MetricSample> CollectMetrics(const ControlInstance& instance,
                                         const ProcessStatistics& process,
                                         TimePoint now) {
  Samples samples;
  AddProcessMetrics(samples, process, instance.counters.refused_reports);
  AddSetAsideMetrics(samples, instance.counters.set_aside);
  AddServerMetrics(samples, instance.registry);
  const Replica& replica = instance.replica;
  AddGauge(samples, "leader", "1 when this instance leads with a lease.",
           HasLease(replica, now) ? 1 : 0);
  AddGauge(samples, "leader_known",
           "1 when this instance leads or hears the leader.",
           HasFreshState(replica, now, replica.config.lease) ? 1 : 0);
  AddGauge(samples, "in_sync", "1 when messages pass to and from a leader.",
           instance.in_sync ? 1 : 0);
  // Deprecated name of `in_sync`, for the alerts that operators have on it.
  AddGauge(samples, "in_touch", "Deprecated: the same as in_sync.",
           instance.in_sync ? 1 : 0);
  AddMembershipMetrics(samples, replica, now);
  AddGauge(samples, "rules_version", "Version of the rules in force.",
           static_cast<double>(replica.committed.rules().version()));
  AddGauge(samples, "committed_entries", "Committed entries of the log.",
           static_cast<double>(replica.committed.seq()));
  AddGauge(samples, "disk_failed", "1 while the disk takes no writes.",
           instance.disk_failed ? 1 : 0);
  AddGauge(samples, "subscribers", "Instances that are told of changes.",
           static_cast<double>(instance.subscribers.size()));
  AddWarmupMetrics(samples, instance.warmup);
  const ControlCounters& counters = instance.counters;
  AddCounter(samples, "reports_total", "Reports of backend servers.",
             counters.reports);
  AddCounter(samples, "reports_unconfirmed_total",
             "Leaving servers that no other control instance confirmed.",
             counters.reports_unconfirmed);
  AddCounter(samples, "submissions_total", "Rules files handed over here.",
             counters.submissions);
  AddEvacuationMetrics(samples, CountEvacuated(instance),
                       replica.committed.evacuation_seq());
  AddEvacuationOrderMetrics(samples, counters);
  AddCounter(samples, "reads_undecided_total",
             "Reads refused as an earlier leader's entry was not committed.",
             counters.reads_undecided);
  AddCounter(samples, "elections_won_total", "Times this instance led.",
             counters.elections_won);
  AddHistogram(samples, "commit_seconds",
               "From proposing rules to a majority having stored them.",
               instance.commit_time);
  AddHistogram(samples, "sync_seconds", "Durable writes of the log.",
               process.sync);
  return samples;
}

}  // namespace filbertwall
