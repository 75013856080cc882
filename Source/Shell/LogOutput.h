#pragma once

#include <cstdint>
#include <string>

/// Writes lines to a descriptor without ever waiting for its reader.
namespace filbertwall {

class LogOutput {
 public:
  explicit LogOutput(int descriptor) : fd(descriptor) {}

  /// Queues a line, which needs no end of line, and writes what the reader
  /// takes now. Lines beyond the limit are lost and counted; a line that says
  /// how many follows once there is room.
  void Write(const std::string& line);

  std::uint64_t Lost() const { return this->lost; }

  static constexpr std::size_t kMostQueuedBytes = 64UL * 1024UL;

 private:
  void Flush();

  int fd;
  std::string queue;
  std::uint64_t lost = 0;
  std::uint64_t lost_and_told = 0;
};

}  // namespace filbertwall
