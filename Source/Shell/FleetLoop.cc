#include "Shell/FleetLoop.h"

#include <algorithm>
#include <csignal>

#include "Shell/FleetLink.h"
#include "Shell/ProcessSetup.h"

namespace filbertwall {
namespace {

constexpr Microseconds kMaxTimerDelay{1000000};
constexpr Microseconds kExitDelay{100000};

timeval ToTimeval(Microseconds time) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1000000;
  return timeval{.tv_sec = time.count() / kMicrosecondsPerSecond,
                 .tv_usec = time.count() % kMicrosecondsPerSecond};
}

/// Creates an event base that collects changes of the watched events and passes
/// them to the kernel together, before the next wait.
event_base* MakeEventBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

}  // namespace

FleetLoop::FleetLoop() : base(MakeEventBase(), &event_base_free) {
  this->timer = evtimer_new(this->Base(), &FleetLoop::OnTimer, this);
  this->terminate_event =
      evsignal_new(this->Base(), SIGTERM, &FleetLoop::OnStop, this);
  this->interrupt_event =
      evsignal_new(this->Base(), SIGINT, &FleetLoop::OnStop, this);
  this->hangup_event =
      evsignal_new(this->Base(), SIGHUP, &FleetLoop::OnReload, this);
  for (event* item :
       {this->terminate_event, this->interrupt_event, this->hangup_event}) {
    event_add(item, nullptr);
  }
}

FleetLoop::~FleetLoop() {
  BlockStopSignals();  // The handlers are removed here.
  for (event* item : {this->timer, this->terminate_event, this->interrupt_event,
                      this->hangup_event}) {
    event_free(item);
  }
}

void FleetLoop::WakeAt(TimePoint due) {
  if (due == this->armed_for) {
    return;
  }
  this->armed_for = due;
  const TimePoint now = FleetNow();
  const Microseconds wait =
      due <= now
          ? Microseconds(0)
          : std::chrono::duration_cast<Microseconds>(
                std::min<TimePoint::duration>(due - now, kMaxTimerDelay));
  const timeval timeout = ToTimeval(std::min(wait, kMaxTimerDelay));
  event_add(this->timer, &timeout);
}

void FleetLoop::Run() { event_base_dispatch(this->Base()); }

bool FleetLoop::Wait(Milliseconds duration) {
  const timeval delay = ToTimeval(duration);
  event_base_loopexit(this->Base(), &delay);
  event_base_dispatch(this->Base());
  return !this->stop_requested;
}

void FleetLoop::Stop() {
  const timeval delay = ToTimeval(kExitDelay);
  event_base_loopexit(this->Base(), &delay);
}

void FleetLoop::OnTimer(evutil_socket_t, short, void* self) {
  auto& loop = *static_cast<FleetLoop*>(self);
  loop.armed_for.reset();
  loop.on_timer.emit();
}

void FleetLoop::OnStop(evutil_socket_t signal, short, void* self) {
  auto& loop = *static_cast<FleetLoop*>(self);
  if (loop.stop_requested) {
    if (signal == SIGINT) {
      event_base_loopbreak(loop.Base());
    }
    return;
  }
  loop.stop_requested = true;
  loop.on_stop.emit();
}

void FleetLoop::OnReload(evutil_socket_t, short, void* self) {
  static_cast<FleetLoop*>(self)->on_reload.emit();
}

}  // namespace filbertwall
