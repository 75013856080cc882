#include <algorithm>

#include "Base/Hash.h"
#include "Requests/Balancer.h"
#include "Requests/RequestContext.h"

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

void SendAttempt(RequestContext& context, OpenRequest& open,
                 const Endpoint& address) {
  const TimePoint now = context.environment.now;
  const LaunchedAttempt launched = LaunchAttempt(context, open, address);
  open.phase = RequestPhase::kRunning;
  open.backend = address;
  open.first_attempt_at = open.attempts == 0 ? now : open.first_attempt_at;
  open.attempts += 1;
  open.attempt = launched.attempt;
  open.attempt_started_at = now;
  open.attempt_deadline = launched.deadline;
  ScheduleHedge(context, open);
}

/// Estimates the queueing delay of a request with `ahead` requests before it,
/// if as many requests run in parallel as now.
Milliseconds ExpectedWait(const ServiceLoad& load, std::size_t ahead) {
  const double concurrency = std::max(1U, load.running);
  return Milliseconds(static_cast<std::int64_t>(
      load.mean_service_ms * static_cast<double>(ahead + 1) / concurrency));
}

void Enqueue(RequestContext& context, OpenRequest& open) {
  ServiceLoad& load = context.tier.services[open.service];
  const bool interactive = open.traffic_class == TrafficClass::kInteractive;
  const std::size_t ahead =
      load.interactive.size() + (interactive ? 0 : load.bulk.size());
  const TimePoint expected_start =
      context.environment.now + ExpectedWait(load, ahead);
  if (ahead >= open.queue_limit || expected_start >= open.deadline) {
    open.phase = RequestPhase::kQueued;
    Count(context, "shed");
    load.last_shed_at = context.environment.now;
    FinishNotRun(context, open, "all slots are taken");
    return;
  }
  open.phase = RequestPhase::kQueued;
  (interactive ? load.interactive : load.bulk).push_back(open.id);
}

Choice ChooseBackendFor(RequestContext& context, const OpenRequest& open) {
  const ChoiceRequest request{.service = open.service,
                              .seed = MakeChoiceSeed(context.tier),
                              .already_tried = open.tried};
  return ChooseBackend(context.environment.directory, context.environment.rules,
                       request, context.environment.now);
}

void DrainQueue(RequestContext& context, std::deque<std::uint64_t>& queue) {
  while (!queue.empty()) {
    OpenRequest& open = context.tier.open.at(queue.front());
    if (open.deadline - context.environment.now < kMinAttemptTime) {
      queue.pop_front();
      FinishNotRun(context, open, "no slot was free in time");
      continue;
    }
    const Choice choice = ChooseBackendFor(context, open);
    if (choice.kind != Choice::Kind::kChosen) {
      return;
    }
    queue.pop_front();
    SendAttempt(context, open, choice.backend);
  }
}

}  // namespace

std::uint64_t MakeChoiceSeed(const RequestTier& tier) {
  return MixHash(tier.next_attempt, tier.incarnation);
}

LaunchedAttempt LaunchAttempt(RequestContext& context, const OpenRequest& open,
                              const Endpoint& backend) {
  const TimePoint now = context.environment.now;
  context.environment.directory.backends.at(backend).own_in_flight += 1;
  context.tier.services[open.service].running += 1;
  const auto remaining =
      std::chrono::duration_cast<Milliseconds>(open.deadline - now);
  // Divides the remaining time equally between this attempt and the retries
  // that are left.
  const LaunchedAttempt launched{
      .attempt = context.tier.next_attempt++,
      .deadline = now + remaining / (open.retries_left + 1)};
  context.tier.attempts[launched.attempt] = open.id;
  StartAttempt effect{
      .attempt = launched.attempt, .backend = backend, .request = open.request};
  SetDeadlineHeader(effect.request, remaining);
  context.effects.emplace_back(std::move(effect));
  return launched;
}

void Dispatch(RequestContext& context, OpenRequest& open) {
  const ServiceLoad& load = context.tier.services[open.service];
  const bool interactive = open.traffic_class == TrafficClass::kInteractive;
  const bool has_queued_ahead =
      !load.interactive.empty() || (!interactive && !load.bulk.empty());
  if (has_queued_ahead) {
    Enqueue(context, open);
    return;
  }
  const Choice choice = ChooseBackendFor(context, open);
  switch (choice.kind) {
    case Choice::Kind::kChosen:
      SendAttempt(context, open, choice.backend);
      return;
    case Choice::Kind::kFull:
      Enqueue(context, open);
      return;
    case Choice::Kind::kNone:
      open.phase = RequestPhase::kQueued;
      FinishNotRun(context, open, "no backend server announces the service");
      return;
  }
}

void DrainQueues(RequestContext& context) {
  for (auto& [name, load] : context.tier.services) {
    DrainQueue(context, load.interactive);
    if (load.interactive.empty()) {
      DrainQueue(context, load.bulk);
    }
  }
}

}  // namespace filbertwall
