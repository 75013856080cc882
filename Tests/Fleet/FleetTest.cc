#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr Milliseconds kStartTime{4000};
constexpr InstanceAddress kFirstEntry = 101;

bool IsAccepted(const FleetWorld& world, CallId call) {
  const auto answer = world.answers.find(call);
  return answer != world.answers.end() &&
         answer->second.verdict == CallVerdict::kAccepted;
}

/// Returns the first control instance that does not vote, or 0.
InstanceAddress FindStandby(const FleetWorld& world) {
  for (const auto& [id, control] : world.controls) {
    if (!IsVoter(control.replica)) {
      return id;
    }
  }
  return 0;
}

}  // namespace

TEST_GROUP(Fleet) {
  FleetWorld world = MakeWorld(4, 4);

  void setup() override {
    Run(this->world, kStartTime);
    CHECK(SubmitUntilAccepted(this->world, 5));
    Report(this->world, 1, "a1", 1);
    Report(this->world, 2, "a2", 1);
    Run(this->world, Milliseconds(1000));
  }
};

TEST(Fleet, AcceptedRulesAndServersReachAllInstances) {
  for (const auto& [id, entry] : this->world.entries) {
    CHECK(IsReady(entry));
    CHECK_EQUAL(5, VersionAt(this->world, id));
    CHECK(IsUsableAt(this->world, id, "a1"));
    CHECK(IsUsableAt(this->world, id, "a2"));
  }
  for (const auto& [id, control] : this->world.controls) {
    LONGS_EQUAL(3, control.replica.committed.members_size());
    CHECK_EQUAL(5, control.replica.committed.rules().version());
  }
}

TEST(Fleet, AStandbyServesItsDataCentreLikeAVoter) {
  const InstanceAddress standby = FindStandby(this->world);
  CHECK(standby != 0);
  bool is_primary = false;
  for (const auto& [id, entry] : this->world.entries) {
    is_primary = is_primary || entry.primary == standby;
  }
  CHECK(is_primary);
  const CallId call =
      Report(this->world, standby, "a1", 2, wire::SERVER_DRAINING);
  Run(this->world, Milliseconds(50));
  CHECK(IsAccepted(this->world, call));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_FALSE(IsUsableAt(this->world, id, "a1"));
  }
}

TEST(Fleet, AServerThatReportsToAStandbyIsNotSilent) {
  const InstanceAddress standby = FindStandby(this->world);
  for (int i = 0; i < 12; ++i) {
    Report(this->world, standby, "a1", static_cast<std::uint64_t>(2 + i));
    Run(this->world, Milliseconds(1000));
  }
  for (const auto& [id, entry] : this->world.entries) {
    CHECK(IsUsableAt(this->world, id, "a1"));
  }
}

TEST(Fleet, LeavingServerIsKnownEverywhereWithinMilliseconds) {
  const CallId call = Report(this->world, 3, "a1", 2, wire::SERVER_DRAINING);
  Run(this->world, Milliseconds(50));
  CHECK(IsAccepted(this->world, call));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_FALSE(IsUsableAt(this->world, id, "a1"));
    CHECK(IsUsableAt(this->world, id, "a2"));
  }
}

TEST(Fleet, LeavingServerIsKnownAlsoWhenItsControlInstanceDiesAtOnce) {
  const CallId call = Report(this->world, 3, "a1", 2, wire::SERVER_DRAINING);
  while (!IsAccepted(this->world, call)) {
    Run(this->world, Milliseconds(5));
  }
  this->world.down.insert(3);
  Run(this->world, Milliseconds(2500));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_FALSE(IsUsableAt(this->world, id, "a1"));
  }
}

TEST(Fleet, LeavingServerIsNotAnsweredByAnIsolatedControlInstance) {
  this->world.is_lost = [](InstanceAddress from, InstanceAddress to) {
    return from == 3 || to == 3;
  };
  const CallId call = Report(this->world, 3, "a1", 2, wire::SERVER_DRAINING);
  Run(this->world, Milliseconds(1000));
  CHECK_FALSE(IsAccepted(this->world, call));
}

