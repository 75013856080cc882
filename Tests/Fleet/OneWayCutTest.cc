#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

/// Tests cuts that let messages pass between control instances in one direction
/// only.
using namespace filbertwall;

namespace {

constexpr Milliseconds kStartTime{4000};
constexpr Milliseconds kReportInterval{1200};
/// The users' bounds: an acknowledged change holds everywhere after this.
constexpr Milliseconds kApplyLimit{3000};
/// A new server is used this long after its start at the latest, wherever it
/// reported first.
constexpr Milliseconds kRegistrationLimit = 5 * kReportInterval;
/// Time after a cut after which the other control instances are in sync again.
constexpr Milliseconds kContactTime{4000};
constexpr Milliseconds kStep{50};
constexpr std::uint64_t kFirstVersion = 5;

enum class Direction { kNotHeard, kDeaf };

/// What callers and operators rely on during a cut.
enum class Promise {
  kLeavingServerIsLeft,
  kReadyServerIsUsed,
  kChangeIsInForce,
  kFreshInstanceKnowsWhoLeft,
};

/// A backend server that reports as the users' servers do: to where the last
/// answer sent it, and to another control instance after a failure.
struct ReportingServer {
  std::string id;
  InstanceAddress reports_to = 0;
  std::uint64_t sequence = 0;
  wire::ServerPhase phase = wire::SERVER_READY;
  CallId call = 0;                                  ///< The latest report.
  wire::ServerPhase reported = wire::SERVER_READY;  ///< What it said.
  TimePoint started_at;
  TimePoint next_report_at;
  std::optional<TimePoint> drain_acked_at;
};

struct OneWayCut {
  FleetWorld world;
  std::vector<ReportingServer> servers;
  std::size_t released = 0;  ///< The first of `servers` leave.
  std::uint64_t version = kFirstVersion;
  std::map<Promise, std::string> violations;  ///< The first of each kind.
};

void RecordViolation(OneWayCut& cut, Promise promise, const std::string& text) {
  cut.violations.try_emplace(promise, text);
}

InstanceAddress NextControl(const FleetWorld& world, InstanceAddress after) {
  const auto next = world.controls.upper_bound(after);
  return next == world.controls.end() ? world.controls.begin()->first
                                      : next->first;
}

/// Returns whether callers must not be sent to the server any more.
bool MustBeLeft(const OneWayCut& cut, const ReportingServer& server) {
  return server.drain_acked_at &&
         cut.world.now > *server.drain_acked_at + kApplyLimit;
}

/// Checks that a control instance which tells others that its state is fresh
/// knows which servers have left.
void CheckFresh(OneWayCut& cut, InstanceAddress sender) {
  const Registry& registry = cut.world.controls.at(sender).registry;
  for (const ReportingServer& server : cut.servers) {
    const auto known = registry.servers.find(server.id);
    if (MustBeLeft(cut, server) && known != registry.servers.end() &&
        known->second.record.phase() == wire::SERVER_READY) {
      RecordViolation(cut, Promise::kFreshInstanceKnowsWhoLeft,
                      "control instance " + std::to_string(sender) +
                          " is fresh and takes " + server.id + " for ready");
    }
  }
}

/// Returns the answer to the latest report if it was accepted, else null.
const AnswerCall* FindAcceptance(const FleetWorld& world,
                                 const ReportingServer& server) {
  const auto answer = world.answers.find(server.call);
  const bool accepted = answer != world.answers.end() &&
                        answer->second.verdict == CallVerdict::kAccepted;
  return accepted ? &answer->second : nullptr;
}

void NoteAcknowledgement(const FleetWorld& world, ReportingServer& server) {
  if (server.reported == wire::SERVER_DRAINING && !server.drain_acked_at &&
      FindAcceptance(world, server) != nullptr) {
    server.drain_acked_at = world.now;
  }
}

void ReportDue(OneWayCut& cut) {
  FleetWorld& world = cut.world;
  for (ReportingServer& server : cut.servers) {
    if (world.now < server.next_report_at) {
      continue;
    }
    if (server.call != 0) {
      const AnswerCall* acceptance = FindAcceptance(world, server);
      server.reports_to = acceptance != nullptr
                              ? acceptance->next_report_address
                              : NextControl(world, server.reports_to);
    }
    server.reported = server.phase;
    server.call = Report(world, server.reports_to, server.id, ++server.sequence,
                         server.phase);
    // A server that leaves repeats itself sooner until it is answered.
    const bool waits =
        server.phase == wire::SERVER_DRAINING && !server.drain_acked_at;
    server.next_report_at =
        world.now + (waits ? Milliseconds(600) : kReportInterval);
  }
}

/// Checks that no entry instance uses a server later than `kApplyLimit` after
/// the acknowledgement that it is draining, and that each uses a ready server
/// from `kRegistrationLimit` after its start on.
void CheckServers(OneWayCut& cut, const std::string& when) {
  for (const ReportingServer& server : cut.servers) {
    const bool must_be_left = MustBeLeft(cut, server);
    const bool must_be_used =
        server.phase == wire::SERVER_READY &&
        cut.world.now > server.started_at + kRegistrationLimit;
    for (const auto& [id, entry] : cut.world.entries) {
      const bool usable = IsUsableAt(cut.world, id, server.id);
      const std::string who = when + ": entry instance " + std::to_string(id);
      if (must_be_left && usable) {
        RecordViolation(cut, Promise::kLeavingServerIsLeft,
                        who + " uses " + server.id);
      }
      if (must_be_used && !usable) {
        RecordViolation(cut, Promise::kReadyServerIsUsed,
                        who + " does not use " + server.id);
      }
    }
  }
}

void RunWithReports(OneWayCut& cut, Milliseconds time,
                    const std::string& when) {
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    ReportDue(cut);
    Run(cut.world, kStep);
    for (ReportingServer& server : cut.servers) {
      NoteAcknowledgement(cut.world, server);
    }
    CheckServers(cut, when);
  }
}

