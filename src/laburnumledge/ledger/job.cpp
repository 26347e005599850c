#include "laburnumledge/ledger/job.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::ledger {

namespace {

constexpr std::size_t kJobIdDigits = 16;

/** Parses `.NUMBER` at the front of the text and removes it; false if there is none. */
bool ConsumeDottedNumber(std::string_view& text, std::uint32_t& number) noexcept {
  if (!text.starts_with('.')) {
    return false;
  }
  const auto [end, error] = std::from_chars(text.data() + 1, text.data() + text.size(), number);
  if (error != std::errc{}) {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return true;
}

}  // namespace

void SetRequestedResources(Step& step, const site::Resources& requested) noexcept {
  step.task_resources_ = requested;
  step.idle_cpu_millis_ = 0;
  if (step.uses_idle_cpus_) {
    step.idle_cpu_millis_ = std::exchange(step.task_resources_.cpu_millis_, 0);
  }
}

site::Resources RequestedResources(const Step& step) noexcept {
  return step.task_resources_ + site::Resources{.cpu_millis_ = step.idle_cpu_millis_};
}

std::string_view ToString(JobState state) noexcept {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "";
}

bool IsJobId(std::string_view text) noexcept {
  return text.size() == kJobIdDigits && std::all_of(text.begin(), text.end(), [](char digit) {
           return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f') ||
                  (digit >= 'A' && digit <= 'F');
         });
}

std::string ToString(const TaskId& task) {
  return fmt::format("{}.{}.{}.{}", task.job_, task.occurrence_, task.step_, task.index_);
}

std::optional<TaskId> ParseTaskId(std::string_view text) {
  TaskId task;
  std::string_view rest = text.substr(std::min(text.size(), kJobIdDigits));
  if (!IsJobId(text.substr(0, kJobIdDigits)) || !ConsumeDottedNumber(rest, task.occurrence_) ||
      !ConsumeDottedNumber(rest, task.step_) || !ConsumeDottedNumber(rest, task.index_) ||
      !rest.empty()) {
    return core::Fail("\"{}\" is not a task identifier", text);
  }
  task.job_ = text.substr(0, kJobIdDigits);
  return task;
}

}  // namespace laburnumledge::ledger
