#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "Shell/MetricsText.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

/// Returns the metric names that docs/METRICS.md lists.
std::set<std::string> DocumentedNames() {
  std::ifstream file(METRICS_PAGE);
  std::set<std::string> names;
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t start = line.find("| `filbertwall_");
    if (start == 0) {
      names.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  return names;
}

std::set<std::string> ServedNames() {
  std::vector<MetricSample> samples =
      CollectMetrics(EntryInstance{}, ProcessStatistics{}, TimePoint());
  const std::vector<MetricSample> control =
      CollectMetrics(ControlInstance{}, ProcessStatistics{}, TimePoint());
  samples.insert(samples.end(), control.begin(), control.end());
  std::set<std::string> names;
  for (const MetricSample& sample : samples) {
    names.insert(sample.name);
  }
  return names;
}

}  // namespace

TEST_GROUP(MetricsText){};

TEST(MetricsText, DocumentationListsServedMetrics) {
  const std::set<std::string> served = ServedNames();
  const std::set<std::string> documented = DocumentedNames();
  for (const std::string& name : served) {
    CHECK_TRUE_TEXT(documented.contains(name), name.c_str());
  }
  for (const std::string& name : documented) {
    CHECK_TRUE_TEXT(served.contains(name), name.c_str());
  }
}

TEST(MetricsText, HistogramsAreCumulative) {
  Histogram histogram;
  histogram.Add(Microseconds(10));
  histogram.Add(Microseconds(20));
  histogram.Add(std::chrono::hours(1));
  const std::string text = FormatMetrics(
      {MetricSample{.name = "x_seconds", .help = "X.", .value = histogram}});
  CHECK(text.find("# TYPE x_seconds histogram") != std::string::npos);
  CHECK(text.find("x_seconds_bucket{le=\"1.6e-05\"} 1") != std::string::npos);
  CHECK(text.find("x_seconds_bucket{le=\"+Inf\"} 3") != std::string::npos);
  CHECK(text.find("x_seconds_count 3") != std::string::npos);
}

TEST(MetricsText, SamplesOfOneNameShareTheirHeader) {
  const std::string text =
      FormatMetrics({MetricSample{.name = "x_total",
                                  .help = "X.",
                                  .label = "a",
                                  .value = Counter{.value = 1}},
                     MetricSample{.name = "x_total",
                                  .help = "X.",
                                  .label = "b",
                                  .value = Counter{.value = 2}}});
  CHECK_EQUAL(text.find("# HELP"), text.rfind("# HELP"));
  CHECK(text.find("x_total{kind=\"b\"} 2") != std::string::npos);
}
