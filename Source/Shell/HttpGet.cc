#include "Shell/HttpGet.h"

#include <event2/event.h>

#include <memory>

#include "Shell/HttpClient.h"

namespace filbertwall {

std::optional<wire::Answer> HttpGet(const Endpoint& server,
                                    const std::string& target,
                                    Milliseconds timeout) {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
  const std::unique_ptr<event_base, decltype(&event_base_free)> base(
      event_base_new(), &event_base_free);
  HttpClient client(base.get());
  std::optional<wire::Answer> answer;
  client.on_ended.connect([&](std::uint64_t, const AttemptResult& result) {
    if (result.kind == AttemptResult::Kind::kAnswered) {
      answer = result.answer;
    }
    event_base_loopbreak(base.get());
  });
  client.Start({.attempt = 1,
                .backend = server,
                .request = {.method = "GET", .path = target}});
  const timeval limit{.tv_sec = timeout.count() / kMillisecondsPerSecond,
                      .tv_usec = timeout.count() % kMillisecondsPerSecond *
                                 kMicrosecondsPerMillisecond};
  event_base_loopexit(base.get(), &limit);
  event_base_dispatch(base.get());
  return answer;
}

}  // namespace filbertwall
