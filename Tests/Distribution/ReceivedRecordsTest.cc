#include <limits>
#include <string>

#include "Distribution/PackedContents.h"
#include "Distribution/ReceivedRecords.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

wire::Route MakeRoute(std::uint32_t port) {
  wire::Route route;
  route.set_ip(5);
  route.set_port(port);
  wire::RouteShare& share = *route.add_shares();
  share.set_service("proof");
  share.set_weight(1);
  return route;
}

/// Returns an update of version 9 with one valid route, on port 1.
wire::Update MakeUpdate() {
  wire::Update update;
  update.set_rules_version(9);
  update.mutable_routes()->set_version(9);
  *update.mutable_routes()->add_set() = MakeRoute(1);
  return update;
}

}  // namespace

TEST_GROUP(ReceivedRecords) { SetAsideRecords set_aside; };

TEST(ReceivedRecords, RoutesBeyondTheSendersVersionHideNoLaterVersion) {
  wire::Update update = MakeUpdate();
  update.mutable_routes()->set_version(
      std::numeric_limits<std::uint64_t>::max());
  this->set_aside = ReadUpdate(update);
  CHECK_FALSE(update.has_routes());
  CHECK_EQUAL(1, this->set_aside.counts.Get(InputError::kContradicts));
}

TEST(ReceivedRecords, RepeatedVotersCountOnceInAMajority) {
  wire::Update update;
  for (const std::uint32_t address : {1U, 1U, 1U, 0U, 2U, 3U}) {
    update.add_control_instances(address);
  }
  CHECK_EQUAL(1, ReadUpdate(update).total);
  LONGS_EQUAL(3, update.control_instances_size());
}

/// A duration that no flow has would make its server the slowest one.
TEST(ReceivedRecords, ImpossibleDurationsMarkNoServer) {
  wire::Outcomes outcomes;
  wire::ServerOutcome& none = *outcomes.add_servers();
  none.set_served(1);
  none.set_duration_ms(1);
  wire::ServerOutcome& longest = *outcomes.add_servers();
  longest.set_timed(2);
  longest.set_duration_ms(2 * kMaxFlowDuration.count());
  wire::ServerOutcome& longer = *outcomes.add_servers();
  longer.set_timed(2);
  longer.set_duration_ms(2 * kMaxFlowDuration.count() + 1);
  wire::ServerOutcome& many = *outcomes.add_servers();
  many.set_timed(std::numeric_limits<std::uint32_t>::max());
  CheckOutcomes(outcomes, this->set_aside);
  LONGS_EQUAL(1, outcomes.servers_size());
  CHECK_EQUAL(2, outcomes.servers(0).timed());
  CHECK_EQUAL(3, this->set_aside.counts.Get(InputError::kOutOfRange));
}

TEST(ReceivedRecords, ImpossibleOutcomesMarkNoServer) {
  wire::Outcomes outcomes;
  outcomes.add_servers()->set_failed(std::numeric_limits<std::uint32_t>::max());
  outcomes.add_servers()->set_failed(3);
  CheckOutcomes(outcomes, this->set_aside);
  LONGS_EQUAL(1, outcomes.servers_size());
  CHECK_EQUAL(3, outcomes.servers(0).failed());
}

TEST(ReceivedRecords, LastBallotBlocksNoLaterElection) {
  wire::ControlMessage message;
  message.mutable_prepare()->mutable_ballot()->set_round(7);
  CHECK_FALSE(CheckControlMessage(message).has_value());
  message.mutable_prepare()->mutable_ballot()->set_round(
      std::numeric_limits<std::uint64_t>::max());
  CHECK(CheckControlMessage(message) == InputError::kOutOfRange);
}

TEST(ReceivedRecords, UnknownPhaseAndUnknownFieldsAreBounded) {
  wire::ServerRecord record;
  record.set_id("a");
  record.set_service("proof");
  record.set_ip(7);
  record.set_port(80);
  record.set_slots(2);
  CHECK_FALSE(CheckReceivedServer(record).has_value());
  record.set_phase(static_cast<wire::ServerPhase>(77));
  CHECK(CheckReceivedServer(record) == InputError::kOutOfRange);
  record.set_phase(wire::SERVER_READY);
  record.GetReflection()->MutableUnknownFields(&record)->AddLengthDelimited(
      99, std::string(100000, 'u'));
  CHECK(CheckReceivedServer(record) == InputError::kTooLarge);
}

