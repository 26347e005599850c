#include "laburnumledge/dispatch/interference.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using platform::CommandOutcome;
using site::InterferenceMode;

constexpr core::Milliseconds kTick{50};
constexpr int kKinds = 10;
constexpr int kSlots = 4;  // Of two GPUs each, on each worker.

std::string ImageOf(int kind) { return fmt::format("k{}", kind); }
std::string NameOf(int kind) { return fmt::format("survey/0/{}", ImageOf(kind)); }

struct Scenario {
  int workers_{12};
  double load_{0.6};
  double slowdown_{1.0};  ///< Of kinds 0 and 1 beside each other.
  int slow_workers_{};    ///< Run everything at half speed after 20 s; kind 0 runs only there.
  InterferenceMode mode_{InterferenceMode::kAvoid};
};

/** Dispatcher and model workers whose tasks last 2.5 to 9 s, with noise, in virtual time. */
struct World {
  struct ModelRun {
    platform::ActiveRun row_;
    int kind_{};
    double seconds_{};  ///< Alone, on a worker of usual speed.
    double done_{};
    double noise_{1.0};
    bool met_{};  ///< Kinds 0 and 1: ran beside the other one.
  };
  struct ModelWorker {
    double speed_{1.0};
    std::vector<ModelRun> runs_;
    std::vector<platform::FinishedRun> finished_;
    std::uint64_t results_{};
    std::optional<LeaseAction> lease_;
    core::TimePoint answer_at_{};
  };

  Scenario scenario_;
  core::Random random_;
  Dispatcher dispatcher_;
  core::TimePoint now_ = kNow;
  std::map<std::string, ModelWorker> workers_;
  std::map<std::string, std::pair<int, double>> jobs_;  ///< Kind and seconds.
  std::string placements_;
  int pair_runs_{};  ///< Runs of kinds 0 and 1 that have run beside the other one.
  int runs_of_pair_{};