TEST(Fleet, RecoversFromLostMessagesWithinTwoSeconds) {
  int message_count = 0;
  this->world.is_lost = [&message_count](InstanceAddress, InstanceAddress) {
    return ++message_count % 3 == 0;
  };
  CHECK(SubmitUntilAccepted(this->world, 9));
  Report(this->world, 2, "a1", 2, wire::SERVER_DRAINING);
  Run(this->world, Milliseconds(2000));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_EQUAL(9, VersionAt(this->world, id));
    CHECK_FALSE(IsUsableAt(this->world, id, "a1"));
  }
}

TEST(Fleet, EntryInstancesLeaveAnIsolatedControlInstance) {
  this->world.is_lost = [](InstanceAddress from, InstanceAddress to) {
    const bool one = from == 1 || to == 1;
    return one && from < kFirstEntry && to < kFirstEntry;
  };
  Run(this->world, Milliseconds(1500));
  CHECK(SubmitUntilAccepted(this->world, 9));
  Run(this->world, Milliseconds(2000));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_EQUAL(9, VersionAt(this->world, id));
  }
}

TEST(Fleet, EntryInstanceThatStartsCutOffDoesNotServe) {
  this->world.is_lost = [](InstanceAddress from, InstanceAddress to) {
    return from == kFirstEntry || to == kFirstEntry;
  };
  StartEntry(this->world, kFirstEntry);
  Run(this->world, Milliseconds(5000));
  CHECK_FALSE(IsReady(this->world.entries.at(kFirstEntry)));
  this->world.is_lost = [](InstanceAddress, InstanceAddress) { return false; };
  Run(this->world, Milliseconds(1000));
  CHECK(IsReady(this->world.entries.at(kFirstEntry)));
}

TEST(Fleet, EntryInstanceWithOnlyAStaleControlInstanceDoesNotServe) {
  // Control instance 1 misses a version, and is then the only one that the
  // entry instance can reach. Its rules must not be taken for the newest.
  this->world.is_lost = [](InstanceAddress from, InstanceAddress to) {
    return from == 1 || to == 1;
  };
  Run(this->world, Milliseconds(2000));
  CHECK(SubmitUntilAccepted(this->world, 9));
  this->world.is_lost = [](InstanceAddress from, InstanceAddress to) {
    const bool pair =
        (from == 1 && to == kFirstEntry) || (from == kFirstEntry && to == 1);
    return !pair &&
           (from == 1 || to == 1 || from == kFirstEntry || to == kFirstEntry);
  };
  StartEntry(this->world, kFirstEntry);
  Run(this->world, Milliseconds(5000));
  CHECK_FALSE(IsReady(this->world.entries.at(kFirstEntry)));
}

TEST(Fleet, ServesWithinASecondAfterAllWereStoppedAtOnce) {
  CHECK(SubmitUntilAccepted(this->world, 9));
  Run(this->world, Milliseconds(1500));
  for (InstanceAddress id = 1; id <= 4; ++id) {
    StartControl(this->world, id, false);
  }
  for (InstanceAddress id = kFirstEntry; id < kFirstEntry + 4; ++id) {
    StartEntry(this->world, id);
  }
  Run(this->world, Milliseconds(1000));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK(IsReady(entry));
    CHECK_EQUAL(9, VersionAt(this->world, id));
    CHECK(IsUsableAt(this->world, id, "a1"));
  }
  CHECK(FindLeader(this->world) != 0);
}

TEST(Fleet, SavedServersThatDoNotReportAgainAreNotUsed) {
  Run(this->world, Milliseconds(1500));
  for (InstanceAddress id = 1; id <= 4; ++id) {
    StartControl(this->world, id, false);
  }
  for (int i = 0; i < 4; ++i) {
    Report(this->world, 1, "a1", static_cast<std::uint64_t>(3 + i));
    Run(this->world, Milliseconds(1000));
  }
  for (const auto& [id, entry] : this->world.entries) {
    CHECK(IsUsableAt(this->world, id, "a1"));
    CHECK_FALSE(IsUsableAt(this->world, id, "a2"));
  }
}