TEST(ReceivedRecords, LargestConfigIsParsed) {
  constexpr std::uint32_t kRoutes = 60000;
  wire::Update update = MakeUpdate();
  for (std::uint32_t port = 2; port <= kRoutes; ++port) {
    wire::Route& route = *update.mutable_routes()->add_set();
    route = MakeRoute(port);
    *route.add_shares() = route.shares(0);
    route.set_kind(wire::REQUEST_SAFE);
    route.set_timeout_ms(1000);
    route.set_objective_ms(100);
    route.set_priority(1);
  }
  update.set_packed_routes("p" + update.routes().SerializeAsString());
  update.clear_routes();
  CHECK_EQUAL(0, ReadUpdate(update).total);
  LONGS_EQUAL(kRoutes, update.routes().set_size());
}

// Guards against a damaged limit that lifts it.
TEST(ReceivedRecords, AWarmupLimitThatCannotBeReadBecomesTheStrictest) {
  wire::Update update = MakeUpdate();
  for (const std::uint32_t flows_per_second : {0U, 5U, 2'000'000U}) {
    wire::ServiceWarmup& item = *update.mutable_routes()->add_services();
    item.set_service("proof");
    item.set_flows_per_second(flows_per_second);
    item.set_warmup_ms(std::numeric_limits<std::uint32_t>::max());
  }
  update.mutable_routes()->add_services()->set_flows_per_second(5);
  this->set_aside = ReadUpdate(update);
  CHECK_EQUAL(4, this->set_aside.total);
  LONGS_EQUAL(3, update.routes().services_size());
  for (const wire::ServiceWarmup& item : update.routes().services()) {
    LONGS_EQUAL(1, item.flows_per_second());
    LONGS_EQUAL(3'600'000, item.warmup_ms());
  }
}

TEST(ReceivedRecords, OddWarmupDemandsAndLeasesAreSetAside) {
  wire::WarmupRequest request;
  request.add_demands()->set_service("proof");
  wire::WarmupDemand& demand = *request.add_demands();
  demand.set_service("proof");
  demand.set_flows_per_second(3);
  request.add_demands()->set_flows_per_second(3);
  CheckWarmupRequest(request, this->set_aside);
  LONGS_EQUAL(1, request.demands_size());
  wire::WarmupGrant grant;
  grant.add_leases()->set_server("i-1");
  wire::WarmupLease& lease = *grant.add_leases();
  lease.set_server("i-1");
  lease.set_flows_per_second(std::numeric_limits<std::uint32_t>::max());
  CheckWarmupGrant(grant, this->set_aside);
  LONGS_EQUAL(1, grant.leases_size());
  CHECK_EQUAL(3, this->set_aside.total);
}

/// Guards against names without bound, and against an update that confirms what
/// its receiver knows while its evacuations can't be read.
TEST(ReceivedRecords, EvacuationsAreBounded) {
  wire::Update update;
  update.set_fresh(true);
  for (int i = 0; i < kMaxEvacuatedDataCentres; ++i) {
    update.mutable_evacuations()->add_data_centres("dc" + std::to_string(i));
  }
  update.mutable_evacuations()->set_seq(5);
  wire::Update too_many = update;
  CHECK_EQUAL(0, ReadUpdate(update).total);
  LONGS_EQUAL(kMaxEvacuatedDataCentres,
              update.evacuations().data_centres_size());
  CHECK(update.fresh());
  too_many.mutable_evacuations()->add_data_centres("one more");
  this->set_aside = ReadUpdate(too_many);
  CHECK_EQUAL(1, this->set_aside.counts.Get(InputError::kTooLarge));
  CHECK_FALSE(too_many.has_evacuations());
  CHECK_FALSE(too_many.fresh());
}

/// Guards against a change number beyond which no other would be taken.
TEST(ReceivedRecords, EvacuationsOfAnImpossibleEntryAreSetAside) {
  wire::Update update;
  update.set_fresh(true);
  update.mutable_evacuations()->set_seq(
      std::numeric_limits<std::uint64_t>::max());
  this->set_aside = ReadUpdate(update);
  CHECK_EQUAL(1, this->set_aside.counts.Get(InputError::kOutOfRange));
  CHECK_FALSE(update.has_evacuations());
  CHECK_FALSE(update.fresh());
}

/// Guards against names that no server's data centre can have, and against the
/// loss of the others.
TEST(ReceivedRecords, NamesThatAreNoTextLeaveTheOtherEvacuations) {
  wire::Update update;
  update.set_fresh(true);
  for (const char* name : {"", "a\xff", "sofia"}) {
    update.mutable_evacuations()->add_data_centres(name);
    update.mutable_evacuations()->add_by_rules(name);
  }
  CHECK_EQUAL(4, ReadUpdate(update).total);
  LONGS_EQUAL(1, update.evacuations().data_centres_size());
  STRCMP_EQUAL("sofia", update.evacuations().data_centres(0).c_str());
  STRCMP_EQUAL("sofia", update.evacuations().by_rules(0).c_str());
  CHECK(update.fresh());
}
