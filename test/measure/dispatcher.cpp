// Measures what the leader's dispatcher costs by the number of workers:
//   measure_dispatcher [--workers 48,350,540,4500] [--load 1.5] [--seconds 10] [--store-pause-ms 0]
//     [--avoid-interference]

#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <cxxopts.hpp>
#include <numeric>
#include <random>

#include "dispatcher_load.hpp"
#include "fit.hpp"
#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::measure {

namespace {

using platform::CommandOutcome;
using platform::RunResult;

constexpr core::Milliseconds kAnswerTime{2};
constexpr core::Milliseconds kStoreTime{6};
constexpr core::Milliseconds kHeartbeatInterval{1500};
constexpr core::Milliseconds kDryRunInterval{1000};  ///< The most that a leader answers.
constexpr core::Clock::duration kOneTick{1};
constexpr int kWorkersPerRack = 12;
constexpr int kZones = 6;
/** Workers of the sheet that the arrival rates below are taken from. */
constexpr double kSheetWorkers = 540;

/** Kind of job of the sheet. */
struct JobKind {
  double per_second_;
  std::uint32_t priority_;
  double mean_width_;
  std::uint32_t most_width_;
  std::int64_t cpu_millis_;
  std::int64_t memory_mb_;
  core::Milliseconds duration_;
  double stretch_;
  core::Milliseconds target_latency_;
  bool gang_;
};

constexpr JobKind kKinds[] = {
    {11.8, 0, 5.3, 32, 15000, 39000, core::Milliseconds(2500), 1.5, core::Milliseconds(250), true},
    {3.67, 1, 13, 76, 52000, 110000, core::Milliseconds(6800), 3.0, core::Milliseconds(1000), true},
    {2.31, 2, 38, 230, 11000, 29000, core::Milliseconds(9500), 3.0, core::Milliseconds(3000),
     false}};
constexpr std::int64_t kGangGpus[] = {1, 2, 4, 8, 8};

/** Log-normal value of a given mean; `spread` is the standard deviation of its logarithm. */
double LogNormal(core::Random& random, double mean, double spread) {
  return std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(random);
}

ledger::WallTime WallAt(core::TimePoint now) {
  return fixture::kWall + std::chrono::duration_cast<core::Milliseconds>(now - fixture::kNow);
}

std::string WorkerId(int number) { return fmt::format("worker{:06}", number); }

core::WorkerTime ClockAt(core::TimePoint now) {
  return core::FromMs<core::WorkerTime>(
      std::chrono::duration_cast<core::Milliseconds>(now - fixture::kNow).count() + 50000);
}

ledger::JobEntry MakeEntry(const JobKind& kind, std::size_t route, core::Random& random,
                           core::TimePoint now) {
  const double width = LogNormal(random, kind.mean_width_, 0.8);
  ledger::Step step =
      fixture::MakeStep(std::clamp(static_cast<std::uint32_t>(width), 1U, kind.most_width_), 1);
  step.gang_ = kind.gang_;
  step.same_rack_ = kind.gang_ && random(10) < 7;
  step.checkpointing_ = random(100) < 45;
  step.task_resources_ = {.cpu_millis_ = kind.cpu_millis_,
                          .memory_mb_ = kind.memory_mb_,
                          .gpus_ = kind.gang_ ? kGangGpus[random(std::size(kGangGpus))] : 1};
  // Clients' estimates are rough: the deviation of their logarithm is about one.
  step.estimate_ = core::Milliseconds(static_cast<std::int64_t>(
      LogNormal(random, static_cast<double>(kind.duration_.count()), 1.0)));
  auto submission = *fixture::MakeSubmission({step}, kind.priority_);
  submission.route_ = fmt::format("route-{}", route);
  submission.scheduling_.stretch_ = kind.stretch_;
  submission.scheduling_.target_latency_ = kind.target_latency_;
  submission.accepted_ = WallAt(now);
  return {.submission_ = std::make_shared<const ledger::Submission>(std::move(submission))};
}

}  // namespace

double CallTimes::Sum() const { return std::accumulate(samples_.begin(), samples_.end(), 0.0); }

double CallTimes::Quantile(double fraction) {
  const auto at = samples_.begin() +
                  static_cast<std::ptrdiff_t>(fraction * static_cast<double>(samples_.size() - 1));
  std::nth_element(samples_.begin(), at, samples_.end());
  return *at;
}

