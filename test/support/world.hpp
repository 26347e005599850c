#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"
#include "support/fake_workers.hpp"

namespace laburnumledge::support {

/** @brief Faults of a simulation, as probabilities in thousandths. */
struct Faults {
  std::uint32_t lost_answer_{};   ///< Per call: the call is carried out, its answer is lost.
  std::uint32_t late_call_{};     ///< Per call: carried out seconds later, without an answer.
  std::uint32_t failing_run_{};   ///< Per run: the run fails.
  std::uint32_t worker_crash_{};  ///< Per second and worker.
  std::uint32_t worker_cut_{};    ///< Per second and worker: nobody reaches the worker for a while.
  std::uint32_t leader_crash_{};  ///< Per second.
  std::uint32_t leader_cut_{};    ///< Per second: the leader goes on without the store.
  std::uint32_t store_outage_{};  ///< Per second.
  std::uint32_t cancel_{};        ///< Per second and job.
  std::uint32_t quota_change_{};  ///< Per second: other quotas; 0: there are no organisations.
  std::uint32_t deadly_job_{};    ///< Per job: its tasks crash every worker that starts them.
  std::uint32_t filling_job_{};   ///< Per job: its tasks use idle processors, for long.
  std::uint32_t outage_{};        ///< Per second: 30% to 40% of the workers crash together.
  std::uint32_t foreign_entry_{};  ///< Per second: another writer copies or overwrites an entry.
  bool late_call_after_crash_{};   ///< Late calls reach a later incarnation of their worker too.
  core::Milliseconds longest_late_call_{8000};  ///< Latest time at which a late call arrives.
  bool slow_stop_{};  ///< A stopped run ends some time later and keeps its room until then.
  std::uint32_t other_kind_{};  ///< Per restart: the worker comes back with another service, label
                                ///< and capacity; 0: all workers are alike.
  std::uint32_t route_change_{};  ///< Per second: the queue is sent to another service.
};

/** @brief Size of a simulated deployment. */
struct WorldSize {
  int workers_{4};
  int workers_per_rack_{std::numeric_limits<int>::max()};
  int jobs_{12};
  /** Organisations with guarantees, whose jobs are mostly urgent and come in bursts; 0 for none. */
  std::uint32_t guarantees_{};
  bool weights_{};  ///< These organisations have weights too.
  core::Milliseconds longest_lease_{6000};
};

/** @brief Which leaders can reach a worker. */
struct Reachability {
  core::TimePoint cut_until_{};
  core::TimePoint split_until_{};  ///< Until then only leaders of the terms below reach the worker.
  std::uint64_t first_term_that_reaches_{};
  std::uint64_t last_term_that_reaches_{};
};

/** @brief Organisations of jobs, if there are quotas. */
inline constexpr std::uint32_t kOrganisations = 3;

/** @brief Quotas that were published, and when. */
struct PublishedQuotas {
  core::TimePoint published_{};
  std::vector<site::Organisation> organisations_;
};

/** @brief Simulates dispatchers of successive terms with fake workers and a fake store, in virtual
 * time. */
class World {
 public:
  World(std::uint64_t seed, const Faults& faults, const WorldSize& size = {});

  /** @brief Simulates some seconds with faults, then up to 120 s without, until all jobs are
   * finished. */
  void Simulate(int seconds);

  /** @brief Violations of the platform's rules that the fake workers saw, as text. */
  [[nodiscard]] const std::vector<std::string>& Violations() const noexcept {
    return fake_workers_.broken_;
  }

  /** @brief All actions that the dispatchers have issued. */
  [[nodiscard]] const std::vector<dispatch::Actions>& IssuedActions() const noexcept {
    return issued_actions_;
  }

  /** @brief Results that were acknowledged to workers. */
  [[nodiscard]] const std::vector<platform::FinishedRun>& AcknowledgedResults() const noexcept {
    return fake_workers_.noted_;
  }

  /** @brief Whether every job was submitted and has reached a final state. */
  [[nodiscard]] bool AllJobsFinished() const;

 private:
  struct Leader {
    std::unique_ptr<dispatch::Dispatcher> dispatcher_;
    std::uint64_t term_{};
    core::TimePoint stops_at_{core::TimePoint::max()};  ///< When a leader that was cut off stops.
    bool fenced_{};                                     ///< The store refuses the leader's records.
    core::TimePoint last_batch_{};  ///< Batches land in the order in which they were sent.
    core::TimePoint last_status_{};
  };
  using LeaderPointer = std::shared_ptr<Leader>;