TEST(Fleet, ALostDiskLosesNothing) {
  CHECK(SubmitUntilAccepted(this->world, 9));
  const InstanceAddress leader = FindLeader(this->world);
  this->world.disks[leader].clear();
  this->world.saved.erase(leader);
  for (InstanceAddress id = 1; id <= 4; ++id) {
    StartControl(this->world, id, false);
  }
  Run(this->world, Milliseconds(6000));
  CHECK(FindLeader(this->world) != 0);
  for (const auto& [id, control] : this->world.controls) {
    CHECK_EQUAL(9, control.replica.committed.rules().version());
    CHECK(IsVoter(control.replica) || id == FindStandby(this->world));
    CHECK(HasFreshState(control.replica, this->world.now, Milliseconds(400)));
  }
}

TEST(Fleet, ReadsComeFromALeaderWithALeaseOnly) {
  const InstanceAddress leader = FindLeader(this->world);
  this->world.is_lost = [leader](InstanceAddress from, InstanceAddress to) {
    return from == leader || to == leader;
  };
  Run(this->world, Milliseconds(2500));
  CHECK(SubmitUntilAccepted(this->world, 9));
  for (const auto& [id, control] : this->world.controls) {
    const CallId call = this->world.next_call++;
    Apply(this->world, id, ControlInstanceEvent(RulesRead{.call = call}));
    if (IsAccepted(this->world, call)) {
      CHECK_EQUAL(9, this->world.answers.at(call).rules.version());
    }
  }
}

TEST(Fleet, AnOlderVersionIsAcceptedAndChangesNothing) {
  CHECK(SubmitUntilAccepted(this->world, 9));
  const CallId call = Submit(this->world, 2, 7);
  Run(this->world, Milliseconds(100));
  CHECK(IsAccepted(this->world, call));
  Run(this->world, Milliseconds(500));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_EQUAL(9, VersionAt(this->world, id));
  }
}

TEST(Fleet, FailedDiskPreventsAcceptanceUntilRestored) {
  const InstanceAddress leader = FindLeader(this->world);
  Apply(this->world, leader, ControlInstanceEvent(ControlDiskFailed{}));
  const CallId call = Submit(this->world, leader, 9);
  Run(this->world, Milliseconds(100));
  CHECK_FALSE(IsAccepted(this->world, call));
  CHECK(SubmitUntilAccepted(this->world, 9));
  Apply(this->world, leader,
        ControlInstanceEvent(
            ControlDiskRestored{.log = this->world.disks[leader]}));
  Run(this->world, Milliseconds(2000));
  const ControlInstance& restored = this->world.controls.at(leader);
  CHECK_EQUAL(9, restored.replica.committed.rules().version());
}

TEST(Fleet, LateGoneRecordDoesNotRemoveALaterIncarnation) {
  ServerReported fresh{.call = 900};
  fresh.record.set_id("a1");
  fresh.record.set_service("proof");
  fresh.record.set_ip(0xa1);
  fresh.record.set_port(80);
  fresh.record.set_slots(2);
  fresh.record.set_incarnation(7);
  fresh.record.set_sequence(1);
  Apply(this->world, 1, ControlInstanceEvent(fresh));
  ServerReported late{.call = 901};
  late.record.set_id("a1");
  late.record.set_phase(wire::SERVER_GONE);
  late.record.set_incarnation(1);
  Apply(this->world, 2, ControlInstanceEvent(late));
  Run(this->world, Milliseconds(2000));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK(IsUsableAt(this->world, id, "a1"));
  }
}

