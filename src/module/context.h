/// \file
/// State shared by all classes of the decision module: the clock, the current settings, the actions caused by
/// the current event, and the choice observer. Owned by Scheduler. Used on the serving thread only.
#pragma once

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "lemonroute/actions.h"
#include "lemonroute/explanations.h"
#include "lemonroute/settings.h"
#include "module/active_settings.h"

namespace lemonroute::decisions {

/// Clock, settings, action sink and choice observer of one Scheduler.
class Context {
 public:
  /// Begins an event. emit() appends to `actions` until the next event begins.
  void begin_event(Micros now, std::vector<Action>& actions) {
    advance_clock(now);
    if (first_event_at_ == Micros(0))
      first_event_at_ = now_;
    actions_ = &actions;
  }
  /// Moves the clock to `now`. The clock never goes back.
  void advance_clock(Micros now) { now_ = std::max(now_, now); }

  /// Returns the time of the current event, on the caller's clock.
  [[nodiscard]] Micros now() const { return now_; }
  /// Returns the time of the first event that this process has handled.
  [[nodiscard]] Micros first_event_at() const { return first_event_at_; }

  /// See ActiveSettings::values.
  [[nodiscard]] const Settings& settings() const { return active_settings_.values(); }
  /// Returns the current settings with the values derived from them.
  [[nodiscard]] const ActiveSettings& active_settings() const { return active_settings_; }
  /// See ActiveSettings::memory_duration.
  [[nodiscard]] Micros memory_duration() const { return active_settings_.memory_duration(); }
  /// Replaces the settings. Scheduler::update_settings updates the classes that derive state from them.
  void update_settings(Settings settings) { active_settings_.update(std::move(settings)); }

  /// Appends an action to those of the current event.
  void emit(Action action) { actions_->push_back(std::move(action)); }

  /// Replaces the choice observer and takes ownership of it; an empty function removes it.
  void set_choice_observer(std::function<void(const Choice&)> observer) {
    choice_observer_ = std::move(observer);
  }
  /// Returns whether there is a choice observer. Without one, the costly explanations are skipped.
  [[nodiscard]] bool observes_choices() const { return static_cast<bool>(choice_observer_); }
  /// Passes a choice to the observer, if there is one.
  void report_choice(const Choice& choice) const {
    if (choice_observer_)
      choice_observer_(choice);
  }

 private:
  ActiveSettings active_settings_;
  Micros now_{};
  Micros first_event_at_{};
  std::vector<Action>* actions_ = nullptr;  // of the current event; not owned
  std::function<void(const Choice&)> choice_observer_;
};

}  // namespace lemonroute::decisions
