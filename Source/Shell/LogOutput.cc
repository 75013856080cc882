#include "Shell/LogOutput.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace filbertwall {
namespace {

/// A pipe that is ready takes at least this much without blocking.
constexpr std::size_t kAtomicBytes = 4096;

bool IsReady(int fd) {
  pollfd item{.fd = fd, .events = POLLOUT, .revents = 0};
  return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

}  // namespace

void LogOutput::Write(const std::string& line) {
  if (this->queue.size() + line.size() + 1 > kMostQueuedBytes) {
    this->Flush();
  }
  if (this->queue.size() + line.size() + 1 > kMostQueuedBytes) {
    this->lost += 1;
    return;
  }
  if (this->lost != this->lost_and_told) {
    this->queue += std::to_string(this->lost - this->lost_and_told) +
                   " log lines were lost to a slow reader\n";
    this->lost_and_told = this->lost;
  }
  this->queue += line;
  this->queue += '\n';
  this->Flush();
}

void LogOutput::Flush() {
  std::size_t written = 0;
  while (written < this->queue.size() && IsReady(this->fd)) {
    const std::size_t size =
        std::min(kAtomicBytes, this->queue.size() - written);
    const ssize_t taken = write(this->fd, this->queue.data() + written, size);
    if (taken <= 0) {
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  this->queue.erase(0, written);
}

}  // namespace filbertwall