TEST(Fleet, ReportThatContradictsAServersOwnReplacesNothing) {
  Report(this->world, 1, "a1", 1);
  ServerReported other{.call = 902};
  other.record = this->world.controls.at(1).registry.servers.at("a1").record;
  other.record.set_service("another");
  other.record.set_sequence(99);
  Apply(this->world, 1, ControlInstanceEvent(other));
  const ControlInstance& instance = this->world.controls.at(1);
  CHECK(CallVerdict::kRefused == this->world.answers.at(902).verdict);
  STRCMP_EQUAL("proof",
               instance.registry.servers.at("a1").record.service().c_str());
  CHECK_EQUAL(1,
              instance.counters.refused_reports.Get(InputError::kContradicts));
  other.record.set_service("proof");
  other.record.set_ip(77);
  other.record.set_incarnation(2);
  other.call = 903;
  Apply(this->world, 1, ControlInstanceEvent(other));
  CHECK(CallVerdict::kAccepted == this->world.answers.at(903).verdict);
}

TEST(Fleet, ReportOfAServiceThatNoRuleNamesReplacesNoServer) {
  Report(this->world, 1, "a1", 1);
  ServerReported other{.call = 902};
  other.record = this->world.controls.at(1).registry.servers.at("a1").record;
  other.record.set_service("another");
  other.record.set_incarnation(99);
  Apply(this->world, 1, ControlInstanceEvent(other));
  CHECK(CallVerdict::kRefused == this->world.answers.at(902).verdict);
  STRCMP_EQUAL("proof", this->world.controls.at(1)
                            .registry.servers.at("a1")
                            .record.service()
                            .c_str());
}

TEST(Fleet, RecordOfAnotherInstanceRefusesNoReportOfTheServerItself) {
  Report(this->world, 1, "a1", 1);
  ControlInstance& instance = this->world.controls.at(1);
  Server& server = instance.registry.servers.at("a1");
  const wire::ServerRecord own = server.record;
  wire::ServerRecord other = own;
  other.set_service("another");
  other.set_sequence(own.sequence() + 1);
  CHECK(MergeServerRecord(instance.registry, other, this->world.now));
  ServerReported report{.call = 902, .record = own};
  report.record.set_sequence(own.sequence() + 2);
  Apply(this->world, 1, ControlInstanceEvent(report));
  CHECK(CallVerdict::kAccepted == this->world.answers.at(902).verdict);
  CHECK(own.service() == server.record.service());
}

TEST(Fleet, NothingContradictsAServerThatIsOnlyKnownToBeGone) {
  ServerReported gone{.call = 901};
  gone.record.set_id("a9");
  gone.record.set_phase(wire::SERVER_GONE);
  gone.record.set_incarnation(5);
  Apply(this->world, 1, ControlInstanceEvent(gone));
  Report(this->world, 1, "a1", 1);
  ServerReported report{.call = 902};
  report.record = this->world.controls.at(1).registry.servers.at("a1").record;
  report.record.set_id("a9");
  report.record.set_incarnation(5);
  Apply(this->world, 1, ControlInstanceEvent(report));
  CHECK(CallVerdict::kAccepted == this->world.answers.at(902).verdict);
}

TEST(Fleet, DrainingThatIsNotAppliedIsNotAcknowledged) {
  Report(this->world, 1, "a1", 1);
  Server& server = this->world.controls.at(1).registry.servers.at("a1");
  server.record.set_sequence(1000);
  ServerReported report{.call = 902, .record = server.record};
  report.record.set_sequence(500);
  report.record.set_phase(wire::SERVER_DRAINING);
  Apply(this->world, 1, ControlInstanceEvent(report));
  Run(this->world, Milliseconds(1000));
  CHECK(CallVerdict::kUnavailable == this->world.answers.at(902).verdict);
}

TEST(Fleet, OpeningPacketsQueuedDuringAStallAreDropped) {
  EntryInstance& entry = this->world.entries.at(kFirstEntry);
  const FlowPacket opening{.key = {.caller = {.ip = 7, .port = 1},
                                   .address = {.ip = 0x0A000001, .port = 80}},
                           .opens = true};
  DetectStall(entry, this->world.now);
  CHECK(DecidePacket(entry.forwarder, opening, this->world.now).verdict ==
        Verdict::kForward);
  const TimePoint resumed = this->world.now + std::chrono::seconds(2);
  DetectStall(entry, resumed);
  CHECK(DecidePacket(entry.forwarder, opening, resumed).reason ==
        ForwardReason::kStale);
  Apply(this->world, kFirstEntry, EntryEvent(EntryTick{}));
  const TimePoint after_discard = resumed + Milliseconds(200);
  CHECK(DecidePacket(entry.forwarder, opening, after_discard).verdict ==
        Verdict::kForward);
}

