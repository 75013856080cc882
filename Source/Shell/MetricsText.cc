#include "Shell/MetricsText.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace filbertwall {
namespace {

/// Copies a sample's value to its metric and sets the type of its family.
struct SampleWriter {
  prometheus::MetricFamily& family;
  prometheus::ClientMetric& metric;

  void operator()(const Counter& counter) const {
    this->family.type = prometheus::MetricType::Counter;
    this->metric.counter.value = static_cast<double>(counter.value);
  }
  void operator()(const Gauge& gauge) const {
    this->family.type = prometheus::MetricType::Gauge;
    this->metric.gauge.value = gauge.value;
  }
  void operator()(const Histogram& histogram) const {
    using Seconds = std::chrono::duration<double>;
    this->family.type = prometheus::MetricType::Histogram;
    prometheus::ClientMetric::Histogram& target = this->metric.histogram;
    target.sample_count = histogram.total;
    target.sample_sum = Seconds(histogram.sum).count();
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i + 1 < Histogram::kBuckets; ++i) {
      cumulative += histogram.counts[i];
      target.bucket.push_back(
          {.cumulative_count = cumulative,
           .upper_bound = Seconds(Histogram::UpperBound(i)).count()});
    }
  }
};

}  // namespace

std::string FormatMetrics(const std::vector<MetricSample>& samples) {
  std::vector<prometheus::MetricFamily> families;
  for (const MetricSample& sample : samples) {
    if (families.empty() || families.back().name != sample.name) {
      families.emplace_back();
      families.back().name = sample.name;
      families.back().help = sample.help;
    }
    prometheus::MetricFamily& family = families.back();
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    if (!sample.label.empty()) {
      metric.label.push_back({.name = "kind", .value = sample.label});
    }
    std::visit(SampleWriter{.family = family, .metric = metric}, sample.value);
  }
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, families);
  return text.str();
}

}  // namespace filbertwall
