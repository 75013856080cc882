#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <string>

#include "Shell/LogOutput.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

std::string ReadAll(int fd) {
  std::string bytes;
  char chunk[4096];
  ssize_t count = read(fd, chunk, sizeof(chunk));
  while (count > 0) {
    bytes.append(chunk, static_cast<std::size_t>(count));
    count = read(fd, chunk, sizeof(chunk));
  }
  return bytes;
}

}  // namespace

TEST_GROUP(LogOutput) {
  int pipe_ends[2] = {-1, -1};

  void setup() override {
    LONGS_EQUAL(0, pipe(this->pipe_ends));
    fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK);
  }

  void teardown() override {
    close(this->pipe_ends[0]);
    close(this->pipe_ends[1]);
  }
};

TEST(LogOutput, LinesAreWrittenImmediately) {
  LogOutput output(this->pipe_ends[1]);
  output.Write("one");
  output.Write("two");
  STRCMP_EQUAL("one\ntwo\n", ReadAll(this->pipe_ends[0]).c_str());
}

TEST(LogOutput, WriteDoesNotBlockOnStalledReader) {
  LogOutput output(this->pipe_ends[1]);
  const std::string line(100, 'x');
  constexpr int kLines = 20000;
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < kLines; ++i) {
    output.Write(line);
  }
  const auto elapsed = std::chrono::steady_clock::now() - started;
  CHECK(elapsed < std::chrono::seconds(5));
  CHECK(output.Lost() > 0);
}

TEST(LogOutput, LostLinesAreReportedOnceThereIsRoom) {
  LogOutput output(this->pipe_ends[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    output.Write(line);
  }
  const std::uint64_t lost = output.Lost();
  CHECK(lost > 0);
  ReadAll(this->pipe_ends[0]);
  output.Write("after");
  std::string rest = ReadAll(this->pipe_ends[0]);
  output.Write("last");
  rest += ReadAll(this->pipe_ends[0]);
  const std::string report =
      std::to_string(lost) + " log lines were lost to a slow reader";
  CHECK(rest.find(report) != std::string::npos);
  CHECK(rest.find("after") != std::string::npos);
  CHECK_EQUAL(lost, output.Lost());
}