TEST(Fleet, ManyServersAreSplitIntoSmallMessages) {
  constexpr int kServers = 1000;
  constexpr int kLargestBatch = 100;
  for (int i = 0; i < kServers; ++i) {
    Report(this->world, 1, "b" + std::to_string(i), 1);
  }
  Run(this->world, Milliseconds(500));
  int largest = 0;
  std::size_t records = 0;
  this->world.on_send = [&](InstanceAddress, const SendMessage& effect) {
    if (effect.to == kFirstEntry) {
      largest = std::max(largest, effect.message.update().servers_size());
      records += effect.message.update().servers_size();
    }
  };
  StartEntry(this->world, kFirstEntry);
  Run(this->world, Milliseconds(500));
  CHECK(IsReady(this->world.entries.at(kFirstEntry)));
  CHECK(IsUsableAt(this->world, kFirstEntry, "b999"));
  CHECK(largest <= kLargestBatch);
  CHECK(records <= 2 * kServers);
}

TEST(Fleet, ControlInstancesListReportingServersOnceASecond) {
  std::size_t list_count = 0;
  this->world.on_send = [&](InstanceAddress, const SendMessage& effect) {
    list_count += effect.message.update().heard_size() > 0 ? 1 : 0;
  };
  constexpr int kSeconds = 3;
  for (int i = 0; i < kSeconds * 20; ++i) {
    Report(this->world, 1, "c" + std::to_string(i), 1);
    Run(this->world, Milliseconds(50));
  }
  // Two control instances receive reports; each sends its list to three others.
  CHECK(list_count <= 2 * 3 * (kSeconds + 1));
  CHECK(list_count > 0);
}

TEST(Fleet, ServesOnceAMajorityIsBackWhenTheSeedsStartLast) {
  CHECK(SubmitUntilAccepted(this->world, 9));
  Run(this->world, Milliseconds(1500));
  // Entry instances probe the control instances only every 120 ms. The running
  // control instances must send them a summary sooner, whatever the time at
  // which the third one returns.
  for (Milliseconds pause{150}; pause < Milliseconds(270);
       pause += Milliseconds(15)) {
    FleetWorld fresh = this->world;
    for (InstanceAddress id = 1; id <= 4; ++id) {
      fresh.down.insert(id);
    }
    for (InstanceAddress id = kFirstEntry; id < kFirstEntry + 4; ++id) {
      StartEntry(fresh, id);
    }
    StartControl(fresh, 4, false);  // Not a seed.
    Run(fresh, Milliseconds(200));
    StartControl(fresh, 3, false);
    Run(fresh, pause);
    StartControl(fresh, 2, false);
    Run(fresh, Milliseconds(20));
    for (const auto& [id, entry] : fresh.entries) {
      CHECK(IsReady(entry));
      CHECK_EQUAL(9, VersionAt(fresh, id));
    }
  }
}

TEST(Fleet, AFailingServerIsMarkedEverywhereAndLaterCleared) {
  Report(this->world, 1, "a3", 1);
  Report(this->world, 2, "a4", 1);
  Run(this->world, Milliseconds(500));
  const auto is_failing = [this](InstanceAddress entry) {
    const Placement& placement =
        this->world.entries.at(entry).forwarder.placement;
    return placement.servers[placement.by_id.at("a1")].failing;
  };
  const auto run_flows = [this](int steps, std::uint32_t failed) {
    for (int i = 0; i < steps; ++i) {
      // One entry instance observes one flow to each server every 200 ms.
      Forwarder& forwarder = this->world.entries.at(kFirstEntry).forwarder;
      for (const auto& [id, index] : forwarder.placement.by_id) {
        OutcomeDelta& delta = forwarder.outcomes.unreported[index];
        (id == "a1" && failed > 0 ? delta.failed : delta.served) += 1;
      }
      Run(this->world, Milliseconds(200));
    }
  };
  run_flows(10, 0);
  CHECK_FALSE(is_failing(kFirstEntry));
  run_flows(10, 1);
  for (const auto& [id, entry] : this->world.entries) {
    CHECK(is_failing(id));
  }
  // A report of the server itself does not clear the mark.
  Report(this->world, 3, "a1", 5);
  Run(this->world, Milliseconds(300));
  CHECK(is_failing(kFirstEntry + 2));
  run_flows(60, 0);
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_FALSE(is_failing(id));
  }
}

