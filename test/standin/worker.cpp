#include "worker.hpp"

#include <nlohmann/json.hpp>
#include <sstream>

#include "laburnumledge/core/random.hpp"

namespace laburnumledge::standin {

using nlohmann::json;
using worker::LeaseKey;
using worker::LeaseState;

namespace {

constexpr unsigned kMaxAccelerators = 64;
constexpr core::Milliseconds kDefaultRuntime{200};

LeaseKey KeyOf(const json& value) {
  return {.job_ = value.at("job").get<std::string>(),
          .attempt_ = value.at("attempt").get<std::uint32_t>(),
          .task_ = value.at("task").get<std::uint32_t>()};
}

/** Reads `run_ms=500 result=text fail=reason memory_mb=10` out of a command. */
void ReadCommand(const std::string& command, Task& task) {
  task.runtime_ = kDefaultRuntime;
  std::istringstream words(command);
  std::string word;
  while (words >> word) {
    const std::string value = word.substr(std::min(word.size(), word.find('=') + 1));
    if (word.starts_with("run_ms=")) {
      task.runtime_ = core::Milliseconds(std::stoll(value));
    } else if (word.starts_with("result=")) {
      task.result_ = value;
    } else if (word.starts_with("fail=")) {
      task.failure_ = value;
    } else if (word.starts_with("memory_mb=")) {
      task.memory_mb_ = std::stoull(value);
    }
  }
}

json TaskJson(const LeaseKey& key, const Task& task) {
  return {{"job", key.job_},
          {"attempt", key.attempt_},
          {"task", key.task_},
          {"state", worker::ToString(task.state_)},
          {"started", task.started_},
          {"expires_ms", core::ToMs(task.expires_)},
          {"progress_ms", task.progress_.count()},
          {"checkpointed_ms", task.checkpointed_.count()},
          {"memory_mb", task.memory_mb_},
          {"throttled", task.throttled_},
          {"result", task.state_ == LeaseState::kSucceeded ? task.result_ : ""},
          {"failure", task.state_ == LeaseState::kFailed ? task.failure_ : ""}};
}

}  // namespace

/** @brief Carries out the orders of one exchange. */
struct WorkerOrders {
  StandinWorker& self_;
  core::WorkerTime now_;

  [[nodiscard]] bool CellsFree(std::uint64_t accelerators) const {
    for (const auto& [key, task] : self_.tasks_) {
      if (worker::IsActive(task.state_) && (task.accelerators_ & accelerators) != 0) {
        return false;
      }
    }
    return true;
  }

  [[nodiscard]] bool FenceHolds(std::uint64_t accelerators, std::uint64_t fence) {
    for (unsigned bit = 0; bit < kMaxAccelerators; ++bit) {
      if (((accelerators >> bit) & 1U) != 0 && self_.fences_[bit] > fence) {
        return false;
      }
    }
    for (unsigned bit = 0; bit < kMaxAccelerators; ++bit) {
      if (((accelerators >> bit) & 1U) != 0) {
        self_.fences_[bit] = fence;
      }
    }
    return true;
  }

  void Grant(const json& value) {
    const LeaseKey key = KeyOf(value);
    if (self_.tasks_.contains(key)) {
      return;
    }
    Task task;
    ReadCommand(value.at("command").get<std::string>(), task);
    task.accelerators_ = value.at("accelerators").get<std::uint64_t>();
    task.expires_ = core::FromMs<core::WorkerTime>(value.at("expires_ms").get<std::int64_t>());
    task.progress_ = core::Milliseconds(value.at("resume_from_ms").get<std::int64_t>());
    task.checkpointed_ = task.progress_;
    const std::uint64_t fence = value.at("fence_offset").get<std::uint64_t>();
    const bool granted = task.expires_ > now_ && CellsFree(task.accelerators_) &&
                         FenceHolds(task.accelerators_, fence);
    Task& kept = self_.tasks_.emplace(key, std::move(task)).first->second;
    self_.Enter(key, kept, granted ? LeaseState::kGranted : LeaseState::kRefused, now_);
  }

