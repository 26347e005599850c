#include "fake_worker.hpp"

#include <algorithm>
#include <string>

namespace laburnumledge::cluster {

namespace {

constexpr unsigned kAccelerators = 8;

using worker::LeaseKey;
using worker::LeaseState;

bool Has(std::uint64_t mask, unsigned bit) { return ((mask >> bit) & 1U) != 0; }

bool CellsFree(const FakeWorker& self, std::uint64_t accelerators) {
  return std::none_of(self.tasks_.begin(), self.tasks_.end(), [&](const auto& entry) {
    return worker::IsActive(entry.second.lease_.state_) &&
           (entry.second.accelerators_ & accelerators) != 0;
  });
}

bool TakeFence(FakeWorker& self, std::uint64_t accelerators, std::uint64_t fence) {
  for (unsigned bit = 0; bit < kAccelerators; ++bit) {
    if (Has(accelerators, bit) && self.fences_[bit] > fence) {
      return false;
    }
  }
  for (unsigned bit = 0; bit < kAccelerators; ++bit) {
    if (Has(accelerators, bit)) {
      self.fences_[bit] = fence;
    }
  }
  return true;
}

void GrantOne(FakeWorker& self, const worker::Grant& grant, core::WorkerTime now) {
  if (self.tasks_.contains(grant.key_)) {
    return;
  }
  FakeTask task;
  task.accelerators_ = grant.accelerators_;
  task.runtime_ = core::Milliseconds(std::stoll(grant.command_));
  task.lease_.expires_ = grant.expires_;
  task.lease_.progress_ = grant.resume_from_;
  task.lease_.checkpointed_ = grant.resume_from_;
  const bool granted = grant.expires_ > now && CellsFree(self, grant.accelerators_) &&
                       TakeFence(self, grant.accelerators_, grant.fence_offset_);
  task.lease_.state_ = granted ? LeaseState::kGranted : LeaseState::kRefused;
  task.sequence_ = ++self.sequence_;
  self.tasks_.emplace(grant.key_, std::move(task));
  if (granted) {
    self.on_grant_(grant.key_);
  }
}

void StartOne(FakeWorker& self, const worker::Start& start, core::WorkerTime now) {
  const auto found = self.tasks_.find(start.key_);
  if (found == self.tasks_.end() || found->second.lease_.state_ != LeaseState::kGranted ||
      now > start.start_by_) {
    return;
  }
  worker::Lease& lease = found->second.lease_;
  lease.started_ = true;
  found->second.progress_at_ = now;
  lease.state_ = self.fails_everything_ ? LeaseState::kFailed : LeaseState::kRunning;
  lease.failure_ = self.fails_everything_ ? "accelerator fault" : "";
  found->second.sequence_ = ++self.sequence_;
  self.on_start_(start.key_);
}

/** Notes that a task's lease changed. */
void Touch(FakeWorker& self, FakeTask& task) { task.sequence_ = ++self.sequence_; }

void AdvanceTask(FakeWorker& self, FakeTask& task, core::WorkerTime now) {
  worker::Lease& lease = task.lease_;
  if (!worker::IsActive(lease.state_)) {
    return;
  }
  const core::WorkerTime until = std::min(now, lease.expires_);
  if (lease.state_ == LeaseState::kRunning && until > task.progress_at_) {
    lease.progress_ += until - task.progress_at_;
    task.progress_at_ = until;
  }
  if (lease.state_ == LeaseState::kRunning && lease.progress_ >= task.runtime_) {
    lease.state_ = LeaseState::kSucceeded;
    lease.result_ = "done";
    Touch(self, task);
  } else if (now > lease.expires_) {
    lease.state_ = LeaseState::kLapsed;
    Touch(self, task);
  }
}

void RenewOne(FakeWorker& self, const LeaseKey& key, core::WorkerTime expires) {
  const auto found = self.tasks_.find(key);
  if (found != self.tasks_.end() && worker::IsActive(found->second.lease_.state_)) {
    found->second.lease_.expires_ = std::max(found->second.lease_.expires_, expires);
    Touch(self, found->second);
  }
}

/** True if every active lease was renewed at once. */
bool Renew(FakeWorker& self, const worker::ExchangeRequest& request) {
  if (!request.renew_all_) {
    for (const worker::Renewal& renewal : request.renewals_) {
      RenewOne(self, renewal.key_, renewal.expires_);
    }
    return false;
  }
  if (request.seen_ != self.sequence_) {
    return false;
  }
  for (auto& [key, task] : self.tasks_) {
    if (worker::IsActive(task.lease_.state_)) {
      task.lease_.expires_ = std::max(task.lease_.expires_, request.renewals_.front().expires_);
    }
  }
  return true;
}

void Checkpoint(FakeWorker& self, const LeaseKey& key) {
  const auto found = self.tasks_.find(key);
  if (found != self.tasks_.end()) {
    found->second.lease_.checkpointed_ = found->second.lease_.progress_;
    Touch(self, found->second);
  }
}

void Stop(FakeWorker& self, const LeaseKey& key) {
  FakeTask& task = self.tasks_[key];
  worker::Lease& lease = task.lease_;
  if (worker::IsActive(lease.state_) || lease.state_ == LeaseState::kUnknown) {
    lease.state_ = LeaseState::kStopped;
    Touch(self, task);
  }
}

void Forget(FakeWorker& self, const LeaseKey& key) {
  const auto found = self.tasks_.find(key);
  if (found != self.tasks_.end() && !worker::IsActive(found->second.lease_.state_)) {
    self.tasks_.erase(found);
    self.forgotten_[key] = ++self.sequence_;
  }
}

worker::ExchangeReply Report(const FakeWorker& self, std::uint64_t seen, bool partial,
                             core::WorkerTime clock) {
  worker::ExchangeReply reply;
  reply.boot_ = self.boot_;
  reply.sequence_ = self.sequence_;
  reply.partial_ = partial;
  reply.clock_ = clock;
  for (const auto& [key, sequence] : self.forgotten_) {
    if (sequence > seen) {
      reply.leases_[key] = {};
    }
  }
  for (const auto& [key, task] : self.tasks_) {
    if (!partial || task.sequence_ > seen) {
      reply.leases_[key] = task.lease_;
    }
  }
  return reply;
}

}  // namespace

core::WorkerTime ClockOf(const FakeWorker& worker, core::TimePoint now) {
  return core::FromMs<core::WorkerTime>(core::ToMs(now)) + worker.clock_offset_;
}

void Advance(FakeWorker& worker, core::TimePoint now) {
  for (auto& [key, task] : worker.tasks_) {
    AdvanceTask(worker, task, ClockOf(worker, now));
  }
}

worker::ExchangeReply Carry(FakeWorker& self, const worker::ExchangeRequest& request,
                            core::TimePoint now) {
  Advance(self, now);
  const core::WorkerTime clock = ClockOf(self, now);
  if (request.boot_ != self.boot_) {
    return Report(self, 0, false, clock);
  }
  const bool renewed = Renew(self, request);
  for (const LeaseKey& key : request.checkpoints_) {
    Checkpoint(self, key);
  }
  for (const LeaseKey& key : request.stops_) {
    Stop(self, key);
  }
  for (const LeaseKey& key : request.forgets_) {
    Forget(self, key);
  }
  for (const worker::Grant& grant : request.grants_) {
    GrantOne(self, grant, clock);
  }
  for (const worker::Start& start : request.starts_) {
    StartOne(self, start, clock);
  }
  worker::ExchangeReply reply = Report(self, request.seen_, true, clock);
  reply.renewed_ = renewed;
  return reply;
}

void Lose(FakeWorker& worker) {
  worker.tasks_.clear();
  worker.forgotten_.clear();
  ++worker.boot_;
}

}  // namespace laburnumledge::cluster
