#include "laburnumledge/loop/loop.hpp"

#include <ev.h>

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace laburnumledge::loop {

namespace {

struct Timer {
  ev_timer watcher_{};
  std::function<void()> function_;
  Handle handle_{};
  bool repeats_{};
};

struct Descriptor {
  ev_io watcher_{};
  std::function<void(int)> function_;
};

struct Signal {
  ev_signal watcher_{};
  std::function<void()> function_;
};

double Seconds(core::Clock::duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

int ToEv(int events) noexcept {
  return ((events & kReadable) != 0 ? EV_READ : 0) | ((events & kWritable) != 0 ? EV_WRITE : 0);
}

int FromEv(int events) noexcept {
  return ((events & EV_READ) != 0 ? kReadable : 0) | ((events & EV_WRITE) != 0 ? kWritable : 0);
}

}  // namespace

struct Loop::Implementation {
  struct ev_loop* loop_{ev_loop_new(EVFLAG_AUTO)};
  Handle next_handle_{1};
  std::unordered_map<Handle, std::unique_ptr<Timer>> timers_;
  std::unordered_map<Handle, std::unique_ptr<Descriptor>> descriptors_;
  std::vector<std::unique_ptr<Signal>> signals_;
  std::vector<std::function<void()>> before_wait_;
  ev_prepare prepare_{};

  Handle AddTimer(double after, double repeat, std::function<void()> function);
  void RemoveTimer(Handle handle) noexcept;
  static void OnTimer(struct ev_loop* loop, ev_timer* watcher, int events);
  static void OnDescriptor(struct ev_loop* loop, ev_io* watcher, int events);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* watcher, int events);
};

Handle Loop::Implementation::AddTimer(double after, double repeat, std::function<void()> function) {
  auto timer = std::make_unique<Timer>();
  timer->function_ = std::move(function);
  timer->handle_ = next_handle_++;
  timer->repeats_ = repeat > 0;
  ev_timer_init(&timer->watcher_, &Implementation::OnTimer, after, repeat);
  timer->watcher_.data = timer.get();
  ev_now_update(loop_);
  ev_timer_start(loop_, &timer->watcher_);
  const Handle handle = timer->handle_;
  timers_.emplace(handle, std::move(timer));
  return handle;
}

void Loop::Implementation::RemoveTimer(Handle handle) noexcept {
  const auto found = timers_.find(handle);
  if (found == timers_.end()) {
    return;
  }
  ev_timer_stop(loop_, &found->second->watcher_);
  timers_.erase(found);
}

void Loop::Implementation::OnTimer(struct ev_loop* loop, ev_timer* watcher, int /*events*/) {
  auto* self = static_cast<Implementation*>(ev_userdata(loop));
  auto* timer = static_cast<Timer*>(watcher->data);
  if (timer->repeats_) {
    const std::function<void()> function = timer->function_;
    function();
    return;
  }
  const std::function<void()> function = std::move(timer->function_);
  self->RemoveTimer(timer->handle_);
  function();
}

void Loop::Implementation::OnDescriptor(struct ev_loop* /*loop*/, ev_io* watcher, int events) {
  auto* descriptor = static_cast<Descriptor*>(watcher->data);
  const std::function<void(int)> function = descriptor->function_;
  function(FromEv(events));
}

void Loop::Implementation::OnPrepare(struct ev_loop* loop, ev_prepare* /*watcher*/,
                                     int /*events*/) {
  auto* self = static_cast<Implementation*>(ev_userdata(loop));
  for (const auto& function : self->before_wait_) {
    function();
  }
}

Loop::Loop() : implementation_(std::make_unique<Implementation>()) {
  ev_set_userdata(implementation_->loop_, implementation_.get());
  ev_prepare_init(&implementation_->prepare_, &Implementation::OnPrepare);
  ev_prepare_start(implementation_->loop_, &implementation_->prepare_);
}

Loop::~Loop() {
  for (auto& [handle, timer] : implementation_->timers_) {
    ev_timer_stop(implementation_->loop_, &timer->watcher_);
  }
  for (auto& [handle, descriptor] : implementation_->descriptors_) {
    ev_io_stop(implementation_->loop_, &descriptor->watcher_);
  }
  for (auto& signal : implementation_->signals_) {
    ev_signal_stop(implementation_->loop_, &signal->watcher_);
  }
  ev_loop_destroy(implementation_->loop_);
}

core::TimePoint Loop::Now() const noexcept { return core::Clock::now(); }

Handle Loop::CallAt(core::TimePoint deadline, std::function<void()> function) {
  const double after = std::max(0.0, Seconds(deadline - Now()));
  return implementation_->AddTimer(after, 0.0, std::move(function));
}

Handle Loop::CallSoon(std::function<void()> function) {
  return implementation_->AddTimer(0.0, 0.0, std::move(function));
}

Handle Loop::CallEvery(core::Milliseconds interval, std::function<void()> function) {
  const double seconds = Seconds(interval);
  return implementation_->AddTimer(seconds, seconds, std::move(function));
}

void Loop::Cancel(Handle timer) noexcept { implementation_->RemoveTimer(timer); }

Handle Loop::Watch(int descriptor, int events, std::function<void(int)> function) {
  auto entry = std::make_unique<Descriptor>();
  entry->function_ = std::move(function);
  ev_io_init(&entry->watcher_, &Implementation::OnDescriptor, descriptor, ToEv(events));
  entry->watcher_.data = entry.get();
  ev_io_start(implementation_->loop_, &entry->watcher_);
  const Handle handle = implementation_->next_handle_++;
  implementation_->descriptors_.emplace(handle, std::move(entry));
  return handle;
}

void Loop::Unwatch(Handle watch) noexcept {
  const auto found = implementation_->descriptors_.find(watch);
  if (found == implementation_->descriptors_.end()) {
    return;
  }
  ev_io_stop(implementation_->loop_, &found->second->watcher_);
  implementation_->descriptors_.erase(found);
}

void Loop::OnSignal(int signal, std::function<void()> function) {
  auto entry = std::make_unique<Signal>();
  entry->function_ = std::move(function);
  ev_signal_init(
      &entry->watcher_,
      [](struct ev_loop* /*loop*/, ev_signal* watcher, int /*events*/) {
        static_cast<Signal*>(watcher->data)->function_();
      },
      signal);
  entry->watcher_.data = entry.get();
  ev_signal_start(implementation_->loop_, &entry->watcher_);
  implementation_->signals_.push_back(std::move(entry));
}

void Loop::BeforeWait(std::function<void()> function) {
  implementation_->before_wait_.push_back(std::move(function));
}

void Loop::Run() { ev_run(implementation_->loop_, 0); }

void Loop::Stop() noexcept { ev_break(implementation_->loop_, EVBREAK_ALL); }

}  // namespace laburnumledge::loop
