#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "laburnumledge/dispatch/fixture.hpp"
#include "support/world.hpp"

namespace laburnumledge::support {

namespace {

/** Fraction of the fleet that is guaranteed to all organisations together. */
constexpr double kGuaranteedFraction = 0.62;

constexpr std::array<std::int64_t, 5> kTaskGpus = {1, 2, 4, 8, 8};

std::int64_t NeededGpus(const ledger::Submission& submission) {
  const ledger::Step& step = submission.steps_.front();
  return step.task_resources_.gpus_ * step.count_;
}

}  // namespace

/** Gives the organisations uneven guarantees, and schedules their jobs: half of them in a burst of
 * three seconds, in which most jobs are of two organisations. */
void World::PublishGuarantees() {
  constexpr int kWorkerGpus = 8;
  std::vector<std::uint32_t> parts;
  std::uint32_t all = 0;
  for (std::uint32_t number = 0; number < size_.guarantees_; ++number) {
    parts.push_back(2 + guarantee_random_(4));
    all += parts.back();
  }
  for (std::uint32_t number = 0; number < size_.guarantees_; ++number) {
    site::Organisation organisation{.name_ = fmt::format("g{}", number)};
    organisation.guaranteed_gpus_ = static_cast<std::int64_t>(kGuaranteedFraction * size_.workers_ *
                                                              kWorkerGpus * parts[number] / all);
    organisation.weight_ = size_.weights_ ? 1 + guarantee_random_(4) : 0;
    rules_.configuration_.organisations_.push_back(std::move(organisation));
  }
  for (int number = 1; number <= size_.jobs_; ++number) {
    const auto offset = static_cast<int>(guarantee_random_(12000));
    const int burst = 3000 + offset / 4;
    Schedule(now_ + core::Milliseconds(number % 2 == 0 ? offset : burst),
             [this, number] { SubmitGuaranteedJob(number); });
  }
}

/** Submits a job whose declared duration is up to ten times off. The greedy organisations declare
 * too little, and so are planned early; the jobs of the others fit their guarantees. */
void World::SubmitGuaranteedJob(int number) {
  constexpr std::int64_t kWorkerGpus = 8;
  const auto chance = [this](std::uint32_t percent) { return guarantee_random_(100) < percent; };
  const bool greedy = chance(70);
  const site::Organisation& organisation = rules_.configuration_.organisations_.at(
      greedy ? guarantee_random_(2) : 2 + guarantee_random_(size_.guarantees_ - 2));
  const bool urgent = chance(70);
  const std::int64_t rack = std::min(size_.workers_, size_.workers_per_rack_) * kWorkerGpus;
  const std::int64_t most = greedy ? rack : std::min(rack, organisation.guaranteed_gpus_);
  const std::int64_t gpus = std::min(most, kTaskGpus.at(guarantee_random_(kTaskGpus.size())));
  const double width =
      -5.0 * std::log((1.0 + static_cast<double>(guarantee_random_(1000))) / 1001.0);
  ledger::Step step = fixture::MakeStep(std::clamp(1 + static_cast<std::uint32_t>(width), 1U,
                                                   static_cast<std::uint32_t>(most / gpus)),
                                        gpus);
  step.gang_ = urgent || chance(50);
  step.same_rack_ = step.gang_ && chance(80);
  const auto length = core::Milliseconds(1000 + static_cast<int>(guarantee_random_(8000)));
  const double error =
      std::pow(10.0, static_cast<double>(guarantee_random_(1001)) / 1000.0 - (greedy ? 1.0 : 0.0));
  step.estimate_ =
      core::Milliseconds(static_cast<int>(static_cast<double>(length.count()) * error));
  const std::string id = fixture::JobId(number);
  ledger::Submission submission =
      *fixture::MakeSubmission({step}, urgent ? 0 : 1 + guarantee_random_(2));
  if (urgent) {
    submission.scheduling_.stretch_ = 1.5;
    submission.scheduling_.target_latency_ = core::Milliseconds(250);
  }
  submission.organisation_ = organisation.name_;
  submission.accepted_ = WallAt(now_);
  lengths_[id] = length;
  jobs_.entries_[id].submission_ =
      std::make_shared<const ledger::Submission>(std::move(submission));
  if (urgent) {
    Schedule(now_ + fake_workers_.bounds_.reclaim_time_, [this, id] { CheckGuarantee(id); });
  }
  leader_->dispatcher_->OnJob(id, &jobs_.entries_[id], now_);
  Pump(leader_);
}

bool World::HasBegun(const ledger::JobId& job) const {
  const std::uint32_t tasks = jobs_.entries_.at(job).submission_->steps_.front().count_;
  for (std::uint32_t index = 0; index < tasks; ++index) {
    if (!fake_workers_.started_at_.contains({.job_ = job, .index_ = index})) {
      return false;
    }
  }
  return true;
}

/** Whether all urgent jobs of an organisation that haven't ended need no more than is guaranteed.
 */
bool World::IsWithinGuarantee(const std::string& organisation) const {
  std::int64_t needed = 0;
  for (const auto& [id, entry] : jobs_.entries_) {
    const ledger::Submission& submission = *entry.submission_;
    needed += submission.organisation_ == organisation && submission.scheduling_.priority_ == 0 &&
                      !ledger::IsFinal(entry.state_)
                  ? NeededGpus(submission)
                  : 0;
  }
  const auto& all = rules_.configuration_.organisations_;
  const auto found = std::find_if(all.begin(), all.end(), [&](const site::Organisation& one) {
    return one.name_ == organisation;
  });
  return needed <= found->guaranteed_gpus_;
}

/** The platform's rule on guarantees, at the moment at which a job must have begun. */
void World::CheckGuarantee(const ledger::JobId& job) {
  const ledger::JobEntry& entry = jobs_.entries_.at(job);
  const std::string& organisation = entry.submission_->organisation_;
  if (!ledger::IsFinal(entry.state_) && !HasBegun(job) && IsWithinGuarantee(organisation)) {
    Break(fake_workers_, now_,
          fmt::format("RECLAIM of {}: job {} needs {} GPUs and has not begun", organisation, job,
                      NeededGpus(*entry.submission_)));
  }
}

}  // namespace laburnumledge::support