  World(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        random_(core::MakeRandom(seed, "interference")),
        dispatcher_(MakeBounds(), 1, scenario.mode_) {
    dispatcher_.SetRules({});
    for (int index = 1; index <= scenario.workers_; ++index) {
      site::WorkerEntry entry = MakeEntry(fmt::format("w{:02}", index));
      if (index <= scenario.slow_workers_) {
        entry.labels_.emplace_back("slow");
      }
      workers_[entry.id_].speed_ = Noise(0.05);
      dispatcher_.OnWorker(entry, now_);
    }
    dispatcher_.Begin(now_, {.leases_end_ = now_});
  }

  double Noise(double spread) {
    return std::exp(std::normal_distribution<double>(0.0, spread)(random_));
  }

  void Submit() {
    const int kind = std::uniform_int_distribution<int>(0, kKinds - 1)(random_);
    const double base = 2.5 + 0.7 * kind;
    const std::string id = JobId(static_cast<int>(jobs_.size()) + 1);
    ledger::Step step = MakeStep(1, 2);
    step.image_ = ImageOf(kind);
    step.constraint_ = kind == 0 && scenario_.slow_workers_ > 0 ? "slow" : "";
    step.estimate_ = core::Milliseconds(static_cast<std::int64_t>(1000 * base * Noise(0.7)));
    jobs_[id] = {kind, base * Noise(0.5)};
    const ledger::JobEntry entry{.submission_ = MakeSubmission({step})};
    dispatcher_.OnJob(id, &entry, now_);
  }

  void Start(const StartAction& start) {
    const auto& [kind, seconds] = jobs_.at(start.command_.task_.job_);
    workers_.at(start.worker_.id_)
        .runs_.push_back({.row_ = {.task_ = start.command_.task_, .run_ = start.command_.run_},
                          .kind_ = kind,
                          .seconds_ = seconds});
    runs_of_pair_ += kind < 2 ? 1 : 0;
    placements_ += start.worker_.id_ + ledger::ToString(start.command_.task_);
    dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kDone}, now_);
  }

  void Advance(ModelWorker& worker, double speed) {
    const bool noisy = (now_ - kNow) % core::Milliseconds(500) == core::Clock::duration{};
    for (ModelRun& run : worker.runs_) {
      const bool meets = run.kind_ < 2 && std::any_of(worker.runs_.begin(), worker.runs_.end(),
                                                      [&run](const ModelRun& other) {
                                                        return other.kind_ == 1 - run.kind_;
                                                      });
      pair_runs_ += meets && !run.met_ ? 1 : 0;
      run.met_ = run.met_ || meets;
      run.noise_ = noisy ? Noise(0.15) : run.noise_;
      run.done_ +=
          100 * 0.05 / run.seconds_ * speed * run.noise_ / (meets ? scenario_.slowdown_ : 1.0);
      run.row_.progress_percent_ = static_cast<std::int64_t>(std::min(run.done_, 100.0));
      if (run.done_ >= 100.0) {
        worker.finished_.push_back({.sequence_number_ = ++worker.results_,
                                    .task_ = run.row_.task_,
                                    .run_ = run.row_.run_,
                                    .result_ = platform::RunResult::kDone});
        worker.answer_at_ = now_;
      }
    }
    std::erase_if(worker.runs_, [](const ModelRun& run) { return run.done_ >= 100.0; });
  }

  void Answer(ModelWorker& worker) {
    const LeaseAction lease = *std::exchange(worker.lease_, std::nullopt);
    std::erase_if(worker.finished_, [&](const platform::FinishedRun& row) {
      return row.sequence_number_ <= lease.call_.acknowledged_;
    });
    platform::LeaseResult result{.outcome_ = CommandOutcome::kDone,
                                 .incarnation_ = MakeEntry("").incarnation_,
                                 .finished_ = worker.finished_};
    for (const ModelRun& run : worker.runs_) {
      result.running_.push_back(run.row_);
    }
    dispatcher_.OnLease(lease, result, now_);
  }

  void RunDispatcher() {
    const auto since = std::chrono::duration_cast<core::Milliseconds>(now_ - kNow);
    const Actions actions = RunAndAnswerChecks(dispatcher_, {.now_ = now_, .wall_ = kWall + since});
    for (const LeaseAction& lease : actions.leases_) {
      ModelWorker& worker = workers_.at(lease.worker_.id_);
      worker.lease_ = lease;
      worker.answer_at_ = now_ + lease.call_.wait_;
    }
    for (const StartAction& start : actions.starts_) {
      Start(start);
    }
    for (const StatusChange& change : actions.statuses_) {
      dispatcher_.OnStatusRecorded(change.job_, change.state_);
    }
    for (const RecordBatch& batch : actions.records_) {
      dispatcher_.OnRecorded(batch.number_, now_);
    }
  }

  void Step() {
    now_ += kTick;
    const double mean_seconds = 5.65 * std::exp(0.125);
    const double arrivals = scenario_.load_ * scenario_.workers_ * kSlots / mean_seconds * 0.05;
    for (int count = std::poisson_distribution<int>(arrivals)(random_); count > 0; --count) {
      Submit();
    }
    int index = 0;
    for (auto& [id, worker] : workers_) {
      const bool slow =
          ++index <= scenario_.slow_workers_ && now_ > kNow + core::Milliseconds(20000);
      Advance(worker, worker.speed_ * (slow ? 0.5 : 1.0));
      if (worker.lease_.has_value() && now_ >= worker.answer_at_) {
        Answer(worker);
      }
    }
    RunDispatcher();
    RunDispatcher();
  }

  void RunFor(core::Milliseconds time) {
    for (const core::TimePoint end = now_ + time; now_ < end;) {
      Step();
    }
  }

  /** Steps until kinds 0 and 1 are known as a pair, or until so many of their runs have met. */
  bool FindPair(int most_runs) {
    const InterferenceTable& table = dispatcher_.Interference();
    while (pair_runs_ <= most_runs) {
      Step();
      const KindIndex kind = FindKind(table, NameOf(0));
      if (kind != kNoKind && (table.known_[kind] & SetOf(FindKind(table, NameOf(1)))) != 0) {
        return true;
      }
    }
    return false;
  }

  /** Pairs that have been known at some time. */
  std::size_t CountReported(core::Milliseconds time) {
    std::set<std::pair<std::size_t, std::size_t>> reported;
    for (const core::TimePoint end = now_ + time; now_ < end; Step()) {
      for (std::size_t kind = 0; kind < kMaxKinds; ++kind) {
        for (std::size_t other = kind; other < kMaxKinds; ++other) {
          if ((dispatcher_.Interference().known_[kind] >> other & 1U) != 0) {
            reported.emplace(kind, other);
          }
        }
      }
    }
    return reported.size();
  }

  /** GPUs in use, or on workers that are paused for other reasons, as a fraction of all. */
  [[nodiscard]] double UsedOrPausedFraction() const {
    double gpus = 0;
    for (const auto& [id, worker] : dispatcher_.Workers().workers_) {
      gpus +=
          worker.health_.suspected_until_ > now_ ? 8.0 : static_cast<double>(worker.used_.gpus_);
    }
    return gpus / (8.0 * scenario_.workers_);
  }
};

}  // namespace

