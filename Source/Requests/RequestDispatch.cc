#include <algorithm>

#include "Base/Hash.h"
#include "Requests/Balancer.h"
#include "Requests/RequestTurn.h"

/// Dispatch: from a request that may run to an attempt, a queue or a refusal.
namespace filbertwall {
namespace {

constexpr Milliseconds kShortestAttempt{5};

void SetDeadlineHeader(HttpRequest& request, Milliseconds remaining) {
  std::erase_if(request.headers, [](const wire::HeaderField& field) {
    return field.name() == kDeadlineHeader;
  });
  wire::HeaderField field;
  field.set_name(std::string(kDeadlineHeader));
  field.set_value(std::to_string(remaining.count()));
  request.headers.push_back(field);
}

void Start(RequestTurn& turn, OpenRequest& open, const Endpoint& address) {
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
  // Leaves time for the retries that are still allowed.
  open.attempt_deadline = now + remaining / (open.retries_left + 1);
  turn.tier.attempts[open.attempt] = open.id;
  StartAttempt effect{
      .attempt = open.attempt, .backend = address, .request = open.request};
  SetDeadlineHeader(effect.request, remaining);
  turn.effects.emplace_back(std::move(effect));
}

/// The wait that a request at the end of the queue must expect.
Milliseconds ExpectedWait(const ServiceLoad& load, std::size_t ahead) {
  const double servers = std::max(1U, load.running);
  return Milliseconds(static_cast<std::int64_t>(
      load.mean_service_ms * static_cast<double>(ahead + 1) / servers));
}

void Enqueue(RequestTurn& turn, OpenRequest& open) {
  ServiceLoad& load = turn.tier.services[open.service];
  const bool interactive = open.traffic_class == TrafficClass::kInteractive;
  const std::size_t ahead =
      load.interactive.size() + (interactive ? 0 : load.bulk.size());
  const TimePoint turn_at = turn.context.now + ExpectedWait(load, ahead);
  if (ahead >= open.queue_limit || turn_at >= open.deadline) {
    open.phase = RequestPhase::kQueued;
    Count(turn, "shed");
    FinishNotRun(turn, open, "all slots are taken");
    return;
  }
  open.phase = RequestPhase::kQueued;
  (interactive ? load.interactive : load.bulk).push_back(open.id);
}

Choice ChooseFor(RequestTurn& turn, const OpenRequest& open) {
  const ChoiceRequest request{
      .service = open.service,
      .seed = MixHash(turn.tier.next_attempt, turn.tier.incarnation),
      .avoided = open.tried};
  return ChooseBackend(turn.context.directory, turn.context.rules, request,
                       turn.context.now);
}

void DrainQueue(RequestTurn& turn, std::deque<std::uint64_t>& queue) {
  while (!queue.empty()) {
    OpenRequest& open = turn.tier.open.at(queue.front());
    if (open.deadline - turn.context.now < kShortestAttempt) {
      queue.pop_front();
      FinishNotRun(turn, open, "no slot was free in time");
      continue;
    }
    const Choice choice = ChooseFor(turn, open);
    if (choice.kind != Choice::Kind::kChosen) {
      return;
    }
    queue.pop_front();
    Start(turn, open, choice.backend);
  }
}

}  // namespace

void Dispatch(RequestTurn& turn, OpenRequest& open) {
  const ServiceLoad& load = turn.tier.services[open.service];
  const bool interactive = open.traffic_class == TrafficClass::kInteractive;
  const bool others_first =
      !load.interactive.empty() || (!interactive && !load.bulk.empty());
  if (others_first) {
    Enqueue(turn, open);
    return;
  }
  const Choice choice = ChooseFor(turn, open);
  switch (choice.kind) {
    case Choice::Kind::kChosen:
      Start(turn, open, choice.backend);
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