  void Start(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    const auto start_by =
        core::FromMs<core::WorkerTime>(value.at("start_by_ms").get<std::int64_t>());
    if (found == self_.tasks_.end() || found->second.state_ != LeaseState::kGranted ||
        now_ > start_by) {
      return;
    }
    ++self_.starts_;
    Task& task = found->second;
    task.started_ = true;
    task.progress_at_ = now_;
    self_.Enter(found->first, task, LeaseState::kRunning, now_);
    if (self_.faults_.fail_everything_) {
      task.failure_ = "accelerator fault";
      self_.Enter(found->first, task, LeaseState::kFailed, now_);
    }
  }

  void Renew(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    if (found != self_.tasks_.end() && worker::IsActive(found->second.state_)) {
      found->second.expires_ =
          std::max(found->second.expires_,
                   core::FromMs<core::WorkerTime>(value.at("expires_ms").get<std::int64_t>()));
      found->second.sequence_ = ++self_.sequence_;
    }
  }

  /** Renews every active lease, if the node has seen the newest change. */
  bool RenewAll(const json& body) {
    const auto until = body.find("renew_all_ms");
    if (until == body.end() || body.value("seen", std::uint64_t{0}) != self_.sequence_) {
      return false;
    }
    const auto expires = core::FromMs<core::WorkerTime>(until->get<std::int64_t>());
    for (auto& [key, task] : self_.tasks_) {
      if (worker::IsActive(task.state_)) {
        task.expires_ = std::max(task.expires_, expires);
      }
    }
    return true;
  }

  void Checkpoint(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    if (found == self_.tasks_.end() || found->second.state_ != LeaseState::kRunning ||
        found->second.checkpoint_at_ != core::WorkerTime{}) {
      return;
    }
    found->second.checkpoint_at_ = now_ + self_.faults_.checkpoint_takes_;
    self_.AdvanceTask(found->first, found->second, now_);
  }

  void Stop(const json& value) {
    const LeaseKey key = KeyOf(value);
    Task& task = self_.tasks_[key];
    if (worker::IsActive(task.state_) || task.state_ == LeaseState::kUnknown) {
      self_.Enter(key, task, LeaseState::kStopped, now_);
    }
  }

  void Throttle(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    if (found != self_.tasks_.end()) {
      found->second.throttled_ = true;
      found->second.sequence_ = ++self_.sequence_;
    }
  }

  void Forget(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    if (found != self_.tasks_.end() && !worker::IsActive(found->second.state_)) {
      self_.forgotten_.push_back(found->first);
      self_.tasks_.erase(found);
    }
  }