void AddServer(OneWayCut& cut) {
  const std::size_t index = cut.servers.size();
  const auto controls = static_cast<std::uint32_t>(cut.world.controls.size());
  cut.servers.push_back(
      {.id = "a" + std::to_string(10 + index),
       .reports_to = 1 + static_cast<std::uint32_t>(index) % controls,
       .started_at = cut.world.now,
       .next_report_at = cut.world.now});
}

OneWayCut MakeOneWayCut(InstanceAddress controls) {
  OneWayCut cut{.world = MakeWorld(controls, 4)};
  Run(cut.world, kStartTime);
  CHECK(SubmitUntilAccepted(cut.world, kFirstVersion));
  for (std::uint32_t i = 0; i < 3 * controls; ++i) {
    AddServer(cut);
  }
  RunWithReports(cut, 2 * kReportInterval, "before the cut");
  return cut;
}

void Cut(FleetWorld& world, InstanceAddress one, Direction direction) {
  const std::map<InstanceAddress, ControlInstance>* controls = &world.controls;
  world.is_lost = [controls, one, direction](InstanceAddress from,
                                             InstanceAddress to) {
    const bool between =
        controls->contains(from) && controls->contains(to) && from != to;
    return between && (direction == Direction::kNotHeard ? from : to) == one;
  };
}

/// Replaces one server after the other: a new one starts, then the old one
/// leaves.
void ReleaseServers(OneWayCut& cut, Milliseconds time,
                    const std::string& when) {
  constexpr Milliseconds kGap{1000};
  for (Milliseconds passed{0}; passed < time; passed += kGap) {
    AddServer(cut);
    ReportingServer& leaving = cut.servers[cut.released++];
    leaving.phase = wire::SERVER_DRAINING;
    leaving.next_report_at = cut.world.now;
    RunWithReports(cut, kGap, when);
  }
}

/// Submits the next version as an operator does, who goes on to another control
/// instance after a failure. Returns whether it was accepted in time.
bool SubmitNextVersion(OneWayCut& cut, const std::string& when) {
  constexpr int kAttempts = 8;
  constexpr Milliseconds kAnswerTime{800};
  cut.version += 1;
  InstanceAddress to = cut.world.controls.begin()->first;
  for (int i = 0; i < kAttempts; ++i) {
    const CallId call = Submit(cut.world, to, cut.version);
    RunWithReports(cut, kAnswerTime, when);
    const auto answer = cut.world.answers.find(call);
    const bool answered = answer != cut.world.answers.end();
    if (answered && answer->second.verdict == CallVerdict::kAccepted) {
      return true;
    }
    const bool redirected =
        answered && answer->second.verdict == CallVerdict::kRedirected;
    to = redirected ? answer->second.leader : NextControl(cut.world, to);
  }
  return false;
}

/// Submits a version and checks that it is in force in time everywhere.
void ChangeRules(OneWayCut& cut, const std::string& when) {
  const bool accepted = SubmitNextVersion(cut, when);
  RunWithReports(cut, kApplyLimit, when);
  for (const auto& [id, entry] : cut.world.entries) {
    if (!accepted || VersionAt(cut.world, id) != cut.version) {
      RecordViolation(cut, Promise::kChangeIsInForce,
                      when + ": version " + std::to_string(cut.version) +
                          (accepted ? " is not in force" : " is not accepted") +
                          " at entry instance " + std::to_string(id));
    }
  }
}

/// Starts an entry instance in the data centre of a control instance again and
/// again, so that it asks the control instance what it knows.
void RestartEntryBeside(OneWayCut& cut, InstanceAddress control) {
  constexpr int kStarts = 10;
  const std::string& data_centre =
      cut.world.controls.at(control).config.data_centre;
  InstanceAddress beside = 0;
  for (const auto& [id, entry] : cut.world.entries) {
    beside = entry.config.data_centre == data_centre ? id : beside;
  }
  for (int start = 0; start < kStarts; ++start) {
    StartEntry(cut.world, beside);
    Run(cut.world, 2 * kStep);
  }
}

