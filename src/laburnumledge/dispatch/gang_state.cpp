#include "laburnumledge/dispatch/gang_state.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace laburnumledge::dispatch {

namespace {

/** Whether the record of one member is older than that of another, as far as they tell. */
bool IsOlder(const Task& member, const Task& other) noexcept {
  const auto age = [](const Task& task) {
    return std::tuple(task.run_, task.phase_ == TaskPhase::kWaiting, !task.checkpoint_.empty());
  };
  return age(member) < age(other);
}

void ShareRecords(std::vector<Task>& members) {
  const Task& most_failed =
      *std::max_element(members.begin(), members.end(), [](const Task& member, const Task& other) {
        return std::pair(member.failures_, member.failed_run_) <
               std::pair(other.failures_, other.failed_run_);
      });
  const std::uint32_t failures = most_failed.failures_;
  const std::uint64_t failed_run = most_failed.failed_run_;
  const std::string checkpoint =
      std::max_element(members.begin(), members.end(), IsOlder)->checkpoint_;
  for (Task& member : members) {
    member.failures_ = failures;
    member.failed_run_ = failed_run;
    member.checkpoint_ = checkpoint;
  }
}

bool GoesOn(const std::vector<Task>& members) noexcept {
  return std::all_of(members.begin(), members.end(), [&members](const Task& member) {
    return member.phase_ == TaskPhase::kPlaced && member.run_ == members.front().run_;
  });
}

}  // namespace

std::vector<LeftoverMember> ReconcileGang(StepState& step) {
  std::vector<Task>& members = step.tasks_;
  std::vector<LeftoverMember> leftovers;
  if (members.empty() || step.done_ > 0) {
    return leftovers;
  }
  ShareRecords(members);
  if (GoesOn(members)) {
    return leftovers;
  }
  for (std::uint32_t index = 0; index < members.size(); ++index) {
    Task& member = members[index];
    if (member.phase_ == TaskPhase::kPlaced) {
      leftovers.push_back({.index_ = index, .run_ = member.run_, .worker_ = member.worker_});
      MarkWaiting(step, member);
    }
  }
  return leftovers;
}

}  // namespace laburnumledge::dispatch
