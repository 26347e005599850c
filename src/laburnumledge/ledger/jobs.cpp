#include "laburnumledge/ledger/jobs.hpp"

#include <utility>

#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/ledger/codec.hpp"

namespace laburnumledge::ledger {

namespace {

bool IsWaiting(const JobEntry& entry) noexcept {
  return entry.submission_ != nullptr && entry.state_ == JobState::kQueued && !entry.cancelled_;
}

void AdjustWaitingCount(Jobs& jobs, const JobEntry& entry, std::ptrdiff_t change) {
  if (IsWaiting(entry)) {
    jobs.waiting_by_route_[entry.submission_->route_] += static_cast<std::size_t>(change);
  }
}

bool RemoveRecord(Jobs& jobs, JobRecordKind kind, const JobId& job) {
  const auto found = jobs.entries_.find(job);
  if (found == jobs.entries_.end()) {
    return false;
  }
  AdjustWaitingCount(jobs, found->second, -1);
  if (kind == JobRecordKind::kSubmission) {
    jobs.entries_.erase(found);
    return true;
  }
  if (kind == JobRecordKind::kCancellation && found->second.submission_ == nullptr) {
    jobs.entries_.erase(found);
    return true;
  }
  AdjustWaitingCount(jobs, found->second, 1);
  return false;
}

bool ApplyValue(JobEntry& entry, JobRecordKind kind, std::string_view value) {
  switch (kind) {
    case JobRecordKind::kSubmission: {
      std::optional<Submission> submission = DecodeSubmission(value);
      if (!submission.has_value()) {
        return false;
      }
      // Clients may repeat a submission: only the first record of a job takes effect.
      if (entry.submission_ == nullptr) {
        entry.submission_ = std::make_shared<const Submission>(*std::move(submission));
      }
      return true;
    }
    case JobRecordKind::kCancellation:
      entry.cancelled_ = true;
      return true;
    case JobRecordKind::kStatus: {
      const std::optional<JobState> state = DecodeStatus(value);
      entry.state_ = state.value_or(entry.state_);
      return state.has_value();
    }
  }
  core::SetLastReason("unknown kind of job record");
  return false;
}

}  // namespace

std::optional<JobChange> Apply(Jobs& jobs, std::string_view key,
                               std::optional<std::string_view> value) {
  if (key.size() < 2 || !IsJobId(key.substr(1))) {
    return core::Fail("key \"{}\" is not a job key", key);
  }
  const auto kind = static_cast<JobRecordKind>(key.front());
  const JobId job(key.substr(1));
  if (!value.has_value()) {
    return JobChange{.job_ = job, .dropped_ = RemoveRecord(jobs, kind, job)};
  }
  const bool known = jobs.entries_.contains(job);
  JobEntry& entry = jobs.entries_[job];
  AdjustWaitingCount(jobs, entry, -1);
  const JobState before = entry.state_;
  const bool changed = ApplyValue(entry, kind, *value);
  AdjustWaitingCount(jobs, entry, 1);
  if (!changed) {
    if (!known) {
      jobs.entries_.erase(job);
    }
    return std::nullopt;
  }
  return JobChange{.job_ = job, .dropped_ = false, .state_changed_ = entry.state_ != before};
}

const JobEntry* FindJob(const Jobs& jobs, std::string_view job) {
  const auto found = jobs.entries_.find(JobId(job));
  return found == jobs.entries_.end() ? nullptr : &found->second;
}

JobState ReportedState(const JobEntry& entry) noexcept {
  if (entry.cancelled_ && !IsFinal(entry.state_)) {
    return JobState::kCancelled;
  }
  return entry.state_;
}

std::size_t CountWaitingJobs(const Jobs& jobs, std::string_view route) noexcept {
  const auto found = jobs.waiting_by_route_.find(route);
  return found == jobs.waiting_by_route_.end() ? 0 : found->second;
}

}  // namespace laburnumledge::ledger
