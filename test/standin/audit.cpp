#include "audit.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace laburnumledge::standin {

namespace {

using nlohmann::json;
using worker::LeaseState;

struct AttemptAudit {
  std::map<std::uint32_t, std::uint32_t> starts_;     ///< By task.
  std::map<std::uint32_t, core::Milliseconds> ends_;  ///< Of tasks that were started.
  std::map<std::uint32_t, core::Milliseconds> begins_;
  std::uint32_t tasks_{};                         ///< Highest task granted, plus one.
  std::optional<core::Milliseconds> first_loss_;  ///< Of a started task that did not succeed.
};

void Take(const Event& event, AttemptAudit& attempt) {
  const std::uint32_t task = event.key_.task_;
  attempt.tasks_ = std::max(attempt.tasks_, task + 1);
  if (event.state_ == LeaseState::kRunning) {
    ++attempt.starts_[task];
    attempt.begins_[task] = event.at_;
    return;
  }
  if (worker::IsActive(event.state_) || !attempt.starts_.contains(task)) {
    return;
  }
  attempt.ends_[task] = event.at_;
  if (event.state_ != LeaseState::kSucceeded) {
    attempt.first_loss_ = std::min(attempt.first_loss_.value_or(event.at_), event.at_);
  }
}

core::Milliseconds EndOf(const AttemptAudit& attempt, std::uint32_t task, core::Milliseconds now) {
  const auto end = attempt.ends_.find(task);
  return end == attempt.ends_.end() ? now : end->second;
}

core::Milliseconds Alone(const AttemptAudit& attempt, core::Milliseconds now) {
  core::Milliseconds longest{};
  for (const auto& [task, count] : attempt.starts_) {
    if (attempt.first_loss_.has_value()) {
      longest = std::max(longest, EndOf(attempt, task, now) - *attempt.first_loss_);
    }
  }
  return longest;
}

bool Overlap(const AttemptAudit& earlier, const AttemptAudit& later, core::Milliseconds now) {
  for (const auto& [task, begin] : later.begins_) {
    for (const auto& [other, count] : earlier.starts_) {
      if (EndOf(earlier, other, now) > begin) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

std::string AuditText(const std::vector<Event>& events, const std::string& job,
                      core::Milliseconds now) {
  std::map<std::uint32_t, AttemptAudit> attempts;
  json starts = json::array();
  for (const Event& event : events) {
    if (event.key_.job_ != job) {
      continue;
    }
    Take(event, attempts[event.key_.attempt_]);
    if (event.state_ == LeaseState::kRunning) {
      starts.push_back({{"attempt", event.key_.attempt_},
                        {"task", event.key_.task_},
                        {"worker", event.worker_},
                        {"at_ms", event.at_.count()}});
    }
  }
  std::uint32_t most_starts = 0;
  std::uint32_t started = 0;
  std::uint32_t missing = 0;
  core::Milliseconds alone{};
  bool overlap = false;
  for (const auto& [number, attempt] : attempts) {
    for (const auto& [task, count] : attempt.starts_) {
      most_starts = std::max(most_starts, count);
    }
    if (attempt.starts_.empty()) {
      continue;
    }
    ++started;
    missing =
        std::max(missing, attempt.tasks_ - static_cast<std::uint32_t>(attempt.starts_.size()));
    alone = std::max(alone, Alone(attempt, now));
    for (const auto& [other, later] : attempts) {
      overlap = overlap || (other > number && Overlap(attempt, later, now));
    }
  }
  return json{{"most_starts", most_starts}, {"attempts_started", started},
              {"parts_missing", missing},   {"alone_ms", alone.count()},
              {"overlap", overlap},         {"now_ms", now.count()},
              {"starts", std::move(starts)}}
      .dump();
}

}  // namespace laburnumledge::standin
