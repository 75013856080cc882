#pragma once

#include <cstdint>
#include <string>

/// Writes lines to a file descriptor without blocking on its reader.
namespace filbertwall {

class LogOutput {
 public:
  explicit LogOutput(int descriptor) : fd(descriptor) {}

  /// Queues a line, given without a newline, and writes as much as the reader
  /// accepts now. Lines beyond the queue limit are dropped and counted; a line
  /// with the number of dropped lines is written once there is room.
  void Write(const std::string& line);

  std::uint64_t Lost() const { return this->lost; }

  static constexpr std::size_t kMaxQueuedBytes = 64UL * 1024UL;

 private:
  void Flush();

  int fd;
  std::string queue;
  std::uint64_t lost = 0;
  std::uint64_t lost_and_reported = 0;
};

}  // namespace filbertwall