DispatcherRun::DispatcherRun(const DispatcherLoad& load)
    : load_(load),
      random_(core::MakeRandom(load.seed_, "dispatcher")),
      dry_run_random_(core::MakeRandom(load.seed_, "dry run")),
      now_(fixture::kNow),
      begin_(fixture::kNow),
      dispatcher_(fixture::MakeBounds(), 1, load.interference_) {
  dispatcher_.SetRules({});
  for (int number = 0; number < load_.workers_; ++number) {
    const int rack = number / kWorkersPerRack;
    site::WorkerEntry entry = fixture::MakeEntry(WorkerId(number), fmt::format("rack-{}", rack),
                                                 fmt::format("zone-{}", rack % kZones));
    entry.clock_ = ClockAt(now_);
    workers_[entry.id_] = {};
    dispatcher_.OnWorker(entry, now_);
    const auto repeat = [this, entry](const auto& self) -> void {
      Schedule(now_ + kHeartbeatInterval, [this, entry, self] {
        site::WorkerEntry heartbeat = entry;
        heartbeat.clock_ = ClockAt(now_);
        Timed("heartbeat", [&] { dispatcher_.OnWorker(heartbeat, now_); });
        RunDispatcher();
        self(self);
      });
    };
    now_ += core::Milliseconds(random_(3));
    repeat(repeat);
    now_ = begin_;
  }
  dispatcher_.Begin(now_, {.leases_end_ = now_});
  for (std::size_t kind = 0; kind < std::size(kKinds); ++kind) {
    SubmitNext(kind);
  }
}

void DispatcherRun::Schedule(core::TimePoint time, std::function<void()> function) {
  events_.emplace(time, std::move(function));
}

template <typename Function>
void DispatcherRun::Timed(const std::string& call, Function function) {
  const double begin = ProcessMicroseconds();
  function();
  if (measuring_) {
    cost_.calls_[call].samples_.push_back(ProcessMicroseconds() - begin);
  }
}

void DispatcherRun::SubmitNext(std::size_t kind) {
  const double rate =
      kKinds[kind].per_second_ * load_.arrival_factor_ * load_.workers_ / kSheetWorkers;
  const double seconds = std::exponential_distribution<double>(rate)(random_);
  const core::Milliseconds wait(static_cast<std::int64_t>(seconds * 1e3));
  Schedule(now_ + wait, [this, kind] {
    const std::string id = fixture::JobId(next_job_++);
    const ledger::JobEntry& entry =
        jobs_.entries_.emplace(id, MakeEntry(kKinds[kind], kind, random_, now_)).first->second;
    Timed("job", [&] { dispatcher_.OnJob(id, &entry, now_); });
    RunDispatcher();
    SubmitNext(kind);
  });
}

void DispatcherRun::RunDispatcher() {
  Timed("run", [this] { next_run_ = dispatcher_.Run({.now_ = now_, .wall_ = WallAt(now_)}); });
  Perform(dispatcher_.TakeActions());
}

void DispatcherRun::EndRun(const std::string& id, const ledger::TaskId& task, std::uint64_t run,
                           RunResult result) {
  ModelWorker& worker = workers_.at(id);
  const auto found = worker.runs_.find(task);
  if (found == worker.runs_.end() || found->second.run_ != run) {
    return;
  }
  worker.runs_.erase(found);
  worker.finished_.push_back({.sequence_number_ = ++worker.results_,
                              .task_ = task,
                              .run_ = run,
                              .result_ = result,
                              .checkpoint_ = {}});
  if (worker.open_lease_.has_value()) {
    Schedule(now_ + kAnswerTime, [this, lease = *std::exchange(worker.open_lease_, std::nullopt)] {
      AnswerLease(lease);
    });
  }
}

void DispatcherRun::StartRun(const dispatch::StartAction& start) {
  const platform::StartCommand& command = start.command_;
  const JobKind& kind =
      kKinds[jobs_.entries_.at(command.task_.job_).submission_->scheduling_.priority_];
  // Members of a gang last equally long.
  core::Random random = core::MakeRandom(
      core::Hash(kind.gang_ ? command.task_.job_ : ledger::ToString(command.task_)), "length");
  const double length = LogNormal(random, static_cast<double>(kind.duration_.count()), 0.3);
  const core::TimePoint ends = now_ + core::Milliseconds(static_cast<std::int64_t>(length));
  workers_.at(start.worker_.id_).runs_[command.task_] = {
      .run_ = command.run_, .began_ = now_, .ends_ = ends};
  Schedule(ends, [this, worker = start.worker_.id_, command] {
    EndRun(worker, command.task_, command.run_, RunResult::kDone);
  });
}