  template <typename Order>
  void Each(const json& body, const char* name, Order order) {
    const auto list = body.find(name);
    if (list == body.end()) {
      return;
    }
    for (const json& value : *list) {
      (this->*order)(value);
    }
  }
};

StandinWorker::StandinWorker(loop::Loop& loop, config::Worker spec, core::Milliseconds clock_offset,
                             std::vector<Event>& events)
    : loop_(loop),
      spec_(std::move(spec)),
      started_(loop.Now()),
      clock_offset_(clock_offset),
      events_(events),
      boot_(core::EntropySeed()) {}

core::WorkerTime StandinWorker::Clock() const {
  return core::WorkerTime(clock_offset_ +
                          std::chrono::duration_cast<core::Milliseconds>(loop_.Now() - started_));
}

void StandinWorker::Enter(const LeaseKey& key, Task& task, LeaseState state, core::WorkerTime at) {
  task.state_ = state;
  task.sequence_ = ++sequence_;
  const core::Milliseconds since_start = at.time_since_epoch() - clock_offset_;
  events_.push_back({.key_ = key, .worker_ = spec_.name_, .state_ = state, .at_ = since_start});
}

void StandinWorker::AdvanceTask(const LeaseKey& key, Task& task, core::WorkerTime now) {
  if (!worker::IsActive(task.state_)) {
    return;
  }
  const core::WorkerTime until = std::min(now, task.expires_);
  if (task.state_ == LeaseState::kRunning && until > task.progress_at_) {
    const auto taken = until - task.progress_at_;
    task.progress_ += task.throttled_ ? taken / 2 : taken;
    task.progress_at_ = until;
  }
  const core::WorkerTime checkpoint_at = task.checkpoint_at_;
  if (checkpoint_at != core::WorkerTime{} && checkpoint_at <= until) {
    task.checkpointed_ = task.progress_;
    task.checkpoint_at_ = {};
    task.sequence_ = ++sequence_;
  }
  if (task.state_ == LeaseState::kRunning && task.progress_ >= task.runtime_) {
    const core::WorkerTime end = until - (task.progress_ - task.runtime_);
    Enter(key, task, task.failure_.empty() ? LeaseState::kSucceeded : LeaseState::kFailed, end);
  } else if (now > task.expires_) {
    Enter(key, task, LeaseState::kLapsed, task.expires_);
  }
}

void StandinWorker::Advance() {
  const core::WorkerTime now = Clock();
  for (auto& [key, task] : tasks_) {
    AdvanceTask(key, task, now);
  }
}

void StandinWorker::Handle(const http::Request& request, const http::Respond& respond) {
  Advance();
  if (request.path_ == "/faults") {
    SetFaults(request, respond);
  } else if (request.path_ == "/starts") {
    respond(http::JsonReply(200, json{{"starts", starts_}}.dump()));
  } else if (faults_.paused_ || faults_.gone_) {
    unanswered_.push_back(respond);
  } else if (request.path_ == "/v1/exchange") {
    Exchange(request, respond);
  } else {
    respond(http::JsonReply(404, "{}"));
  }
}

void StandinWorker::Exchange(const http::Request& request, const http::Respond& respond) {
  const json body = json::parse(request.body_, nullptr, false);
  if (!body.is_object()) {
    respond(http::JsonReply(400, "{}"));
    return;
  }
  forgotten_.clear();
  const bool same_boot = body.value("boot", std::uint64_t{0}) == boot_;
  const std::uint64_t seen = body.value("seen", std::uint64_t{0});
  if (!same_boot) {
    respond(http::JsonReply(200, ReportText(seen, false, false)));
    return;
  }
  bool renewed = false;
  try {
    WorkerOrders orders{.self_ = *this, .now_ = Clock()};
    renewed = orders.RenewAll(body);
    orders.Each(body, "renew", &WorkerOrders::Renew);
    orders.Each(body, "checkpoint", &WorkerOrders::Checkpoint);
    orders.Each(body, "stop", &WorkerOrders::Stop);
    orders.Each(body, "throttle", &WorkerOrders::Throttle);
    orders.Each(body, "forget", &WorkerOrders::Forget);
    orders.Each(body, "grant", &WorkerOrders::Grant);
    orders.Each(body, "start", &WorkerOrders::Start);
  } catch (const std::exception& error) {
    respond(http::JsonReply(400, json{{"error", error.what()}}.dump()));
    return;
  }
  respond(http::JsonReply(200, ReportText(seen, true, renewed)));
}

void StandinWorker::SetFaults(const http::Request& request, const http::Respond& respond) {
  const json body = json::parse(request.body_, nullptr, false);
  if (!body.is_object()) {
    respond(http::JsonReply(400, "{}"));
    return;
  }
  faults_.fail_everything_ = body.value("fail_everything", faults_.fail_everything_);
  faults_.paused_ = body.value("paused", faults_.paused_);
  faults_.gone_ = body.value("gone", faults_.gone_);
  faults_.checkpoint_takes_ =
      core::Milliseconds(body.value("checkpoint_takes_ms", faults_.checkpoint_takes_.count()));
  if (faults_.gone_) {
    LoseTasks();
  }
  respond(http::JsonReply(200, "{}"));
}

void StandinWorker::LoseTasks() {
  for (auto& [key, task] : tasks_) {
    if (worker::IsActive(task.state_)) {
      Enter(key, task, LeaseState::kLapsed, Clock());
    }
  }
  tasks_.clear();
  ++boot_;
}

std::string StandinWorker::ReportText(std::uint64_t seen, bool partial, bool renewed) const {
  json leases = json::array();
  for (const LeaseKey& key : forgotten_) {
    leases.push_back(TaskJson(key, {}));
  }
  for (const auto& [key, task] : tasks_) {
    if (!partial || task.sequence_ > seen) {
      leases.push_back(TaskJson(key, task));
    }
  }
  return json{
      {"boot", boot_},      {"sequence", sequence_},           {"partial", partial},
      {"renewed", renewed}, {"clock_ms", core::ToMs(Clock())}, {"leases", std::move(leases)}}
      .dump();
}

}  // namespace laburnumledge::standin