TEST(Fleet, OutdatedVoterStatusDoesNotCountTowardsAMajority) {
  // Two voters state the same version, 4 seconds apart. If both counted, a
  // newer version that was accepted in between would be missed.
  const auto make_update = [](InstanceAddress from, std::uint64_t version) {
    PeerMessage event{.from = from};
    wire::Update& update = *event.message.mutable_update();
    update.set_voter(true);
    update.set_seq(7);
    update.set_rules_version(version);
    for (InstanceAddress voter = 1; voter <= 3; ++voter) {
      update.add_control_instances(voter);
    }
    return event;
  };
  EntryInstance entry = MakeEntryInstance(MakeInstanceConfig(this->world, 110));
  TimePoint now = this->world.now;
  Reduce(entry, EntryStarted{}, now);
  PeerMessage first = make_update(1, 5);
  wire::Update& contents = *first.message.mutable_update();
  contents.set_settled(true);
  contents.set_registry_epoch(9);
  contents.mutable_routes()->set_version(5);
  Reduce(entry, first, now);
  CHECK_FALSE(IsReady(entry));
  now += std::chrono::seconds(4);
  Reduce(entry, make_update(2, 5), now);
  CHECK_FALSE(IsReady(entry));
  Reduce(entry, make_update(1, 5), now + Milliseconds(100));
  CHECK(IsReady(entry));
}

TEST(Fleet, ServerIdThatIsNoTextHidesNoLaterConfigAndNoLaterServer) {
  // As of an earlier build, whose calls accept it.
  wire::ServerRecord record;
  record.set_id("i-\xff\xfe");
  record.set_service("proof");
  record.set_ip(7);
  record.set_port(80);
  record.set_slots(2);
  record.set_incarnation(1);
  for (auto& [id, control] : this->world.controls) {
    MergeServerRecord(control.registry, record, this->world.now);
  }
  CHECK(SubmitUntilAccepted(this->world, 9));
  const CallId call = Report(this->world, 1, "a1", 2, wire::SERVER_DRAINING);
  Run(this->world, Milliseconds(100));
  CHECK(IsAccepted(this->world, call));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_EQUAL(9, VersionAt(this->world, id));
    CHECK_FALSE(IsUsableAt(this->world, id, "a1"));
    CHECK(IsUsableAt(this->world, id, "a2"));
  }
}

TEST(Fleet, StoredServerIdThatIsNoTextHidesNoOtherStoredServer) {
  wire::SavedRegistry saved = this->world.saved[1];
  LONGS_EQUAL(2, saved.servers_size());
  *saved.add_servers() = saved.servers(0);
  saved.mutable_servers(0)->set_id("i-\xff\xfe");
  const std::string file = saved.SerializeAsString();
  wire::SavedRegistry read;
  CHECK(read.ParseFromString(file));
  ControlInstance instance = MakeControlInstance(
      MakeInstanceConfig(this->world, 1), this->world.disks[1]);
  Reduce(instance, ControlInstanceStarted{.saved = read}, this->world.now);
  CHECK(instance.registry.servers.contains("a1"));
  CHECK(instance.registry.servers.contains("a2"));
  LONGS_EQUAL(2, instance.registry.servers.size());
  CHECK_EQUAL(1, instance.counters.set_aside.Get(InputError::kNotUtf8));
}