  void Schedule(core::TimePoint time, std::function<void()> function);
  [[nodiscard]] bool Chance(std::uint32_t thousandths);
  [[nodiscard]] core::Milliseconds RandomDuration(int least, int most);
  [[nodiscard]] ledger::Step MakeFillingStep(int number);
  void SubmitJob(int number);
  void CancelJob(const std::string& id);
  void InjectFaults();
  void CrashLeader();
  void CrashTogether();
  void CrashWorker(FakeWorker& worker, core::TimePoint back);
  void ChooseKinds();
  void ChangeKind(FakeWorker& worker);
  void ChangeRoute();
  void PublishRoute(const std::string& service);
  void CrashAndReplace(FakeWorker& worker, core::TimePoint back);
  void WriteForeignEntry();
  void CopyEntry(const FakeWorker& worker);
  void OverwriteEntry(const FakeWorker& worker, const FakeWorker& other);
  void ListWorker(const std::string& id, const site::WorkerEntry& entry);
  void UnlistWorker(const std::string& id);
  void ReadWorkerList();
  [[nodiscard]] core::TimePoint LastFaultEnds() const;
  [[nodiscard]] const ledger::Step* FindUndoneStep(const ledger::JobId& job) const;
  [[nodiscard]] bool HasRoom(const ledger::Step& step) const;
  void CheckIdleJobs();
  void CheckStalledSteps();
  void PublishQuotas(bool calm);
  void PublishGuarantees();
  void SubmitGuaranteedJob(int number);
  [[nodiscard]] bool HasBegun(const ledger::JobId& job) const;
  [[nodiscard]] bool IsWithinGuarantee(const std::string& organisation) const;
  void CheckGuarantee(const ledger::JobId& job);
  [[nodiscard]] site::Resources HighestQuota(const std::string& organisation) const;
  void TakeOver(core::Clock::duration unconfirmed);
  void Pump(const LeaderPointer& leader);
  void Perform(const LeaderPointer& leader, const dispatch::Actions& actions);
  void StoreBatch(const LeaderPointer& leader, const dispatch::RecordBatch& batch);
  void StoreStatus(const LeaderPointer& leader, const dispatch::StatusChange& change);

  [[nodiscard]] bool IsDeadly(const ledger::JobId& job) const;
  void CrashUnder(const std::string& worker, const platform::StartCommand& order);
  [[nodiscard]] RunCourse CourseOf(const platform::StartCommand& order);
  [[nodiscard]] bool Reachable(const std::string& worker, std::uint64_t term) const;
  /** Carries out a call on a worker, or, without a worker, gives the call an outcome. Returns the
   * function that handles the result. */
  using Execute =
      std::function<std::function<void()>(FakeWorker*, platform::CommandOutcome otherwise)>;
  void Deliver(std::uint64_t term, const platform::WorkerAddress& called, core::TimePoint deadline,
               const Execute& execute);
  void DeliverToOther(std::uint64_t term, const config::Address& address, core::TimePoint deadline,
                      const Execute& execute);

  core::Random random_;
  Faults faults_;
  WorldSize size_;
  site::Rules rules_;
  core::TimePoint now_{std::chrono::hours(1)};
  std::multimap<core::TimePoint, std::function<void()>> events_;
  ledger::Jobs jobs_;
  FakeWorkers fake_workers_;
  std::map<std::string, Reachability> reachability_;
  std::map<std::string, site::WorkerEntry> worker_list_;      ///< The platform's list of workers.
  std::map<std::string, core::TimePoint> overwritten_until_;  ///< Entries, by worker.
  int copies_{};                                              ///< Entries of another writer.
  std::uint32_t deadly_job_{};    ///< Faults::deadly_job_; jobs stay deadly after the last fault.
  bool has_kinds_{};              ///< Workers differ in service and label.
  core::TimePoint faults_end_{};  ///< No new fault begins from then on.
  core::TimePoint last_take_over_{};
  std::map<ledger::JobId, core::TimePoint> idle_since_;  ///< See CheckIdleJobs.
  std::map<ledger::TaskId, ledger::TaskRecord> records_;
  LeaderPointer leader_;
  std::uint64_t term_{};
  core::TimePoint outage_until_{};
  core::TimePoint earlier_leases_end_{};
  std::vector<PublishedQuotas> quotas_;
  std::vector<dispatch::Actions> issued_actions_;
  core::Random guarantee_random_;  ///< Apart, so that other worlds keep their course.
  std::map<ledger::JobId, core::Milliseconds> lengths_;  ///< Of guaranteed jobs' tasks.
};

}  // namespace laburnumledge::support
