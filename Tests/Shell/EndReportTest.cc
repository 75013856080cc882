#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <string>

#include "Shell/EndReport.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

struct Ending {
  std::string output;
  int status = 0;
};

/// Runs `body` in a child process and returns how the child ended.
template <typename Body>
Ending RunChild(Body body) {
  int ends[2];
  LONGS_EQUAL(0, pipe(ends));
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    InstallEndReport();
    body();
    _exit(0);
  }
  close(ends[1]);
  Ending ending;
  char chunk[1024];
  ssize_t count = 0;
  while ((count = read(ends[0], chunk, sizeof(chunk))) > 0) {
    ending.output.append(chunk, static_cast<std::size_t>(count));
  }
  close(ends[0]);
  waitpid(child, &ending.status, 0);
  return ending;
}

}  // namespace

TEST_GROUP(EndReport){};

TEST(EndReport, NamesTheSignalAndTheInput) {
  const Ending ending = RunChild([] {
    const InputMark mark(InputKind::kCall, 400012);
    raise(SIGSEGV);
  });
  CHECK(WIFSIGNALED(ending.status));
  LONGS_EQUAL(SIGSEGV, WTERMSIG(ending.status));
  STRCMP_CONTAINS("FW-1007 error", ending.output.c_str());
  STRCMP_CONTAINS(" signal=11 input=call input_bytes=400012\n",
                  ending.output.c_str());
}

TEST(EndReport, AReaderThatReadsNothingKeepsNoProcessFromEnding) {
  int ends[2];
  LONGS_EQUAL(0, pipe2(ends, O_NONBLOCK));
  const std::string filler(4096, 'x');
  while (write(ends[1], filler.data(), filler.size()) > 0) {
  }
  fcntl(ends[1], F_SETFL, 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    InstallEndReport();
    raise(SIGSEGV);
  }
  int status = 0;
  pid_t ended = 0;
  for (int i = 0; i < 200 && ended == 0; ++i) {
    usleep(10000);
    ended = waitpid(child, &status, WNOHANG);
  }
  if (ended == 0) {
    kill(child, SIGKILL);
    waitpid(child, &status, 0);
  }
  close(ends[0]);
  close(ends[1]);
  CHECK(WIFSIGNALED(status));
  LONGS_EQUAL(SIGSEGV, WTERMSIG(status));
}

TEST(EndReport, NamesTheExitStatus) {
  const Ending ending = RunChild([] { ReportExit(7); });
  STRCMP_CONTAINS(" exit_status=7 input=none input_bytes=0\n",
                  ending.output.c_str());
}

TEST(EndReport, NamesAnExceptionInPrintableText) {
  const Ending ending =
      RunChild([] { ReportException("invalid byte \xC3\n"); });
  STRCMP_CONTAINS(
      " exception=\"invalid byte \\xC3\\x0A\" input=none input_bytes=0\n",
      ending.output.c_str());
}

TEST(EndReport, NamesTheInputOfAnException) {
  const Ending ending = RunChild([] {
    try {
      const InputMark mark(InputKind::kCall, 7);
      throw std::runtime_error("x");
    } catch (const std::exception& error) {
      ReportException(error.what());
    }
  });
  STRCMP_CONTAINS(" exception=\"x\" input=call input_bytes=7\n",
                  ending.output.c_str());
}

TEST(EndReport, AnInputThatWasHandledIsNotNamed) {
  const Ending ending = RunChild([] {
    { const InputMark mark(InputKind::kPacket, 32); }
    raise(SIGABRT);
  });
  LONGS_EQUAL(SIGABRT, WTERMSIG(ending.status));
  STRCMP_CONTAINS(" signal=6 input=none", ending.output.c_str());
}
