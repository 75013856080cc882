#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Shell/HttpServer.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kLimit{3000};
constexpr std::uint32_t kLoopback = 0x7F000001;

/// Returns a loopback port that nothing listens on.
std::uint16_t FindFreePort() {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{.sin_family = AF_INET,
                      .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
  socklen_t length = sizeof(address);
  bind(listener, reinterpret_cast<sockaddr*>(&address), length);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  close(listener);
  return ntohs(address.sin_port);
}

/// A caller with one connection that never blocks.
class Caller {
 public:
  explicit Caller(std::uint16_t port)
      : stream(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{.sin_family = AF_INET,
                        .sin_port = htons(port),
                        .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    connect(this->stream, reinterpret_cast<sockaddr*>(&address),
            sizeof(address));
  }
  ~Caller() { this->Close(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// Sends what the connection takes; `Pump` sends the rest.
  void Send(const std::string& bytes) {
    this->unsent += bytes;
    this->Pump();
  }
  void Pump() {
    const ssize_t sent = send(this->stream, this->unsent.data(),
                              this->unsent.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      this->unsent.erase(0, static_cast<std::size_t>(sent));
    }
    char chunk[65536];
    ssize_t count = 0;
    while (this->reads &&
           (count = recv(this->stream, chunk, sizeof(chunk), 0)) > 0) {
      this->received.append(chunk, static_cast<std::size_t>(count));
    }
    this->closed = this->closed || (this->reads && count == 0) ||
                   (count < 0 && errno != EAGAIN && errno != ENOTCONN);
  }
  void Close() {
    if (this->stream >= 0) {
      close(this->stream);
    }
    this->stream = -1;
  }
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(this->stream, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    this->Close();
  }
  /// Returns how often a text was received.
  int Count(const std::string& text) const {
    int count = 0;
    for (std::size_t at = this->received.find(text); at != std::string::npos;
         at = this->received.find(text, at + text.size())) {
      ++count;
    }
    return count;
  }

  std::string received;
  std::string unsent;
  bool closed = false;
  bool reads = true;

 private:
  int stream;
};

struct Seen {
  std::uint64_t id = 0;
  HttpRequest request;
};

/// An HTTP server with its loop on this thread.
struct Site {
  Site() : base(event_base_new()), server(new HttpServer(this->base)) {
    this->server->on_request.connect(
        [this](std::uint64_t id, const HttpRequest& request) {
          this->seen.push_back({.id = id, .request = request});
          if (this->answers_at_once) {
            this->Answer(id, this->body);
          }
        });
    this->server->on_caller_disconnected.connect(
        [this](std::uint64_t id) { this->disconnected.push_back(id); });
    CHECK(this->server->Start({.ip = kLoopback, .port = this->port}));
  }
  ~Site() {
    this->server.reset();
    event_base_free(this->base);
  }

  void Answer(std::uint64_t id, const std::string& text) {
    constexpr int kOk = 200;
    wire::Answer answer;
    answer.set_status(kOk);
    answer.set_body(text);
    this->server->Answer(id, answer);
  }

  void RunFor(std::chrono::milliseconds time) {
    this->RunUntil([] { return false; }, time);
  }
  /// Runs the loop until the condition holds. Returns whether it did.
  bool RunUntil(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = kLimit) {
    const auto end = Clock::now() + limit;
    while (!condition() && Clock::now() < end) {
      for (Caller* caller : this->callers) {
        caller->Pump();
      }
      event_base_loop(this->base, EVLOOP_NONBLOCK);
      if (!condition()) {
        usleep(100);
      }
    }
    return condition();
  }

  event_base* base;
  std::uint16_t port = FindFreePort();
  std::unique_ptr<HttpServer> server;
  std::vector<Seen> seen;
  std::vector<std::uint64_t> disconnected;
  std::vector<Caller*> callers;
  bool answers_at_once = true;
  std::string body = "ok";
};

int CountDescriptors() {
  return static_cast<int>(
      std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {}));
}

const std::string kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string kPost =
    "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nxyz";

}  // namespace

TEST_GROUP(HttpServer) { Site site; };

TEST(HttpServer, RequestBehindAnUnansweredOneIsAnsweredInItsTurn) {
  this->site.answers_at_once = false;
  Caller caller(this->site.port);
  this->site.callers = {&caller};
  caller.Send(kPost);
  CHECK(this->site.RunUntil([&] { return this->site.seen.size() == 1; }));
  caller.Send(kGet);
  this->site.RunFor(std::chrono::milliseconds(20));
  LONGS_EQUAL(1, this->site.seen.size());
  this->site.Answer(this->site.seen[0].id, "first");
  CHECK(this->site.RunUntil([&] { return this->site.seen.size() == 2; }));
  this->site.Answer(this->site.seen[1].id, "second");
  CHECK(this->site.RunUntil([&] { return caller.Count("second") == 1; }));
  LONGS_EQUAL(1, caller.Count("first"));
  STRCMP_EQUAL("/b", this->site.seen[0].request.path.c_str());
  STRCMP_EQUAL("/a", this->site.seen[1].request.path.c_str());
}

TEST(HttpServer, CloseBehindAnUnansweredRequestIsNoticed) {
  this->site.answers_at_once = false;
  Caller caller(this->site.port);
  this->site.callers = {&caller};
  caller.Send(kPost + kPost);
  CHECK(this->site.RunUntil([&] { return this->site.seen.size() == 1; }));
  caller.Close();
  CHECK(
      this->site.RunUntil([&] { return this->site.disconnected.size() == 1; }));
  this->site.Answer(this->site.seen[0].id, "late");
}

TEST(HttpServer, BytesBehindAnUnansweredRequestAreBounded) {
  this->site.answers_at_once = false;
  Caller caller(this->site.port);
  this->site.callers = {&caller};
  constexpr std::size_t kMany = 64 * 1024 * 1024;
  caller.Send(kPost + std::string(kMany, 'a'));
  this->site.RunFor(std::chrono::milliseconds(200));
  CHECK(caller.unsent.size() > kMany / 2);
}

TEST(HttpServer, PipelinedRequestsAreAllAnsweredInOrder) {
  for (const int count : {2, 10, 1000}) {
    Caller caller(this->site.port);
    this->site.callers = {&caller};
    this->site.seen.clear();
    std::string requests;
    for (int i = 0; i < count; ++i) {
      requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }
    caller.Send(requests);
    CHECK(this->site.RunUntil(
        [&] { return caller.Count("HTTP/1.1 200") == count; }));
    for (int i = 0; i < count; ++i) {
      STRCMP_EQUAL(("/" + std::to_string(i)).c_str(),
                   this->site.seen.at(i).request.path.c_str());
    }
  }
}

TEST(HttpServer, KeptConnectionServesManyRequests) {
  Caller caller(this->site.port);
  this->site.callers = {&caller};
  constexpr int kMany = 1000;
  for (int i = 1; i <= kMany; ++i) {
    caller.Send(i % 2 == 0 ? kGet : kPost);
    CHECK(
        this->site.RunUntil([&] { return caller.Count("HTTP/1.1 200") == 1; }));
    caller.received.clear();
  }
  CHECK(!caller.closed);
}

TEST(HttpServer, RequestCutAtEachByteLeavesNothingBehind) {
  const std::string request =
      "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nxyz\r\n0\r\nA: b\r\n\r\n";
  const int before = CountDescriptors();
  this->site.answers_at_once = false;
  for (std::size_t length = 0; length <= request.size(); ++length) {
    Caller closes(this->site.port);
    Caller resets(this->site.port);
    closes.Send(request.substr(0, length));
    resets.Send(request.substr(0, length));
    this->site.RunFor(std::chrono::milliseconds(2));
    closes.Close();
    resets.Reset();
  }
  CHECK(this->site.RunUntil([&] { return CountDescriptors() == before; }));
  LONGS_EQUAL(2, this->site.seen.size());
  LONGS_EQUAL(2, this->site.disconnected.size());
}

TEST(HttpServer, CallsThatTheirCallersLeftOccupyNoMemory) {
  this->site.answers_at_once = false;
  constexpr std::size_t kFieldBytes = 12000;
  constexpr int kMany = 200;
  const std::string field = "A: " + std::string(kFieldBytes, 'a') + "\r\n";
  const auto leave = [&](int times) {
    for (int i = 0; i < times; ++i) {
      Caller caller(this->site.port);
      caller.Send("GET /a HTTP/1.1\r\n" + field + "\r\n");
      CHECK(this->site.RunUntil([&] { return this->site.seen.size() == 1; }));
      caller.Close();
      CHECK(this->site.RunUntil(
          [&] { return this->site.disconnected.size() == 1; }));
      this->site.seen.clear();
      this->site.disconnected.clear();
    }
  };
  leave(kMany);
  const std::size_t before = mallinfo2().uordblks;
  leave(kMany);
  CHECK(mallinfo2().uordblks < before + kMany * kFieldBytes / 2);
}

TEST(HttpServer, ServerThatEndsWithUnansweredRequestsFreesThem) {
  this->site.answers_at_once = false;
  Caller caller(this->site.port);
  caller.Send(kPost + kPost);
  CHECK(this->site.RunUntil([&] { return this->site.seen.size() == 1; }));
  this->site.server.reset();
  LONGS_EQUAL(0, this->site.disconnected.size());
}