TEST_CASE("two kinds that halve each other's speed are found and kept apart") {
  // Load: 60%, two of ten kinds interfere. Guards against interference that is found too late, and
  // against a pair that is known and placed together all the same, or that never fades.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    World world({.slowdown_ = 2.0}, seed);
    REQUIRE(world.FindPair(60));
    world.RunFor(core::Milliseconds(10000));
    const int met = world.pair_runs_;
    const int runs = world.runs_of_pair_;
    world.RunFor(core::Milliseconds(60000));
    CHECK(world.pair_runs_ - met <= 0.05 * (world.runs_of_pair_ - runs));
    CHECK(world.dispatcher_.Counts().interference_avoided_ > 0);
    InterferenceTable later = world.dispatcher_.Interference();
    RefreshKnownPairs(later, world.now_ + std::chrono::minutes(10));
    CHECK(later.known_pairs_ == 0);
  }
}

TEST_CASE("all capacity is used at 120% load, whatever interferes") {
  // Guards against a preference that leaves tasks waiting beside free GPUs.
  World world({.slowdown_ = 2.0}, 1);
  REQUIRE(world.FindPair(60));
  world.scenario_.load_ = 1.2;
  world.RunFor(core::Milliseconds(40000));
  for (int step = 0; step < 400; ++step) {
    world.Step();
    REQUIRE(world.dispatcher_.Use().waiting_other_ > 0);
    CHECK(world.UsedOrPausedFraction() == doctest::Approx(1.0));
  }
}

TEST_CASE("at most 1% of the pairs are reported without interference") {
  // Guards against noise, job sizes and many looks at many pairs that are taken for interference.
  std::size_t reported = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    World world({.workers_ = 8, .load_ = 0.8, .mode_ = InterferenceMode::kObserve}, seed);
    reported += world.CountReported(core::Milliseconds(60000));
  }
  const std::size_t pairs = kKinds * (kKinds + 1) / 2;
  MESSAGE("pairs reported: ", reported, " of ", 300 * pairs);
  CHECK(reported <= 3 * pairs);
}

TEST_CASE("slow workers are not mistaken for interference by the kind that runs only there") {
  // Guards against a worker's own speed that is blamed on the kinds it has.
  std::size_t reported = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world({.slow_workers_ = 4, .mode_ = InterferenceMode::kObserve}, seed);
    reported += world.CountReported(core::Milliseconds(120000));
  }
  CHECK(reported <= 20 * kKinds * (kKinds + 1) / 2 / 100);
}

TEST_CASE("observing places exactly as off does, and avoiding too while no pair is known") {
  // Guards against deployments that are served differently though nothing interferes.
  const auto placements = [](InterferenceMode mode, double slowdown) {
    World world({.load_ = 1.0, .slowdown_ = slowdown, .mode_ = mode}, 7);
    world.RunFor(core::Milliseconds(60000));
    CHECK((mode == InterferenceMode::kObserve) ==
          (world.dispatcher_.Interference().known_pairs_ > 0));
    return world.placements_;
  };
  CHECK(placements(InterferenceMode::kObserve, 2.0) == placements(InterferenceMode::kOff, 2.0));
  CHECK(placements(InterferenceMode::kAvoid, 1.0) == placements(InterferenceMode::kOff, 1.0));
}

TEST_CASE("a run that restores a checkpoint is measured from its first progress on") {
  // Guards against a checkpoint's progress that is taken for speed.
  InterferenceTable table{.mode_ = InterferenceMode::kObserve};
  RelativeSpeed speed;
  RunExposure exposure{.kind_ = FindOrAddKind(table, "a", kNow)};
  ProgressRate rate;
  const auto report = [&](double percent, int milliseconds) {
    const core::TimePoint at = kNow + core::Milliseconds(milliseconds);
    BeginExposure(exposure, rate);
    (void)MeasureProgress(rate, static_cast<std::int64_t>(percent), core::Milliseconds(5000), at);
    ObserveProgress(table, speed, exposure,
                    {.percent_ = percent, .predicted_ = core::Milliseconds(5000), .at_ = at});
  };
  StartResumedMeasurement(rate, kNow);
  report(60, 1500);
  CHECK_FALSE(exposure.has_rate_);
  report(75, 3000);
  REQUIRE(exposure.has_rate_);
  CHECK(std::exp(exposure.log_rate_) == doctest::Approx(10.0));
}

TEST_CASE("a full table leaves further kinds unknown until an entry has not been seen for long") {
  // Guards against memory that grows with the number of images.
  InterferenceTable table{.mode_ = InterferenceMode::kAvoid};
  for (std::size_t kind = 0; kind < kMaxKinds; ++kind) {
    CHECK(FindOrAddKind(table, fmt::format("a{}", kind), kNow) == kind);
  }
  CHECK(FindOrAddKind(table, "b", kNow) == kNoKind);
  CHECK(FindOrAddKind(table, "b", kNow + std::chrono::hours(1)) == 0);
  CHECK(FindKind(table, "a0") == kNoKind);
}

}  // namespace laburnumledge::dispatch
