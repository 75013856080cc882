#include "Shell/ProcessSetup.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <initializer_list>

namespace filbertwall {
namespace {

void OpenStandardStreams() {
  for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (fcntl(stream, F_GETFD) < 0) {
      // Takes the lowest free descriptor, which is this one.
      [[maybe_unused]] const int opened = open("/dev/null", O_RDWR);
    }
  }
}

}  // namespace

void PrepareProcess() {
  for (const int number : {SIGHUP, SIGPIPE, SIGXFSZ}) {
    std::signal(number, SIG_IGN);
  }
  OpenStandardStreams();
}

void BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, number);
  }
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace filbertwall
