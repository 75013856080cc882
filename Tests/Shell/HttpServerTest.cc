#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Shell/HttpFields.h"
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
  void HalfClose() { shutdown(this->stream, SHUT_WR); }
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
  explicit Site(const HttpLimits& limits = {})
      : base(event_base_new()), server(new HttpServer(this->base, limits)) {
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

  /// Sends bytes on a connection of their own and returns all that is received
  /// until the server closes it.
  std::string Exchange(const std::string& bytes) {
    Caller caller(this->port);
    this->callers.push_back(&caller);
    caller.Send(bytes);
    this->RunUntil([&] { return caller.closed; }, std::chrono::seconds(1));
    this->callers.pop_back();
    return caller.received;
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

/// Returns the status codes of all answers in what was received.
std::string Statuses(const std::string& received) {
  std::string statuses;
  const std::string start = "HTTP/1.1 ";
  for (std::size_t at = received.find(start); at != std::string::npos;
       at = received.find(start, at + 1)) {
    statuses += received.substr(at + start.size(), 3) + " ";
  }
  return statuses;
}

std::string Repeat(const std::string& text, int times) {
  std::string repeated;
  for (int i = 0; i < times; ++i) {
    repeated += text;
  }
  return repeated;
}

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

TEST(HttpServer, CallerThatHasSentAllStillGetsItsAnswer) {
  for (const std::string& request : {kGet, kPost, kGet + kPost}) {
    Caller caller(this->site.port);
    this->site.callers = {&caller};
    caller.Send(request);
    caller.HalfClose();
    CHECK(this->site.RunUntil([&] { return caller.closed; }));
    STRCMP_CONTAINS("200 ", Statuses(caller.received).c_str());
  }
}

TEST(HttpServer, ServerThatEndsWithUnansweredRequestsFreesThem) {
  this->site.answers_at_once = false;
  Caller caller(this->site.port);
  caller.Send(kPost + kPost);
  CHECK(this->site.RunUntil([&] { return this->site.seen.size() == 1; }));
  this->site.server.reset();
  LONGS_EQUAL(0, this->site.disconnected.size());
}

TEST(HttpServer, ServerThatEndsRightAfterAnAcceptFreesTheConnection) {
  Caller caller(this->site.port);
  event_base_loop(this->site.base, EVLOOP_NONBLOCK);
  this->site.server.reset();
}

TEST(HttpServer, AmbiguousLengthsAreRefusedAndNothingBehindThemIsServed) {
  const std::string start = "POST /b HTTP/1.1\r\nHost: x\r\n";
  const std::string body = "\r\n3\r\nxyz\r\n0\r\n\r\n" + kGet;
  for (const std::string& fields : std::vector<std::string>{
           "Content-Length: 3\r\nContent-Length: 30\r\n",
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
           "Transfer-Encoding: gzip, chunked\r\n",
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: identity\r\n", "Content-Length: +3\r\n",
           "Content-Length: -3\r\n", "Content-Length: 3, 3\r\n",
           "Content-Length: 0x3\r\n", "Content-Length:\r\n",
           "Content-Length : 3\r\nContent-Length: 4\r\n"}) {
    const std::string received = this->site.Exchange(start + fields + body);
    STRCMP_EQUAL_TEXT("400 ", Statuses(received).c_str(), fields.c_str());
  }
  LONGS_EQUAL(0, this->site.seen.size());
}

TEST(HttpServer, BytesOfAnUnreadBodyAreNoRequest) {
  for (const char* method : {"GET", "HEAD", "DELETE", "OPTIONS"}) {
    this->site.seen.clear();
    const std::string received = this->site.Exchange(
        std::string(method) + " /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
        std::to_string(kGet.size()) + "\r\n\r\n" + kGet);
    STRCMP_EQUAL_TEXT("200 ", Statuses(received).c_str(), method);
    LONGS_EQUAL(1, this->site.seen.size());
  }
}

TEST(HttpServer, TooLargeRequestsAreRefused) {
  const std::string post = "POST /b HTTP/1.1\r\nHost: x\r\n";
  const std::string huge(kMaxHeaderBytes + 1, 'a');
  struct Case {
    std::string request;
    std::string statuses;
  };
  for (const auto& [request, statuses] : std::vector<Case>{
           {"GET /" + huge + " HTTP/1.1\r\n\r\n", "400 "},
           {"GET /" + huge, "400 "},
           {post + "A: " + huge + "\r\n\r\n", "400 "},
           {post + "A: " + huge, "400 "},
           {post + Repeat("A: b\r\n", kMaxHeaderBytes / 4) + "\r\n", "400 "},
           {post + "Content-Length: 4194305\r\n\r\n", "413 "},
           {post + "Content-Length: 9223372036854775807\r\n\r\n", "413 "},
           {post + "Content-Length: 99999999999999999999999\r\n\r\n", "413 "},
           {post + "Transfer-Encoding: chunked\r\n\r\n400001\r\n", "413 "},
           {post + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n",
            "413 "}}) {
    const std::string received = this->site.Exchange(request);
    STRCMP_EQUAL_TEXT(statuses.c_str(), Statuses(received).c_str(),
                      request.substr(0, 90).c_str());
  }
  LONGS_EQUAL(0, this->site.seen.size());
}

TEST(HttpServer, LargestBodyIsAccepted) {
  const std::string body(kMaxBodyBytes, 'a');
  Caller caller(this->site.port);
  this->site.callers = {&caller};
  caller.Send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  CHECK(this->site.RunUntil([&] { return caller.Count("200 OK") == 1; }));
  LONGS_EQUAL(body.size(), this->site.seen.at(0).request.body.size());
}

TEST(HttpServer, OddRequestsAreRefused) {
  const std::string post = "POST /b HTTP/1.1\r\nHost: x\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  struct Case {
    std::string request;
    std::string statuses;
  };
  const std::string nul(1, '\0');
  for (const auto& [request, statuses] : std::vector<Case>{
           {"BREW /pot HTTP/1.1\r\nHost: x\r\n\r\n", "501 "},
           {"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n", "501 "},
           {"GET /a\r\n\r\n", "400 "},
           {"GET\r\n\r\n", "400 "},
           {"\r\n\r\n", "400 "},
           {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400 "},
           {"GET /a HTTP/9.9\r\n\r\n", "400 "},
           {"GET /a" + nul + "b HTTP/1.1\r\n\r\n", "400 "},
           {nul + nul + "\r\n\r\n", "400 "},
           {"GET /a\r b HTTP/1.1\r\nHost: x\r\n\r\n", "400 "},
           {"GET /a\tb HTTP/1.1\r\nHost: x\r\n\r\n", "400 "},
           {"GET /a\x7f HTTP/1.1\r\nHost: x\r\n\r\n", "400 "},
           {"GET /a HTTP/1.1\r\nnothing\r\n\r\n", "400 "},
           {"GET /a HTTP/1.1\r\nA b: c\r\n\r\n", "400 "},
           {"GET /a HTTP/1.1\r\nA : c\r\n\r\n", "400 "},
           {"GET /a HTTP/1.1\r\nA" + nul + ": c\r\n\r\n", "400 "},
           {post + "Expect: the-unexpected\r\nContent-Length: 3\r\n\r\nxyz",
            "417 "},
           {chunked + "-1\r\n", "413 "},
           {chunked + "xyz\r\n", "413 "}}) {
    const std::string received = this->site.Exchange(request);
    STRCMP_EQUAL_TEXT(statuses.c_str(), Statuses(received).c_str(),
                      request.c_str());
  }
  LONGS_EQUAL(0, this->site.seen.size());
}

TEST(HttpServer, UnusualRequestsAreServed) {
  const std::string end = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  for (const std::string& request : std::vector<std::string>{
           "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "OPTIONS *" + end,
           "GET /\xff\xfe" + end, "GET /a\xc3\xa9" + end,
           "GET /" + std::string(8192, 'a') + end, "GET //a" + end,
           "GET /%00%0d%0a" + end}) {
    const std::string received = this->site.Exchange(request);
    STRCMP_EQUAL_TEXT("200 ", Statuses(received).c_str(), request.c_str());
  }
}

TEST(HttpServer, AnswerToHeadHasNoBody) {
  this->site.body = "a body";
  Caller caller(this->site.port);
  this->site.callers = {&caller};
  caller.Send("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n" + kGet);
  CHECK(this->site.RunUntil([&] { return caller.Count("a body") == 1; }));
  LONGS_EQUAL(2, caller.Count("HTTP/1.1 200"));
}

TEST(HttpServer, ExpectedContinueIsSent) {
  Caller caller(this->site.port);
  this->site.callers = {&caller};
  caller.Send(
      "POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
      "Content-Length: 3\r\n\r\n");
  CHECK(this->site.RunUntil([&] { return caller.Count("100 Continue") == 1; }));
  caller.Send("xyz");
  CHECK(this->site.RunUntil([&] { return caller.Count("200 OK") == 1; }));
}

TEST(HttpServer, LargeAnswersAreSentInFull) {
  constexpr std::size_t kLarge = 8 * 1024 * 1024;
  this->site.body = std::string(kLarge, 'a');
  Caller caller(this->site.port);
  this->site.callers = {&caller};
  caller.Send(kGet);
  CHECK(this->site.RunUntil([&] { return caller.received.size() > kLarge; }));
  CHECK(this->site.RunUntil([&] { return !this->site.server->IsSending(); }));
}

TEST(HttpServer, SlowRequestDoesNotHoldItsConnectionForEver) {
  Site hasty({.receive = Milliseconds(200), .check = Milliseconds(20)});
  Caller caller(hasty.port);
  hasty.callers = {&caller};
  const auto start = Clock::now();
  while (!caller.closed && Clock::now() - start < kLimit) {
    caller.Send(caller.received.empty() ? "G" : "");
    hasty.RunFor(std::chrono::milliseconds(20));
  }
  CHECK(caller.closed);
}

TEST(HttpServer, IdleConnectionIsClosed) {
  Site hasty({.idle = Milliseconds(100), .check = Milliseconds(20)});
  Caller caller(hasty.port);
  hasty.callers = {&caller};
  caller.Send(kGet);
  CHECK(hasty.RunUntil([&] { return caller.closed; }));
  LONGS_EQUAL(1, caller.Count("200 OK"));
}

TEST(HttpServer, UnreadAnswerDoesNotHoldItsConnectionForEver) {
  Site hasty({.send = Milliseconds(200), .check = Milliseconds(20)});
  hasty.body = std::string(16 * 1024 * 1024, 'a');
  const int before = CountDescriptors();
  Caller caller(hasty.port);
  hasty.callers = {&caller};
  caller.reads = false;
  caller.Send(kGet);
  CHECK(hasty.RunUntil([&] { return hasty.server->IsSending(); }));
  CHECK(hasty.RunUntil([&] { return CountDescriptors() == before + 1; }));
  CHECK(!hasty.server->IsSending());
}

TEST(HttpServer, RequestThatNobodyAnswersIsRefusedInTime) {
  Site hasty({.answer = Milliseconds(100), .check = Milliseconds(20)});
  hasty.answers_at_once = false;
  Caller caller(hasty.port);
  hasty.callers = {&caller};
  caller.Send(kPost);
  CHECK(hasty.RunUntil([&] { return caller.closed; }));
  STRCMP_EQUAL("503 ", Statuses(caller.received).c_str());
  LONGS_EQUAL(1, hasty.disconnected.size());
  hasty.Answer(hasty.seen.at(0).id, "late");
}

TEST(HttpServer, LongestWaitingConnectionMakesRoomForANewOne) {
  Site small({.connections = 3});
  small.answers_at_once = false;
  Caller pending(small.port);
  small.callers = {&pending};
  pending.Send(kPost);
  CHECK(small.RunUntil([&] { return small.seen.size() == 1; }));
  Caller idle(small.port);
  Caller slow(small.port);
  small.callers = {&pending, &idle, &slow};
  slow.Send("GET /");
  small.RunFor(std::chrono::milliseconds(20));
  Caller late(small.port);
  small.callers.push_back(&late);
  late.Send(kGet);
  CHECK(small.RunUntil([&] { return small.seen.size() == 2; }));
  CHECK(small.RunUntil([&] { return idle.closed; }));
  CHECK(!slow.closed);
  small.Answer(small.seen[0].id, "first");
  CHECK(small.RunUntil([&] { return pending.Count("first") == 1; }));
}

TEST(HttpServer, ConnectionBeyondUnansweredRequestsIsClosedAtOnce) {
  Site small({.connections = 1});
  small.answers_at_once = false;
  Caller pending(small.port);
  small.callers = {&pending};
  pending.Send(kPost);
  CHECK(small.RunUntil([&] { return small.seen.size() == 1; }));
  Caller late(small.port);
  small.callers.push_back(&late);
  late.Send(kGet);
  CHECK(small.RunUntil([&] { return late.closed; }));
  LONGS_EQUAL(0, small.disconnected.size());
}

TEST(HttpServer, UnfinishedBodiesShareABoundedMemory) {
  constexpr std::size_t kHeld = 1024 * 1024;
  Site small({.held_bytes = kHeld});
  std::vector<std::unique_ptr<Caller>> parked;
  for (int i = 0; i < 8; ++i) {
    Caller& caller = *parked.emplace_back(new Caller(small.port));
    small.callers.push_back(&caller);
    caller.Send(
        "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n" +
        std::string(kHeld / 2, 'a'));
  }
  CHECK(small.RunUntil([&] {
    return std::ranges::count_if(
               parked, [](const auto& caller) { return caller->closed; }) >= 6;
  }));
  Caller valid(small.port);
  small.callers.push_back(&valid);
  valid.Send(kPost);
  CHECK(small.RunUntil([&] { return valid.Count("200 OK") == 1; }));
}

TEST(HttpServer, EndlessChunkLineIsBounded) {
  Site hasty({.receive = Milliseconds(500), .check = Milliseconds(20)});
  Caller caller(hasty.port);
  hasty.callers = {&caller};
  constexpr std::size_t kMany = 64 * 1024 * 1024;
  caller.Send(
      "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
      std::string(kMany, '1'));
  CHECK(hasty.RunUntil([&] { return caller.closed; }));
  CHECK(caller.unsent.size() > kMany / 2);
}

TEST(HttpServer, FullTableOfDescriptorsNeitherSpinsNorStopsAccepting) {
  rlimit old{};
  getrlimit(RLIMIT_NOFILE, &old);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back(new Caller(this->site.port));
  }
  rlimit full = old;
  full.rlim_cur = static_cast<rlim_t>(CountDescriptors());
  setrlimit(RLIMIT_NOFILE, &full);
  int turns = 0;
  const auto end = Clock::now() + std::chrono::milliseconds(300);
  while (Clock::now() < end) {
    event_base_loop(this->site.base, EVLOOP_ONCE);
    ++turns;
  }
  setrlimit(RLIMIT_NOFILE, &old);
  CHECK(turns < 100);
  callers.clear();
  Caller late(this->site.port);
  this->site.callers = {&late};
  late.Send(kGet);
  CHECK(this->site.RunUntil([&] { return late.Count("200 OK") == 1; }));
}
