#pragma once

#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <memory>
#include <optional>

#include "Base/Time.h"

/// The event loop of a fleet's process: one timer for what is due next, and the
/// signals.
namespace filbertwall {

class FleetLoop {
 public:
  FleetLoop();
  ~FleetLoop();
  FleetLoop(const FleetLoop&) = delete;
  FleetLoop& operator=(const FleetLoop&) = delete;

  sigc::signal<void()> on_due;
  sigc::signal<void()> on_stop;    ///< SIGTERM or SIGINT; once.
  sigc::signal<void()> on_reload;  ///< SIGHUP.

  event_base* Base() { return this->base.get(); }

  /// Emits `on_due` at `due`, or now when that is past. Replaces the timer.
  void WakeAt(TimePoint due);

  /// Runs until `End`.
  void Run();
  /// Lets answers that were just written leave, then ends `Run`.
  void End();

 private:
  static void OnTimer(evutil_socket_t fd, short what, void* self);
  static void OnStop(evutil_socket_t signal, short what, void* self);
  static void OnReload(evutil_socket_t signal, short what, void* self);

  std::unique_ptr<event_base, decltype(&event_base_free)> base;
  event* timer = nullptr;
  event* terminate = nullptr;
  event* interrupt = nullptr;
  event* hangup = nullptr;
  std::optional<TimePoint> armed_for;
  bool stop_requested = false;
};

}  // namespace filbertwall
