#pragma once

#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <memory>
#include <optional>

#include "Base/Time.h"

/// The event loop of an instance of a fleet: one timer for the next due work,
/// and the handling of process signals.
namespace filbertwall {

class FleetLoop {
 public:
  FleetLoop();
  ~FleetLoop();
  FleetLoop(const FleetLoop&) = delete;
  FleetLoop& operator=(const FleetLoop&) = delete;

  sigc::signal<void()> on_timer;
  sigc::signal<void()> on_stop;    ///< First SIGTERM or SIGINT only.
  sigc::signal<void()> on_reload;  ///< SIGHUP.

  event_base* Base() { return this->base.get(); }

  /// Emits `on_timer` at `due`, but no later than one second from now, and at
  /// once when `due` is past. Replaces the time set before.
  void WakeAt(TimePoint due);

  /// Runs until the delay of `Stop` has passed, or until a SIGINT that follows
  /// another SIGTERM or SIGINT.
  void Run();
  /// Handles events for a while. Returns false once SIGTERM or SIGINT has
  /// arrived. Must not be called within `Run`.
  bool Wait(Milliseconds duration);
  /// Ends `Run` after a short delay, so that answers already written are still
  /// sent.
  void Stop();

 private:
  static void OnTimer(evutil_socket_t fd, short what, void* self);
  static void OnStop(evutil_socket_t signal, short what, void* self);
  static void OnReload(evutil_socket_t signal, short what, void* self);

  std::unique_ptr<event_base, decltype(&event_base_free)> base;
  event* timer = nullptr;
  event* terminate_event = nullptr;
  event* interrupt_event = nullptr;
  event* hangup_event = nullptr;
  std::optional<TimePoint> armed_for;
  bool stop_requested = false;
};

}  // namespace filbertwall