TEST(Fleet, PositionBeyondTheRegistryHidesNoLaterServer) {
  for (auto& [id, entry] : this->world.entries) {
    for (auto& [address, source] : entry.sources) {
      source.position.change = UINT64_MAX;
    }
  }
  for (auto& [id, control] : this->world.controls) {
    for (auto& [address, source] : control.sources) {
      source.position.change = UINT64_MAX;
    }
  }
  Run(this->world, Milliseconds(1500));
  const CallId call = Report(this->world, 1, "a1", 2, wire::SERVER_DRAINING);
  Run(this->world, Milliseconds(100));
  CHECK(IsAccepted(this->world, call));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK_FALSE(IsUsableAt(this->world, id, "a1"));
  }
}

TEST(Fleet, PositionBeyondTheRegistryConfirmsNoLeavingServer) {
  this->world.is_lost = [](InstanceAddress from, InstanceAddress to) {
    return from == 3 || to == 3;
  };
  const CallId call = Report(this->world, 3, "a1", 2, wire::SERVER_DRAINING);
  PeerMessage event{.from = 2};
  wire::Subscribe& subscribe = *event.message.mutable_subscribe();
  subscribe.set_control(true);
  subscribe.set_registry_epoch(this->world.controls.at(3).config.incarnation);
  subscribe.set_registry_change(UINT64_MAX);
  Apply(this->world, 3, ControlInstanceEvent(event));
  CHECK_FALSE(IsAccepted(this->world, call));
}

TEST(Fleet, PartialUpdateWithoutRecordsStartsNoLoop) {
  PeerMessage event{.from = 1};
  wire::Update& update = *event.message.mutable_update();
  update.set_confirm(true);
  update.set_partial(true);
  update.set_registry_epoch(this->world.controls.at(1).config.incarnation);
  const auto has_request = [](const auto& effects) {
    for (const auto& effect : effects) {
      const auto* send = std::get_if<SendMessage>(&effect);
      if (send != nullptr && send->message.has_subscribe()) {
        return true;
      }
    }
    return false;
  };
  update.set_registry_from(UINT64_MAX);
  update.set_registry_change(UINT64_MAX);
  for (auto& [id, entry] : this->world.entries) {
    CHECK_FALSE(has_request(Reduce(entry, event, this->world.now)));
  }
  CHECK_FALSE(
      has_request(Reduce(this->world.controls.at(2), event, this->world.now)));
}

TEST(Fleet, ManyAddressesInAMessageTakeBoundedMemory) {
  EntryInstance& entry = this->world.entries.at(kFirstEntry);
  ControlInstance& control = this->world.controls.at(2);
  for (InstanceAddress batch = 0; batch < 200; ++batch) {
    PeerMessage event{.from = 1000000 + batch};
    wire::Update& update = *event.message.mutable_update();
    for (InstanceAddress i = 0; i < 200; ++i) {
      update.add_control_instances(1000 + 200 * batch + i);
      update.add_standbys(500000 + 200 * batch + i);
    }
    Reduce(entry, event, this->world.now);
    Reduce(control, event, this->world.now);
  }
  CHECK(entry.sources.size() <= kMaxControlInstances);
  CHECK(control.sources.size() <= kMaxControlInstances);
  CHECK(control.replica.config.control_instances.size() <=
        2 * kMaxControlInstances);
  CHECK(SubmitUntilAccepted(this->world, 9));
  Run(this->world, Milliseconds(1000));
  for (const auto& [id, other] : this->world.entries) {
    CHECK_EQUAL(9, VersionAt(this->world, id));
  }
}

TEST(Fleet, ManySubscribersTakeBoundedMemory) {
  ControlInstance& control = this->world.controls.at(2);
  PeerMessage event;
  event.message.mutable_subscribe()->set_rules_wanted(true);
  for (InstanceAddress from = 1000; from < 21000; ++from) {
    event.from = from;
    Reduce(control, event, this->world.now);
  }
  CHECK(control.subscribers.size() + control.follower_queue.pending.size() <=
        10000);
}
