#include "laburnumledge/node/job_waiters.hpp"

#include <algorithm>
#include <utility>

namespace laburnumledge::node {

std::uint64_t AddWaiter(JobWaiters& waiters, const std::string& job, std::function<void()> wake) {
  if (waiters.count_ >= waiters.limit_) {
    return 0;
  }
  const std::uint64_t id = waiters.next_id_++;
  waiters.by_job_[job].push_back({.id_ = id, .wake_ = std::move(wake)});
  ++waiters.count_;
  return id;
}

void WakeJob(JobWaiters& waiters, const std::string& job) {
  const auto found = waiters.by_job_.find(job);
  if (found == waiters.by_job_.end()) {
    return;
  }
  const std::vector<JobWaiter> woken = std::move(found->second);
  waiters.by_job_.erase(found);
  waiters.count_ -= woken.size();
  for (const JobWaiter& waiter : woken) {
    waiter.wake_();
  }
}

void WakeOne(JobWaiters& waiters, const std::string& job, std::uint64_t id) {
  const auto found = waiters.by_job_.find(job);
  if (found == waiters.by_job_.end()) {
    return;
  }
  std::vector<JobWaiter>& list = found->second;
  const auto waiter = std::find_if(
      list.begin(), list.end(), [id](const JobWaiter& candidate) { return candidate.id_ == id; });
  if (waiter == list.end()) {
    return;
  }
  const std::function<void()> wake = std::move(waiter->wake_);
  list.erase(waiter);
  --waiters.count_;
  if (list.empty()) {
    waiters.by_job_.erase(found);
  }
  wake();
}

void WakeAll(JobWaiters& waiters) {
  while (!waiters.by_job_.empty()) {
    const std::string job = waiters.by_job_.begin()->first;
    WakeJob(waiters, job);
  }
}

}  // namespace laburnumledge::node