void DispatcherRun::AnswerLease(const dispatch::LeaseAction& lease) {
  ModelWorker& worker = workers_.at(lease.worker_.id_);
  std::erase_if(worker.finished_, [&](const platform::FinishedRun& row) {
    return row.sequence_number_ <= lease.call_.acknowledged_;
  });
  platform::LeaseResult result{.outcome_ = CommandOutcome::kDone,
                               .clock_ = ClockAt(now_),
                               .incarnation_ = fixture::MakeEntry("").incarnation_,
                               .running_ = {},
                               .finished_ = worker.finished_};
  for (const auto& [task, run] : worker.runs_) {
    const auto percent = 100 * (now_ - run.began_) / std::max(run.ends_ - run.began_, kOneTick);
    result.running_.push_back({.task_ = task, .run_ = run.run_, .progress_percent_ = percent});
  }
  Timed("lease", [&] { dispatcher_.OnLease(lease, result, now_); });
  RunDispatcher();
}

void DispatcherRun::HoldLease(const dispatch::LeaseAction& lease) {
  ModelWorker& worker = workers_.at(lease.worker_.id_);
  const bool news = std::any_of(worker.finished_.begin(), worker.finished_.end(),
                                [&](const platform::FinishedRun& row) {
                                  return row.sequence_number_ > lease.call_.acknowledged_;
                                });
  if (news || lease.call_.wait_.count() == 0) {
    Schedule(now_ + kAnswerTime, [this, lease] { AnswerLease(lease); });
    return;
  }
  worker.open_lease_ = lease;
  Schedule(now_ + lease.call_.wait_, [this, lease] {
    std::optional<dispatch::LeaseAction>& open = workers_.at(lease.worker_.id_).open_lease_;
    if (open.has_value() && open->number_ == lease.number_) {
      open.reset();
      AnswerLease(lease);
    }
  });
}

void DispatcherRun::Perform(const dispatch::Actions& actions) {
  const core::TimePoint stored = std::max(now_, store_back_) + kStoreTime;
  for (const dispatch::RecordBatch& batch : actions.records_) {
    Schedule(stored, [this, number = batch.number_] {
      Timed("recorded", [&] { dispatcher_.OnRecorded(number, now_); });
      RunDispatcher();
    });
  }
  for (const dispatch::StatusChange& change : actions.statuses_) {
    if (measuring_ && change.state_ == ledger::JobState::kCompleted) {
      ++cost_.jobs_completed_[jobs_.entries_.at(change.job_).submission_->route_];
    }
    Schedule(stored, [this, change] {
      dispatcher_.OnStatusRecorded(change.job_, change.state_);
      RunDispatcher();
    });
  }
  for (const dispatch::StartAction& start : actions.starts_) {
    Schedule(now_ + kAnswerTime, [this, start] {
      StartRun(start);
      Timed("started", [&] {
        dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kDone, .clock_ = ClockAt(now_)},
                              now_);
      });
      RunDispatcher();
    });
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    Schedule(now_ + kAnswerTime, [this, stop] {
      EndRun(stop.worker_.id_, stop.command_.task_, stop.command_.run_, RunResult::kStopped);
      Timed("stopped", [&] {
        dispatcher_.OnStopped(stop, {.outcome_ = CommandOutcome::kDone, .clock_ = ClockAt(now_)},
                              now_);
      });
      RunDispatcher();
    });
  }
  for (const dispatch::CheckAction& check : actions.checks_) {
    Schedule(now_ + kAnswerTime, [this, check] {
      Timed("checked", [&] {
        dispatcher_.OnChecked(check, {.outcome_ = CommandOutcome::kDone, .clock_ = ClockAt(now_)},
                              now_);
      });
      RunDispatcher();
    });
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    HoldLease(lease);
  }
}

