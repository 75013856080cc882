#include "Shell/EndReport.h"

#include <event2/event.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

#include "Base/Event.h"
#include "Base/InputError.h"

namespace filbertwall {
namespace {

constexpr std::array<int, 5> kFatalSignals = {SIGSEGV, SIGBUS, SIGFPE, SIGILL,
                                              SIGABRT};
constexpr std::size_t kSignalStackBytes = 64UL * 1024UL;
constexpr std::size_t kMaxLineBytes = 512;

// Read by the signal handler, hence atomic; written by one thread.
std::atomic<InputKind> g_input_kind = InputKind::kNone;
std::atomic<std::size_t> g_input_bytes = 0;
static_assert(std::atomic<InputKind>::is_always_lock_free &&
              std::atomic<std::size_t>::is_always_lock_free);

void SetInput(InputKind kind, std::size_t bytes) {
  g_input_kind.store(kind, std::memory_order_relaxed);
  g_input_bytes.store(bytes, std::memory_order_relaxed);
}

const char* InputKindName(InputKind kind) {
  switch (kind) {
    case InputKind::kNone:
      return "none";
    case InputKind::kSettings:
      return "settings";
    case InputKind::kStoredFile:
      return "stored_file";
    case InputKind::kCall:
      return "call";
    case InputKind::kMessage:
      return "message";
    case InputKind::kPacket:
      return "packet";
  }
  return "";
}

/// A line of text in a fixed buffer. Safe to use in a signal handler.
class Line {
 public:
  Line& Add(std::string_view text) {
    for (const char character : text) {
      if (this->length + 1 < this->bytes.size()) {
        this->bytes[this->length++] = character;
      }
    }
    return *this;
  }

  Line& Add(std::size_t number) {
    std::array<char, 24> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number);
    return this->Add(std::string_view(
        digits.data(), static_cast<std::size_t>(end.ptr - digits.data())));
  }

  /// Writes the line unless the reader accepts nothing now: a process that ends
  /// must not wait for it.
  void Write() {
    this->bytes[this->length++] = '\n';
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return;
    }
    // Nothing is left to do about a failed write.
    [[maybe_unused]] const ssize_t written =
        write(STDOUT_FILENO, this->bytes.data(), this->length);
  }

 private:
  std::array<char, kMaxLineBytes> bytes{};
  std::size_t length = 0;
};

void WriteEndReport(std::string_view cause, std::string_view detail) {
  Line line;
  line.Add("FW-").Add(static_cast<std::size_t>(EventId::kEndedByItself));
  line.Add(" error pid=").Add(static_cast<std::size_t>(getpid()));
  line.Add(" ").Add(cause).Add(detail);
  line.Add(" input=").Add(InputKindName(g_input_kind.load()));
  line.Add(" input_bytes=").Add(g_input_bytes.load());
  line.Write();
}

void HandleFatalSignal(int number) {
  std::array<char, 12> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number);
  WriteEndReport("signal=",
                 std::string_view(digits.data(), static_cast<std::size_t>(
                                                     end.ptr - digits.data())));
  raise(number);  // SA_RESETHAND has restored the default action.
}

void HandleEventLibraryError(int error) {
  WriteEndReport("event_library", "");
  std::exit(error);
}

}  // namespace

InputMark::InputMark(InputKind kind, std::size_t bytes)
    : previous_kind(g_input_kind), previous_bytes(g_input_bytes) {
  SetInput(kind, bytes);
}

InputMark::~InputMark() {
  if (std::uncaught_exceptions() > 0) {
    return;  // ReportException() names the input.
  }
  SetInput(this->previous_kind, this->previous_bytes);
}

void InstallEndReport() {
  // A stack overflow leaves no room for the handler on the normal stack.
  static std::array<char, kSignalStackBytes> signal_stack;
  const stack_t stack{.ss_sp = signal_stack.data(),
                      .ss_flags = 0,
                      .ss_size = signal_stack.size()};
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_handler = &HandleFatalSignal;
  action.sa_flags = SA_ONSTACK | SA_RESETHAND;
  sigemptyset(&action.sa_mask);
  for (const int number : kFatalSignals) {
    sigaction(number, &action, nullptr);
  }
  event_set_fatal_callback(&HandleEventLibraryError);
}

void ReportExit(int status) {
  WriteEndReport("exit_status=", std::to_string(status));
}

void ReportException(std::string_view what) {
  WriteEndReport("exception=", "\"" + Excerpt(what) + "\"");
}

}  // namespace filbertwall
