#include "worker.hpp"

#include <nlohmann/json.hpp>
#include <sstream>

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
    task.state_ = granted ? LeaseState::kGranted : LeaseState::kRefused;
    self_.tasks_.emplace(key, std::move(task));
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
    found->second.started_ = true;
    found->second.progress_at_ = now_;
    found->second.state_ =
        self_.faults_.fail_everything_ ? LeaseState::kFailed : LeaseState::kRunning;
    if (self_.faults_.fail_everything_) {
      found->second.failure_ = "accelerator fault";
    }
  }

  void Renew(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    if (found != self_.tasks_.end() && worker::IsActive(found->second.state_)) {
      found->second.expires_ =
          std::max(found->second.expires_,
                   core::FromMs<core::WorkerTime>(value.at("expires_ms").get<std::int64_t>()));
    }
  }

  void Checkpoint(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    if (found != self_.tasks_.end() && found->second.state_ == LeaseState::kRunning) {
      found->second.checkpointed_ = found->second.progress_;
    }
  }

  void Stop(const json& value) {
    Task& task = self_.tasks_[KeyOf(value)];
    if (worker::IsActive(task.state_) || task.state_ == LeaseState::kUnknown) {
      task.state_ = LeaseState::kStopped;
    }
  }

  void Throttle(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    if (found != self_.tasks_.end()) {
      found->second.throttled_ = true;
    }
  }

  void Forget(const json& value) {
    const auto found = self_.tasks_.find(KeyOf(value));
    if (found != self_.tasks_.end() && !worker::IsActive(found->second.state_)) {
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

StandinWorker::StandinWorker(loop::Loop& loop, config::Worker spec, core::Milliseconds clock_offset)
    : loop_(loop), spec_(std::move(spec)), started_(loop.Now()), clock_offset_(clock_offset) {}

core::WorkerTime StandinWorker::Clock() const {
  return core::WorkerTime(clock_offset_ +
                          std::chrono::duration_cast<core::Milliseconds>(loop_.Now() - started_));
}

void StandinWorker::AdvanceTask(Task& task, core::WorkerTime now) const {
  if (!worker::IsActive(task.state_)) {
    return;
  }
  const core::WorkerTime until = std::min(now, task.expires_);
  if (task.state_ == LeaseState::kRunning && until > task.progress_at_) {
    const auto taken = until - task.progress_at_;
    task.progress_ += task.throttled_ ? taken / 2 : taken;
    task.progress_at_ = until;
  }
  if (task.state_ == LeaseState::kRunning && task.progress_ >= task.runtime_) {
    task.state_ = task.failure_.empty() ? LeaseState::kSucceeded : LeaseState::kFailed;
  } else if (now > task.expires_) {
    task.state_ = LeaseState::kLapsed;
  }
}

void StandinWorker::Advance() {
  const core::WorkerTime now = Clock();
  for (auto& [key, task] : tasks_) {
    AdvanceTask(task, now);
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
  try {
    WorkerOrders orders{.self_ = *this, .now_ = Clock()};
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
  respond(http::JsonReply(200, ReportText()));
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
  if (faults_.gone_) {
    tasks_.clear();
  }
  respond(http::JsonReply(200, "{}"));
}

std::string StandinWorker::ReportText() const {
  json leases = json::array();
  for (const auto& [key, task] : tasks_) {
    leases.push_back({{"job", key.job_},
                      {"attempt", key.attempt_},
                      {"task", key.task_},
                      {"state", worker::ToString(task.state_)},
                      {"started", task.started_},
                      {"expires_ms", core::ToMs(task.expires_)},
                      {"progress_ms", task.progress_.count()},
                      {"checkpointed_ms", task.checkpointed_.count()},
                      {"memory_mb", task.memory_mb_},
                      {"result", task.state_ == LeaseState::kSucceeded ? task.result_ : ""},
                      {"failure", task.state_ == LeaseState::kFailed ? task.failure_ : ""}});
  }
  return json{{"clock_ms", core::ToMs(Clock())}, {"leases", std::move(leases)}}.dump();
}

}  // namespace laburnumledge::standin
