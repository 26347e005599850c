#include "laburnumledge/dispatch/crash_evidence.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "laburnumledge/config/settings.hpp"

namespace laburnumledge::dispatch {

namespace {

using ledger::CrashCause;

/** Workers that start again within this time of each other fell over together: after an outage they
 * come back within two seconds, by clocks that may differ by as much. */
constexpr core::Milliseconds kCommonCauseWindow{3000};

/** Fewest workers among which one may fall over by itself, and how many there are for each further
 * one. */
constexpr std::uint32_t kMinWorkersOfOddFailure = 10;
constexpr std::uint32_t kWorkersPerOddFailure = 100;

/** Time for which a worker that has stopped answering may be about to come back as crashed. */
constexpr core::Milliseconds kOutageTime{30000};

/** Time before a crash in which single crashes of other workers show that workers crash now and
 * then by themselves. */
constexpr core::Milliseconds kBackgroundTime{30000};

/** Unanswered calls in a row that show a worker to be away rather than one answer to be lost. */
constexpr std::uint32_t kFailedCallsOfOutage = 3;

/** Crashes after which a task is started on trial only. The platform allows to give a task up after
 * two and forbids to go on for long after three. */
constexpr std::size_t kCrashesBeforeTrial = 2;

/** Crashes, of any cause, of which the latest came on trial. */
constexpr std::size_t kCrashesWithTrial = 3;

/** Age up to which crashes on trial count as crashes at the start of the run, as late as they show.
 */
constexpr core::Milliseconds kEarlyAge{6000};

/** Difference of the ages at which a task crashes its workers, by the interval of the answers. */
constexpr core::Milliseconds kSameAge{1000};

/** Shortest time at work that shows a task to be harmless, and factor of the age of its crashes. */
constexpr core::Milliseconds kMinClearingAge{3000};
constexpr double kClearingAgeFactor = 1.5;

/** Longest list of crashes that is kept with a task. */
constexpr std::size_t kMaxCrashesKept = 8;

bool HasRunOf(const Worker& worker, const ledger::JobId& job) {
  const auto run = worker.assigned_runs_.lower_bound({.task_ = {.job_ = job}, .run_ = 0});
  return run != worker.assigned_runs_.end() && run->first.task_.job_ == job;
}

bool IsCaused(const ledger::Crash& crash) noexcept { return crash.cause_ == CrashCause::kTask; }

bool HaveSameAge(const ledger::Crash& left, const ledger::Crash& right) noexcept {
  const bool known = left.age_.count() > 0 && right.age_.count() > 0;
  return !known || std::chrono::abs(left.age_ - right.age_) <= kSameAge;
}

}  // namespace

FleetStarts CollectStarts(const Fleet& fleet, core::TimePoint now) {
  FleetStarts starts;
  std::set<std::string> listed;
  for (const auto& [id, worker] : fleet.workers_) {
    if (worker.entry_.draining_ || worker.replaced_) {
      continue;
    }
    if (worker.listed_) {
      const std::string address = config::ToString(worker.entry_.address_);
      listed.insert(address);
      starts.by_time_.push_back({address, worker.entry_.incarnation_, worker.entry_seen_});
    }
    if (worker.failed_calls_ >= kFailedCallsOfOutage &&
        now < worker.unreachable_since_ + kOutageTime) {
      starts.away_.push_back(&worker);
    }
  }
  for (const auto& [address, at] : fleet.departed_) {
    if (now < at + kOutageTime && !listed.contains(address)) {
      starts.departed_.insert(address);
    }
  }
  std::sort(starts.by_time_.begin(), starts.by_time_.end(),
            [](const FleetStarts::Start& left, const FleetStarts::Start& right) {
              return left.incarnation_ < right.incarnation_;
            });
  return starts;
}

site::Incarnation EarliestRelatedStart(const ledger::Crash& crash) noexcept {
  return crash.restarted_ - kCommonCauseWindow.count();
}

CrashSurroundings MeasureSurroundings(const FleetStarts& starts, const ledger::Crash& crash,
                                      const ledger::JobId& job, const ExplainedRestarts& explained,
                                      core::TimePoint noticed) {
  const site::Incarnation related = EarliestRelatedStart(crash);
  const auto is_explained = [&](const std::string& worker) {
    return explained.by_job_.contains(worker) || explained.by_task_.contains(worker);
  };
  CrashSurroundings surroundings{.listed_ = static_cast<std::uint32_t>(starts.by_time_.size())};
  for (const Worker* worker : starts.away_) {
    const bool counts = !HasRunOf(*worker, job) && worker->entry_.incarnation_ < related &&
                        !is_explained(config::ToString(worker->entry_.address_));
    surroundings.fell_too_ += counts ? 1 : 0;
  }
  for (const std::string& worker : starts.departed_) {
    surroundings.fell_too_ += is_explained(worker) ? 0 : 1;
  }
  for (const FleetStarts::Start& start : starts.by_time_) {
    const bool related_start = start.incarnation_ >= related;
    surroundings.informed_ += start.seen_ > noticed ? 1 : 0;
    surroundings.of_task_ += explained.by_task_.contains(start.worker_) ? 1 : 0;
    if (is_explained(start.worker_)) {
      continue;
    }
    surroundings.others_ += start.seen_ > noticed ? 1 : 0;
    surroundings.fell_too_ += related_start ? 1 : 0;
    surroundings.fell_before_ +=
        !related_start && start.incarnation_ >= crash.restarted_ - kBackgroundTime.count() &&
                !explained.before_.contains(start.worker_)
            ? 1
            : 0;
  }
  return surroundings;
}

bool IsCommonCause(std::uint32_t fell, std::uint32_t workers) noexcept {
  const std::uint32_t odd =
      workers < kMinWorkersOfOddFailure ? 0 : 1 + workers / kWorkersPerOddFailure;
  return fell > odd;
}

CrashCause DecideCause(const CrashSurroundings& surroundings, bool on_trial) noexcept {
  // A job with tasks on most workers leaves too few that show what else has happened.
  const bool informed = surroundings.others_ > 0 &&
                        2 * surroundings.informed_ > surroundings.listed_ &&
                        4 * surroundings.others_ >= surroundings.listed_ - surroundings.of_task_;
  const bool conclusive = informed &&
                          !IsCommonCause(surroundings.fell_too_, surroundings.others_) &&
                          (on_trial || surroundings.fell_too_ + surroundings.fell_before_ == 0);
  return conclusive ? CrashCause::kTask : CrashCause::kOther;
}

bool WasOnTrial(const std::vector<ledger::Crash>& crashes, std::size_t index) noexcept {
  return index >= kCrashesBeforeTrial && index < crashes.size();
}

bool CrashesItsWorkers(const std::vector<ledger::Crash>& crashes) noexcept {
  const bool has_trial = crashes.size() >= kCrashesWithTrial;
  for (auto crash = crashes.begin(); crash != crashes.end(); ++crash) {
    const bool agrees = std::any_of(crashes.begin(), crash, [&](const ledger::Crash& earlier) {
      const bool early = crash->age_ <= kEarlyAge && earlier.age_ <= kEarlyAge;
      return IsCaused(earlier) && (HaveSameAge(earlier, *crash) || (has_trial && early));
    });
    if (IsCaused(*crash) && agrees) {
      return true;
    }
  }
  return false;
}

bool IsOnTrial(const std::vector<ledger::Crash>& crashes) noexcept {
  return crashes.size() >= kCrashesBeforeTrial;
}

bool AwaitsDecision(const std::vector<ledger::Crash>& crashes) noexcept {
  return IsOnTrial(crashes) &&
         std::any_of(crashes.begin(), crashes.end(), [](const ledger::Crash& crash) {
           return crash.cause_ == CrashCause::kUndecided;
         });
}

core::Milliseconds ClearingAge(const std::vector<ledger::Crash>& crashes) noexcept {
  core::Milliseconds age = kMinClearingAge;
  for (const ledger::Crash& crash : crashes) {
    age = std::max(age,
                   std::chrono::duration_cast<core::Milliseconds>(crash.age_ * kClearingAgeFactor));
  }
  return age;
}

void AddCrash(std::vector<ledger::Crash>& crashes, ledger::Crash crash) {
  crashes.push_back(std::move(crash));
  if (crashes.size() > kMaxCrashesKept) {
    const auto other =
        std::find_if(crashes.begin(), crashes.end(),
                     [](const ledger::Crash& earlier) { return !IsCaused(earlier); });
    crashes.erase(other == crashes.end() ? crashes.begin() : other);
  }
}

bool IsCalm(const Fleet& fleet, core::TimePoint now, ledger::WallTime wall) {
  // The list may show a start late, and clocks differ: a start counts as recent by both clocks.
  const std::int64_t recent = core::ToMs(wall) - 2 * kCommonCauseWindow.count();
  std::uint32_t workers = 0;
  std::uint32_t fell = 0;
  for (const auto& [id, worker] : fleet.workers_) {
    const bool counts = worker.listed_ && !worker.replaced_ && !worker.entry_.draining_;
    workers += counts ? 1 : 0;
    const bool restarted = counts && now < worker.incarnation_seen_ + kCommonCauseWindow &&
                           worker.entry_.incarnation_ > recent;
    const bool silent = worker.failed_calls_ >= kFailedCallsOfOutage &&
                        now < worker.unreachable_since_ + 2 * kCommonCauseWindow;
    fell += restarted || silent ? 1 : 0;
  }
  for (const auto& [address, at] : fleet.departed_) {
    fell += now < at + 2 * kCommonCauseWindow ? 1 : 0;
  }
  return !IsCommonCause(fell, workers);
}

std::size_t TrialRoom(const Fleet& fleet) {
  std::size_t workers = 0;
  std::size_t on_trial = 0;
  for (const auto& [id, worker] : fleet.workers_) {
    if (!worker.listed_ || worker.replaced_) {
      continue;
    }
    ++workers;
    on_trial += std::any_of(worker.assigned_runs_.begin(), worker.assigned_runs_.end(),
                            [](const auto& entry) { return entry.second.on_trial_; })
                    ? 1
                    : 0;
  }
  return workers / 2 - std::min(workers / 2, on_trial);
}

}  // namespace laburnumledge::dispatch
