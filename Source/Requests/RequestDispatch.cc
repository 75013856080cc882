#include <algorithm>

#include "Base/Hash.h"
#include "Requests/Balancer.h"
#include "Requests/RequestTurn.h"

/// Dispatch: sends a request to a backend server, queues it or rejects it.
namespace filbertwall {
namespace {

/// Time to the deadline below which a queued request is not sent any more.
constexpr Milliseconds kMinAttemptTime{5};

void SetDeadlineHeader(HttpRequest& request, Milliseconds remaining) {
  std::erase_if(request.headers, [](const wire::HeaderField& field) {
    return field.name() == kDeadlineHeader;
  });
  wire::HeaderField field;
  field.set_name(std::string(kDeadlineHeader));
  field.set_value(std::to_string(remaining.count()));
  request.headers.push_back(field);
}

void SendAttempt(RequestTurn& turn, OpenRequest& open,
                 const Endpoint& address) {
  const TimePoint now = turn.context.now;
  Backend& backend = turn.context.directory.backends.at(address);
  ServiceLoad& load = turn.tier.services[open.service];
  backend.own_in_flight += 1;
  load.running += 1;
  open.phase = RequestPhase::kRunning;
  open.backend = address;
  open.attempts += 1;
  open.attempt = turn.tier.next_attempt++;
  open.attempt_started_at = now;
  const auto remaining =
      std::chrono::duration_cast<Milliseconds>(open.deadline - now);
  // Divides the remaining time equally between this attempt and the retries
  // that are left.
  open.attempt_deadline = now + remaining / (open.retries_left + 1);
  turn.tier.attempts[open.attempt] = open.id;
  StartAttempt effect{
      .attempt = open.attempt, .backend = address, .request = open.request};
  SetDeadlineHeader(effect.request, remaining);
  turn.effects.emplace_back(std::move(effect));
}

/// Estimates the queueing delay of a request with `ahead` requests before it,
/// if as many requests run in parallel as now.
Milliseconds ExpectedWait(const ServiceLoad& load, std::size_t ahead) {
  const double concurrency = std::max(1U, load.running);
  return Milliseconds(static_cast<std::int64_t>(
      load.mean_service_ms * static_cast<double>(ahead + 1) / concurrency));
}

void Enqueue(RequestTurn& turn, OpenRequest& open) {
  ServiceLoad& load = turn.tier.services[open.service];
  const bool interactive = open.traffic_class == TrafficClass::kInteractive;
  const std::size_t ahead =
      load.interactive.size() + (interactive ? 0 : load.bulk.size());
  const TimePoint expected_start = turn.context.now + ExpectedWait(load, ahead);
  if (ahead >= open.queue_limit || expected_start >= open.deadline) {
    open.phase = RequestPhase::kQueued;
    Count(turn, "shed");
    FinishNotRun(turn, open, "all slots are taken");
    return;
  }
  open.phase = RequestPhase::kQueued;
  (interactive ? load.interactive : load.bulk).push_back(open.id);
}

Choice ChooseBackendFor(RequestTurn& turn, const OpenRequest& open) {
  const ChoiceRequest request{
      .service = open.service,
      .seed = MixHash(turn.tier.next_attempt, turn.tier.incarnation),
      .already_tried = open.tried};
  return ChooseBackend(turn.context.directory, turn.context.rules, request,
                       turn.context.now);
}

void DrainQueue(RequestTurn& turn, std::deque<std::uint64_t>& queue) {
  while (!queue.empty()) {
    OpenRequest& open = turn.tier.open.at(queue.front());
    if (open.deadline - turn.context.now < kMinAttemptTime) {
      queue.pop_front();
      FinishNotRun(turn, open, "no slot was free in time");
      continue;
    }
    const Choice choice = ChooseBackendFor(turn, open);
    if (choice.kind != Choice::Kind::kChosen) {
      return;
    }
    queue.pop_front();
    SendAttempt(turn, open, choice.backend);
  }
}

}  // namespace

void Dispatch(RequestTurn& turn, OpenRequest& open) {
  const ServiceLoad& load = turn.tier.services[open.service];
  const bool interactive = open.traffic_class == TrafficClass::kInteractive;
  const bool has_queued_ahead =
      !load.interactive.empty() || (!interactive && !load.bulk.empty());
  if (has_queued_ahead) {
    Enqueue(turn, open);
    return;
  }
  const Choice choice = ChooseBackendFor(turn, open);
  switch (choice.kind) {
    case Choice::Kind::kChosen:
      SendAttempt(turn, open, choice.backend);
      return;
    case Choice::Kind::kFull:
      Enqueue(turn, open);
      return;
    case Choice::Kind::kNone:
      open.phase = RequestPhase::kQueued;
      FinishNotRun(turn, open, "no backend server announces the service");
      return;
  }
}

void DrainQueues(RequestTurn& turn) {
  for (auto& [name, load] : turn.tier.services) {
    DrainQueue(turn, load.interactive);
    if (load.interactive.empty()) {
      DrainQueue(turn, load.bulk);
    }
  }
}

}  // namespace filbertwall