DispatcherCost DispatcherRun::Measure(core::Milliseconds warm_up, core::Milliseconds measured) {
  const core::TimePoint measured_from = begin_ + warm_up;
  const core::TimePoint end = measured_from + measured;
  RunDispatcher();
  while (now_ < end) {
    const core::TimePoint next = events_.empty() ? end : events_.begin()->first;
    if (next_run_ <= next) {
      now_ = std::max(now_, next_run_);
      RunDispatcher();
      continue;
    }
    now_ = next;
    if (!measuring_ && now_ >= measured_from) {
      measuring_ = true;
      store_back_ = load_.store_pause_.count() > 0 ? now_ + load_.store_pause_ : core::TimePoint{};
    }
    if (now_ >= next_dry_run_) {
      next_dry_run_ = now_ + kDryRunInterval;
      const ledger::JobEntry entry = MakeEntry(kKinds[0], 0, dry_run_random_, now_);
      Timed("dry run", [&] {
        (void)dispatcher_.Explain(*entry.submission_, {.now_ = now_, .wall_ = WallAt(now_)});
      });
    }
    auto event = events_.extract(events_.begin());
    event.mapped()();
    if (measuring_) {
      std::size_t runs = 0;
      for (const auto& [id, worker] : dispatcher_.Workers().workers_) {
        runs += worker.assigned_runs_.size();
      }
      cost_.mean_runs_ += static_cast<double>(runs);
      run_samples_ += 1;
    }
  }
  cost_.mean_runs_ /= std::max(1.0, run_samples_);
  cost_.seconds_ = std::chrono::duration<double>(measured).count();
  cost_.counts_ = dispatcher_.Counts();
  return cost_;
}

namespace {

void Print(const DispatcherLoad& load, DispatcherCost& cost) {
  double sum = 0;
  for (auto& [call, times] : cost.calls_) {
    const double share = times.Sum() / cost.seconds_ / 1e4;
    sum += share;
    fmt::print("{:>7} {:>9} {:>10.0f} {:>10.1f} {:>10.1f} {:>10.1f} {:>8.2f}\n", load.workers_,
               call, static_cast<double>(times.samples_.size()) / cost.seconds_,
               times.Quantile(0.5), times.Quantile(0.99), times.Quantile(1.0), share);
  }
  fmt::print(
      "{:>7} {:>9} {:>52.2f}   runs {:.0f}, starts {}, preemptions {}, done {}, lost {}, avoided "
      "{}\n",
      load.workers_, "all", sum, cost.mean_runs_, cost.counts_.starts_, cost.counts_.preemptions_,
      cost.counts_.runs_done_, cost.counts_.runs_lost_, cost.counts_.interference_avoided_);
  for (const auto& [route, jobs] : cost.jobs_completed_) {
    fmt::print("{:>7} {:>9} {:>10.1f} jobs completed a second\n", load.workers_, route,
               jobs / cost.seconds_);
  }
}

int Main(int count, const char* const* values) {
  cxxopts::Options options("measure_dispatcher", "Processor time of the dispatcher by its size");
  options.add_options()("workers", "numbers of workers",
                        cxxopts::value<std::vector<int>>()->default_value("48,350,540,4500"))(
      "load", "arrivals as a multiple of the sheet's",
      cxxopts::value<double>()->default_value("1.5"))("seconds", "virtual time that is measured",
                                                      cxxopts::value<int>()->default_value("10"))(
      "store-pause-ms", "time without answers of the store",
      cxxopts::value<int>()->default_value("0"))("avoid-interference",
                                                 "learn and avoid interference");
  const auto given = options.parse(count, values);
  core::SetLevel(core::Level::kError);
  fmt::print("{:>7} {:>9} {:>10} {:>10} {:>10} {:>10} {:>8}\n", "workers", "call", "a second",
             "median us", "p99 us", "most us", "% core");
  std::vector<Point> points;
  for (const int workers : given["workers"].as<std::vector<int>>()) {
    const DispatcherLoad load{.workers_ = workers,
                              .arrival_factor_ = given["load"].as<double>(),
                              .seed_ = 1,
                              .store_pause_ = core::Milliseconds(given["store-pause-ms"].as<int>()),
                              .interference_ = given.count("avoid-interference") > 0
                                                   ? site::InterferenceMode::kAvoid
                                                   : site::InterferenceMode::kOff};
    DispatcherRun run(load);
    DispatcherCost cost =
        run.Measure(core::Milliseconds(15000), std::chrono::seconds(given["seconds"].as<int>()));
    Print(load, cost);
    double sum = 0;
    for (const auto& [call, times] : cost.calls_) {
      sum += times.Sum();
    }
    points.push_back({.size_ = static_cast<double>(workers), .value_ = sum / cost.seconds_ / 1e4});
  }
  if (points.size() > 1) {
    const Fit fit = FitLine(points);
    fmt::print("% core = {:.3f} + {:.5f} a worker, fit error {:.1f}%\n", fit.base_, fit.slope_,
               fit.error_ * 100);
  }
  return 0;
}

}  // namespace

}  // namespace laburnumledge::measure

int main(int count, char** values) { return laburnumledge::measure::Main(count, values); }
