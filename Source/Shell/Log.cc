#include "Shell/Log.h"

#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions/formatters/stream.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <map>

#include "Shell/LogOutput.h"

namespace filbertwall {
namespace {

constexpr std::uint32_t kMaxRecordsPerSecond = 100;

struct EventRate {
  std::chrono::steady_clock::time_point second_started;
  std::uint32_t written = 0;
  std::uint64_t suppressed = 0;
  Severity severity = Severity::kInfo;  ///< Of the last record written.
};

std::uint32_t g_instance = 0;

LogOutput& Output() {
  static LogOutput output(STDOUT_FILENO);
  return output;
}

/// Passes the lines that Boost.Log formats to `Output`.
class OutputBackend : public boost::log::sinks::basic_formatted_sink_backend<
                          char, boost::log::sinks::concurrent_feeding> {
 public:
  // Boost.Log requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static void consume(const boost::log::record_view&, const std::string& line) {
    Output().Write(line);
  }
};

boost::log::sources::severity_logger<int>& Logger() {
  static boost::log::sources::severity_logger<int> logger;
  return logger;
}

const char* SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "";
}

void Emit(EventId id, Severity severity, const std::string& text) {
  BOOST_LOG_SEV(Logger(), static_cast<int>(severity))
      << "FW-" << static_cast<int>(id) << " " << SeverityName(severity)
      << " instance=" << g_instance << " " << text;
}

/// Returns the rate of an event in the current second. At the beginning of a
/// second, reports what was suppressed in the one before.
EventRate& CurrentRate(EventId id) {
  static std::map<EventId, EventRate> rates;
  EventRate& rate = rates[id];
  const auto now = std::chrono::steady_clock::now();
  if (now - rate.second_started >= std::chrono::seconds(1)) {
    if (rate.suppressed > 0) {
      Emit(id, rate.severity,
           std::to_string(rate.suppressed) + " more such records");
    }
    rate = EventRate{.second_started = now};
  }
  return rate;
}

}  // namespace

void StartLog(std::uint32_t instance) {
  g_instance = instance;
  boost::log::add_common_attributes();
  using Sink = boost::log::sinks::unlocked_sink<OutputBackend>;
  const auto sink = boost::make_shared<Sink>();
  sink->set_formatter(boost::log::parse_formatter("%TimeStamp% %Message%"));
  boost::log::core::get()->add_sink(sink);
}

bool AcceptsLog(EventId id) {
  EventRate& rate = CurrentRate(id);
  if (rate.written < kMaxRecordsPerSecond) {
    return true;
  }
  rate.suppressed += 1;
  return false;
}

void WriteLog(const LogRecord& record) {
  if (!AcceptsLog(record.id)) {
    return;
  }
  EventRate& rate = CurrentRate(record.id);
  rate.written += 1;
  rate.severity = record.severity;
  Emit(record.id, record.severity, record.text);
}

std::uint64_t LogLinesLost() { return Output().Lost(); }

}  // namespace filbertwall
