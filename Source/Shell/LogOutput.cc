#include "Shell/LogOutput.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace filbertwall {
namespace {

/// A pipe that polls as writable accepts at least this many bytes without
/// blocking.
constexpr std::size_t kMaxWriteBytes = 4096;

bool IsReady(int fd) {
  pollfd item{.fd = fd, .events = POLLOUT, .revents = 0};
  return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

}  // namespace

void LogOutput::Write(const std::string& line) {
  if (this->queue.size() + line.size() + 1 > kMaxQueuedBytes) {
    this->Flush();
  }
  if (this->queue.size() + line.size() + 1 > kMaxQueuedBytes) {
    this->lost += 1;
    return;
  }
  if (this->lost != this->lost_and_reported) {
    this->queue += std::to_string(this->lost - this->lost_and_reported) +
                   " log lines were lost to a slow reader\n";
    this->lost_and_reported = this->lost;
  }
  this->queue += line;
  this->queue += '\n';
  this->Flush();
}

void LogOutput::Flush() {
  std::size_t written = 0;
  while (written < this->queue.size() && IsReady(this->fd)) {
    const std::size_t size =
        std::min(kMaxWriteBytes, this->queue.size() - written);
    const ssize_t count = write(this->fd, this->queue.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  this->queue.erase(0, written);
}

}  // namespace filbertwall