std::string DirectionName(Direction direction) {
  return direction == Direction::kNotHeard ? "not heard" : "deaf";
}

/// Plays one cut during a release and returns the first violation of each
/// promise.
std::map<Promise, std::string> PlayCut(InstanceAddress controls,
                                       InstanceAddress one, Direction direction,
                                       Milliseconds length) {
  OneWayCut cut = MakeOneWayCut(controls);
  cut.world.on_send = [&cut](InstanceAddress from, const SendMessage& effect) {
    if (effect.message.update().fresh()) {
      CheckFresh(cut, from);
    }
  };
  Cut(cut.world, one, direction);
  ReleaseServers(cut, length, "during the cut");
  if (length > kContactTime) {
    ChangeRules(cut, "during the cut");
  }
  cut.world.is_lost = [](InstanceAddress, InstanceAddress) { return false; };
  RestartEntryBeside(cut, one);
  RunWithReports(cut, kContactTime, "after the cut");
  ChangeRules(cut, "after the cut");
  return cut.violations;
}

/// Plays cuts shorter and longer than a lease at each control instance. Returns
/// the first violation of each promise.
std::map<Promise, std::string> PlayCuts(Direction direction) {
  std::map<Promise, std::string> found;
  for (InstanceAddress controls = 3; controls <= 5; ++controls) {
    for (InstanceAddress one = 1; one <= controls; ++one) {
      for (const int length : {300, 900, 2500, 8000}) {
        const std::string cut = std::to_string(controls) +
                                " control instances, " + std::to_string(one) +
                                " " + DirectionName(direction) + " for " +
                                std::to_string(length) + " ms, ";
        for (const auto& [promise, text] :
             PlayCut(controls, one, direction, Milliseconds(length))) {
          found.try_emplace(promise, cut + text);
        }
      }
    }
  }
  return found;
}

/// Returns the first violation of the promise or an empty string. The cuts are
/// played once for all promises.
std::string FindViolation(Direction direction, Promise promise) {
  static std::map<Direction, std::map<Promise, std::string>> played;
  if (!played.contains(direction)) {
    played[direction] = PlayCuts(direction);
  }
  const auto found = played[direction].find(promise);
  return found == played[direction].end() ? "" : found->second;
}

}  // namespace

TEST_GROUP(OneWayCut){};

/// Guards against entry instances that stay with a control instance which hears
/// the others, but isn't heard, and so isn't told any more which servers leave.
TEST(OneWayCut, InstanceThatIsNotHeardHidesNoLeavingServer) {
  STRCMP_EQUAL(
      "", FindViolation(Direction::kNotHeard, Promise::kLeavingServerIsLeft)
              .c_str());
}

TEST(OneWayCut, InstanceThatHearsNoOtherHidesNoLeavingServer) {
  STRCMP_EQUAL(
      "",
      FindViolation(Direction::kDeaf, Promise::kLeavingServerIsLeft).c_str());
}

TEST(OneWayCut, InstanceThatIsNotHeardDelaysNoChange) {
  STRCMP_EQUAL(
      "",
      FindViolation(Direction::kNotHeard, Promise::kChangeIsInForce).c_str());
}

TEST(OneWayCut, InstanceThatHearsNoOtherDelaysNoChange) {
  STRCMP_EQUAL(
      "", FindViolation(Direction::kDeaf, Promise::kChangeIsInForce).c_str());
}

/// Guards against an instance that counts as fresh as soon as it is heard
/// again, before it is told what it has missed.
TEST(OneWayCut, InstanceThatIsHeardAgainKnowsWhoLeftBeforeItIsFresh) {
  STRCMP_EQUAL("", FindViolation(Direction::kNotHeard,
                                 Promise::kFreshInstanceKnowsWhoLeft)
                       .c_str());
}

TEST(OneWayCut, InstanceThatHearsAgainKnowsWhoLeftBeforeItIsFresh) {
  STRCMP_EQUAL(
      "", FindViolation(Direction::kDeaf, Promise::kFreshInstanceKnowsWhoLeft)
              .c_str());
}

/// Guards against servers that keep reporting to an instance whose word reaches
/// nobody, and are taken for silent by the others.
TEST(OneWayCut, InstanceThatIsNotHeardHidesNoReadyServer) {
  STRCMP_EQUAL(
      "",
      FindViolation(Direction::kNotHeard, Promise::kReadyServerIsUsed).c_str());
}

TEST(OneWayCut, InstanceThatHearsNoOtherHidesNoReadyServer) {
  STRCMP_EQUAL(
      "", FindViolation(Direction::kDeaf, Promise::kReadyServerIsUsed).c_str());
}
