#include "Fleet/AdmissionReport.h"
#include "Fleet/EntryHousekeeping.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

bool Contains(const LogRecord& record, const std::string& text) {
  return record.text.find(text) != std::string::npos;
}

}  // namespace

/// Guards against a log line for each refused flow, and against refusals that
/// no line tells of.
TEST_GROUP(AdmissionReport) {
  Forwarder forwarder;
  AdmissionReport report;

  void setup() override { InternService(this->forwarder.placement, "proof"); }

  ClassMeasurements& AddClass(std::uint32_t priority) {
    this->forwarder.admission.services.resize(1);
    return this->forwarder.admission.services[0].classes.emplace_back(
        ClassMeasurements{
            .flow_class = {.priority = priority, .retryable = true}});
  }
};

TEST(AdmissionReport, TellsWhenAClassIsRefusedAndWhenNoLonger) {
  ClassMeasurements& measured = this->AddClass(2);
  measured.counters = {.admitted = 5, .refused = 7, .starved = 1};
  const auto begun = ReportAdmission(this->report, this->forwarder);
  LONGS_EQUAL(1, begun.size());
  CHECK(begun[0].id == EventId::kClassRefused);
  CHECK(begun[0].severity == Severity::kWarning);
  CHECK(Contains(begun[0], "service=proof priority=2 repeatable=1"));
  CHECK(Contains(begun[0], "refusing=1 admitted=5 refused=7 starved=1"));
  measured.counters.refused += 100;
  CHECK(ReportAdmission(this->report, this->forwarder).empty());
  measured.counters.admitted += 9;
  const auto ended = ReportAdmission(this->report, this->forwarder);
  LONGS_EQUAL(1, ended.size());
  CHECK(ended[0].severity == Severity::kInfo);
  CHECK(Contains(ended[0], "refusing=0 admitted=9 refused=0"));
}

TEST(AdmissionReport, TellsWhichCallerIsLimited) {
  ClassMeasurements& measured = this->AddClass(2);
  for (int i = 0; i < 30; ++i) {
    RecordCaller(measured.callers, i % 3 == 0 ? i : 0x64400007, kStart);
  }
  measured.counters = {.refused = 4, .unfair = 4};
  const auto records = ReportAdmission(this->report, this->forwarder);
  LONGS_EQUAL(2, records.size());
  CHECK(records[1].id == EventId::kCallersLimited);
  CHECK(Contains(records[1], "limiting=1 refused=4"));
  CHECK(Contains(records[1], "top=100.64.0.7 top_percent=67"));
}

TEST(AdmissionReport, TellsWhenTheCapacityChanges) {
  const auto set = [&](double slots) {
    UpdateCapacity(this->forwarder.admission, 0, slots, kStart);
    return ReportAdmission(this->report, this->forwarder);
  };
  CHECK(set(200).empty());
  CHECK(set(195).empty());
  const auto fallen = set(100);
  LONGS_EQUAL(1, fallen.size());
  CHECK(fallen[0].id == EventId::kCapacityChanged);
  CHECK(fallen[0].severity == Severity::kWarning);
  CHECK(Contains(fallen[0], "service=proof slots=100 before=200"));
  CHECK(set(200).front().severity == Severity::kInfo);
}

TEST(AdmissionReport, SettingsReachAdmissionControl) {
  CHECK_FALSE(MakeEntryInstance({}).forwarder.admission.fair_callers);
  const EntryInstance instance = MakeEntryInstance({.fair_callers = true});
  CHECK(instance.forwarder.admission.fair_callers);
  CHECK(instance.forwarder.refuses_overload);
}
