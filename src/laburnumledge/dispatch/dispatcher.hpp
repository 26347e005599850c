#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/actions.hpp"
#include "laburnumledge/dispatch/crash_evidence.hpp"
#include "laburnumledge/dispatch/durations.hpp"
#include "laburnumledge/dispatch/explanation.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/guarantee.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/dispatch/placement.hpp"
#include "laburnumledge/dispatch/share.hpp"
#include "laburnumledge/dispatch/urgent_headroom.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/platform/workers.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch {

/** @brief What a leader knows of the terms before its own. */
struct EarlierTerms {
  core::TimePoint leases_end_{};    ///< No lease that was granted in them is valid from then on.
  core::TimePoint clock_origin_{};  ///< When the terms' clock read zero, on the local clock.
};

/** @brief Counters of a dispatcher since its construction, for metrics and log lines. */
struct DispatchCounts {
  std::uint64_t starts_{};
  std::uint64_t starts_refused_{};
  std::uint64_t starts_withdrawn_{};  ///< Starts given up before their command was sent.
  std::uint64_t preemptions_{};
  std::uint64_t runs_done_{};
  std::uint64_t runs_failed_{};
  std::uint64_t runs_lost_{};
  std::uint64_t plans_{};                 ///< Planning passes.
  std::uint64_t paces_{};                 ///< Pace commands.
  std::uint64_t checks_{};                ///< Calls that ask a worker who it is.
  std::uint64_t checks_failed_{};         ///< Those after which nothing was sent to the worker.
  std::uint64_t interference_avoided_{};  ///< Placements that differ because of a known pair.
  std::uint64_t worker_updates_{};        ///< Checks of one worker's lease, stops and runs.
};

/** @brief Record of the start of a run on a worker at an address. */
[[nodiscard]] ledger::TaskRecord DescribeStart(const Task& task, const Worker& worker,
                                               std::uint64_t run, site::Incarnation incarnation,
                                               const config::Address& address);

/** @brief Record of the end of a task's newest run, after which the task waits. */
[[nodiscard]] ledger::TaskRecord DescribeEnd(const Task& task);

/**
 * @brief Decides during one term which tasks run on which workers, and tracks the workers' runs.
 *
 * Does no I/O and reads no clock: the owner passes in events and times and carries out the actions.
 * A dispatcher serves one term; the next leader builds its own from the stored records.
 *
 * Order of calls: SetRules, OnJob and LoadTask for all stored records, OnWorker for each entry of
 * the platform's list, then Begin, then events in the order of their arrival. Call Run after each
 * event. Not thread safe.
 */
class Dispatcher {
 public:
  /**
   * @param bounds Time limits that the platform guarantees.
   * @param term Number of the term; the fencing tokens of all commands derive from it.
   * @param interference What is done about tasks that slow each other down.
   */
  Dispatcher(const site::Bounds& bounds, std::uint64_t term,
             site::InterferenceMode interference = site::InterferenceMode::kOff);

  /** @brief Applies a new configuration or a change of the zones that are out of service. */
  void SetRules(const site::Rules& rules);

  /**
   * @brief Adds a job, or cancels a known job whose entry says so.
   * @param id The job.
   * @param entry Its entry; null if the job's record was removed.
   * @param now Time of the event.
   */
  void OnJob(const ledger::JobId& id, const ledger::JobEntry* entry, core::TimePoint now);

  /** @brief Restores a task from the record of an earlier term. Must be called before Begin. */
  void LoadTask(const ledger::TaskId& id, const ledger::TaskRecord& record);

  /**
   * @brief Starts scheduling; Run does nothing before.
   * @param now Time of the event.
   * @param earlier What is known of earlier terms.
   */
  void Begin(core::TimePoint now, const EarlierTerms& earlier);

  /** @brief Adds or updates a worker from its entry in the platform's list. */
  void OnWorker(const site::WorkerEntry& entry, core::TimePoint now);

  /** @brief Marks a worker as unlisted. Its runs stay assigned until their leases expire. */
  void OnWorkerGone(const std::string& id, core::TimePoint now);

  /** @brief Confirms that a batch of records is stored; its starts may be sent from now on. */
  void OnRecorded(std::uint64_t batch, core::TimePoint now);

  /** @brief Confirms that a job's state is stored. */
  void OnStatusRecorded(const ledger::JobId& job, ledger::JobState state);

  /** @brief Handles the answer to a start command. */
  void OnStarted(const StartAction& action, const platform::CommandResult& result,
                 core::TimePoint now);

  /** @brief Handles the answer to a stop command. */
  void OnStopped(const StopAction& action, const platform::CommandResult& result,
                 core::TimePoint now);

  /** @brief Handles the answer to a pace command. */
  void OnPaced(const PaceAction& action, const platform::CommandResult& result,
               core::TimePoint now);

  /** @brief Handles the answer to a lease call; only the worker's newest call counts. */
  void OnLease(const LeaseAction& action, const platform::LeaseResult& result, core::TimePoint now);

  /** @brief Handles the answer to a check; only the worker's newest check counts. */
  void OnChecked(const CheckAction& action, const platform::LeaseResult& result,
                 core::TimePoint now);

  /**
   * @brief Plans placements, checks timeouts and queues actions.
   * @return Latest time of the next call.
   */
  [[nodiscard]] core::TimePoint Run(PlanTime time);

  /** @brief Returns the actions queued since the last call. */
  [[nodiscard]] Actions TakeActions();

  /**
   * @brief Dry run: where a job would go if it were accepted now, and why. Changes nothing.
   *
   * Costs a copy of the unfinished jobs and the workers, and one plan on the copy; the caller
   * limits the rate.
   *
   * @param submission The job with its route, scheduling parameters and organisation; a schedule is
   * ignored.
   * @param time Time of the dry run.
   * @return The explanation, or empty before Begin.
   */
  [[nodiscard]] std::optional<Explanation> Explain(const ledger::Submission& submission,
                                                   PlanTime time) const;

  [[nodiscard]] const DispatchCounts& Counts() const noexcept { return counts_; }
  [[nodiscard]] const JobTable& Jobs() const noexcept { return job_table_; }
  /** @brief Use of the fleet as the latest plan found it. */
  [[nodiscard]] const CapacityUse& Use() const noexcept { return capacity_use_; }
  /** @brief GPUs that steps ask for whose tasks wait until an earlier run can no longer exist. */
  [[nodiscard]] std::int64_t WaitingForUnresolvedRuns() const noexcept {
    return waiting_unresolved_gpus_;
  }
  /** @brief Steps that the latest look, once a second, found to hang; see FindStalledSteps. */
  [[nodiscard]] const std::vector<ledger::TaskId>& StalledSteps() const noexcept {
    return stalled_steps_;
  }
  [[nodiscard]] const Fleet& Workers() const noexcept { return fleet_; }
  [[nodiscard]] const Organisations& KnownOrganisations() const noexcept { return organisations_; }
  /** @brief Use by organisation index as the latest plan found it; empty before the first plan. */
  [[nodiscard]] const std::vector<OrganisationUse>& UseByOrganisation() const noexcept {
    return organisation_use_;
  }
  /** @brief What waits for a quota, by organisation index; empty without quotas. */
  [[nodiscard]] const std::vector<QuotaWait>& QuotaWaits() const noexcept { return quota_waits_; }
  /** @brief Urgent work against the guarantees, as the latest plan found it. */
  [[nodiscard]] const Guarantees& UrgentClaims() const noexcept { return guarantees_; }
  /** @brief Steps within their guarantee that have begun or missed the bound since the last call.
   * The oldest are dropped beyond a bounded number. */
  [[nodiscard]] std::vector<GuaranteeNews> TakeGuaranteeNews();
  /** @brief Kinds of work and what is known about their slowdowns. */
  [[nodiscard]] const InterferenceTable& Interference() const noexcept { return interference_; }

 private:
  /** Starts with their workers. */
  using Starts = std::vector<std::pair<std::string, RunId>>;

  /** Work that waits until a batch of records is stored. */
  struct PendingBatch {
    Starts starts_;
    struct ProcessedResults {
      std::string worker_;
      site::Incarnation incarnation_{};
      std::uint64_t last_result_{};
    };
    std::vector<ProcessedResults> results_;
    core::TimePoint overdue_at_{};  ///< From then on the store counts as not answering.
  };

  /** Worker that came up last at an address, as far as the list tells. */
  struct AddressHolder {
    std::string worker_;
    site::Incarnation incarnation_{};
  };

  /** Crash whose cause is decided once the news of the rest of the fleet has arrived. */
  struct UndecidedCrash {
    ledger::TaskId task_;
    std::uint64_t run_{};
    core::TimePoint decided_at_{};  ///< Zero before Begin.
  };

  /** Orders workers by the time of their next update, then by identifier, so that the order does
   * not depend on addresses. */
  struct UpdateOrder {
    using Entry = std::pair<core::TimePoint, Worker*>;
    [[nodiscard]] bool operator()(const Entry& left, const Entry& right) const noexcept {
      return left.first != right.first ? left.first < right.first
                                       : left.second->entry_.id_ < right.second->entry_.id_;
    }
  };

  Worker& FindOrAddWorker(const std::string& id);
  [[nodiscard]] bool IsTaskDone(const ledger::TaskId& id);
  void LoadDoubts(core::TimePoint now);
  void ReconcileGangs(Job& job, core::TimePoint now);
  void StopJob(Job& job, ledger::JobState state, core::TimePoint now);
  void SetState(Job& job, ledger::JobState state);
  void RetireJob(const ledger::JobId& id, core::TimePoint now);
  void RetireFinishedJobs(core::TimePoint now);

  void StartUnit(const PlannedGroup& unit, RecordBatch& batch, PendingBatch& pending,
                 core::TimePoint now);
  [[nodiscard]] AssignedRun* FindUnsentStart(const std::string& worker, const RunId& run);
  [[nodiscard]] std::string_view FindObstacle(const Worker& worker, const RunId& run,
                                              const AssignedRun& assigned) const;
  void WithdrawMisplacedStarts(core::TimePoint now);
  void WithdrawUnsentStarts(Worker& worker, std::string_view reason, core::TimePoint now);
  void SendRecordedStarts(core::TimePoint now);
  void SendCheck(Worker& worker, core::TimePoint now);
  void StopUncountedRuns(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                         core::TimePoint now);
  void OnCheckFailed(Worker& worker, std::string_view reason, core::TimePoint now);
  void ResendStarts(Worker& worker, bool present, core::TimePoint now);
  void SendStart(Worker& worker, const RunId& run, AssignedRun& assigned, core::TimePoint now);
  void SendStop(Worker& worker, const RunId& run, AssignedRun& assigned, core::TimePoint now);
  void StopRun(Worker& worker, const RunId& run, std::string_view reason, core::TimePoint now);
  void StopGang(const RunId& run, std::string_view reason, core::TimePoint now);
  void WithdrawStart(Worker& worker, const RunId& run, std::string_view reason);
  void RemoveUnsentStart(Worker& worker, const RunId& run, core::TimePoint now);
  void SendLease(Worker& worker, core::TimePoint now);
  void IncrementFencingToken(Worker& worker);
  void OnStartConfirmed(const StartAction& action, const RunId& run, AssignedRun& assigned,
                        core::TimePoint now);
  void RetryStart(Worker& worker, const RunId& run, AssignedRun& assigned, bool checked,
                  core::TimePoint now);
  void AwaitRunList(Worker& worker, const RunId& run, AssignedRun& assigned, core::TimePoint now);

  void AdoptIncarnation(Worker& worker, site::Incarnation incarnation, bool was_draining,
                        core::TimePoint now);
  void NoteAddress(Worker& worker, core::TimePoint now);
  void RequestVerification(Worker& worker, core::TimePoint now);
  void VerifyWorkersAt(const config::Address& address, core::TimePoint now);
  void NoteVerified(Worker& worker, const config::Address& address);
  void NoteListedRuns(Worker& worker, const platform::LeaseResult& result, core::TimePoint now);
  [[nodiscard]] AddressHolder SuccessorOf(const Worker& worker, const config::Address& address,
                                          core::TimePoint now) const;
  void CorrectRestart(const config::Address& address, site::Incarnation restarted);
  void EndRunOfReplacedWorker(Worker& worker, const RunId& run, core::TimePoint now);
  void OnOtherIncarnation(Worker& worker, const config::Address& address, core::TimePoint now);
  void ExpireRuns(Worker& worker, const std::vector<RunId>& expired, core::TimePoint now);
  using IsCrashed = std::function<bool(const config::Address&, site::Incarnation)>;
  void CountCrashes(Worker& worker, const IsCrashed& is_crashed, site::Incarnation restarted,
                    core::TimePoint now);
  void LogCrash(const Worker& crashed, std::size_t jobs, core::TimePoint now) const;
  void CountCrash(const Worker& worker, const RunId& run, const ExpiredRun& crashed,
                  site::Incarnation restarted, core::TimePoint now);
  [[nodiscard]] ExplainedRestarts ExplainedCrashes(const Job& job, const Task& suspect,
                                                   const ledger::Crash& crash) const;
  void DecideCrashes(core::TimePoint now);
  void DecideCrash(const UndecidedCrash& undecided, const FleetStarts& starts, core::TimePoint now);
  void ClearProvenTask(const RunId& run, AssignedRun& assigned, core::TimePoint now);
  void GiveUpCrashingTask(Job& job, const ledger::TaskId& task, core::TimePoint now);
  [[nodiscard]] ledger::WallTime WallAt(core::TimePoint now) const noexcept;
  void ProcessResults(Worker& worker, const std::vector<platform::FinishedRun>& rows,
                      core::TimePoint now);
  void HoldResult(Worker& worker, const platform::FinishedRun& row, core::TimePoint now);
  [[nodiscard]] bool ProcessLateResult(Worker& worker, const platform::FinishedRun& row,
                                       RecordBatch& batch, core::TimePoint now);
  void ProcessRunningRuns(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                          core::TimePoint sent, core::TimePoint now);
  void StopOrphanedRun(Worker& worker, const RunId& run, core::TimePoint now);
  [[nodiscard]] ProgressVerdict UpdateRunProgress(const RunId& run, AssignedRun& assigned,
                                                  const platform::ActiveRun& row,
                                                  bool lacks_idle_cpus, core::TimePoint now);
  void MarkUnlistedRunsLost(Worker& worker, const std::set<RunId>& listed, core::TimePoint sent,
                            core::TimePoint now);
  void FinishRun(Worker& worker, const RunId& run, platform::RunResult end,
                 const std::string& checkpoint, RecordBatch& batch, core::TimePoint now);
  void RecordRunDone(const RunId& run, RecordBatch& batch, core::TimePoint now);
  void RecordRunFailed(const RunId& run, RecordBatch& batch, core::TimePoint now);
  void CountFailure(const RunId& run, const ledger::Step& spec);
  void RequeueTask(const RunId& run, platform::RunResult end, const std::string& checkpoint,
                   RecordBatch& batch, core::TimePoint now);
  void MarkRunLost(Worker& worker, const RunId& run, std::string_view reason, core::TimePoint now);
  void UpdateHealth(Worker& worker, bool success, core::TimePoint now);
  void SuspectWorker(Worker& worker, std::string_view reason, core::TimePoint now);
  void UpdateSlowState(Worker& worker, std::uint32_t slow, std::uint32_t normal,
                       core::TimePoint now);
  [[nodiscard]] KindIndex KindOf(const Job& job, std::uint32_t step, core::TimePoint now);
  void ObserveRuns(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                   core::TimePoint now);
  void UpdateKindsBeside(Worker& worker, core::TimePoint now);
  [[nodiscard]] bool PacesRuns() const noexcept;
  void PaceRuns(Worker& worker, const std::vector<platform::ActiveRun>& rows, core::TimePoint now);
  void SendPaces(Worker& worker, core::TimePoint now);
  void LogPlaced(const Worker& worker, const RunId& run, const Job& job, core::TimePoint now) const;
  void LogStarted(const StartAction& action, const RunId& run, const AssignedRun& assigned,
                  core::TimePoint now);
  void BeginProgressMeasurement(const RunId& run, AssignedRun& assigned, core::TimePoint now);
  [[nodiscard]] std::vector<AssignedRun*> FindGangMembers(const RunId& run);
  [[nodiscard]] core::Milliseconds PredictDuration(const RunId& run) const;
  [[nodiscard]] bool IsLongRunning(const RunId& run) const;
  [[nodiscard]] core::Milliseconds PredictRemainingTime(const RunId& run,
                                                        const AssignedRun& assigned,
                                                        core::TimePoint now);
  void MoveRun(Worker& worker, const RunId& run, std::string_view reason, core::TimePoint now);
  void MoveRunsOffDrainingWorker(Worker& worker, core::TimePoint now);
  void MoveSlowRuns(Worker& worker, const std::vector<RunId>& slow_runs, core::TimePoint now);
  void CheckCompletion(Job& job, std::uint32_t occurrence);

  void ScheduleUpdate(Worker& worker, core::TimePoint time);
  void UpdateDueWorkers(core::TimePoint now);
  void UpdateWorker(Worker& worker, core::TimePoint now, core::TimePoint& next);
  void RemoveGoneWorkers(core::TimePoint now);
  [[nodiscard]] bool IsStoreAnswering(core::TimePoint now) const noexcept;
  [[nodiscard]] core::Clock::duration PlanPace() const noexcept;
  [[nodiscard]] core::TimePoint EarliestPlan() const noexcept;
  void RunPlan(PlanTime time);
  void LogCapacityUse(core::TimePoint now);
  void LogQuotas() const;
  void FollowGuarantees(PlanTime time);
  void LogGuaranteeWaits(const std::vector<GuaranteeWait>& waits, PlanTime time) const;
  void LogWaitingSteps(core::TimePoint now);
  void LogStalledSteps();
  [[nodiscard]] Plan MakeFairPlan(PlanTime time,
                                  const std::vector<OrganisationUse>& organisation_use);
  void WithdrawStartsOverQuota(const Starts& starts, core::TimePoint now);
  [[nodiscard]] bool QuotaAllowsRetry(const AssignedRun& assigned) const;
  void ReplaceReservations(const std::vector<PlannedReservations>& planned);
  void CountPreemption(const ledger::TaskId& task, bool gang);
  void Preempt(const PlannedPreemption& preemption, core::TimePoint now);
  void RecordAgain(const ledger::TaskId& id, core::TimePoint now);
  void IssueBatch(RecordBatch batch, PendingBatch pending, core::TimePoint now);

  site::Bounds bounds_;
  std::uint64_t first_fence_token_{};
  site::Rules rules_;
  Organisations organisations_;
  JobTable job_table_;
  Fleet fleet_;
  /** Newest worker at each IP address and port, by the list; no proof of anything. */
  std::map<std::pair<std::string, std::uint16_t>, AddressHolder> holder_by_address_;
  DurationModel durations_;
  UrgentHeadroom urgent_headroom_;
  InterferenceTable interference_;
  Actions actions_;
  std::map<std::uint64_t, PendingBatch> pending_batches_;
  std::uint64_t next_batch_{1};
  std::uint64_t next_lease_call_{1};
  std::uint64_t next_check_{1};
  Starts recorded_starts_;  ///< Recorded, and not sent yet: their workers have to answer first.
  std::vector<UndecidedCrash> undecided_crashes_;
  core::TimePoint term_clock_origin_{};
  std::vector<std::pair<ledger::TaskId, ledger::TaskRecord>> stored_doubts_;  ///< Until Begin.
  core::TimePoint calm_since_{};          ///< The maximum while the fleet is not calm.
  PlanTime latest_run_;                   ///< Time of the latest call of Run.
  std::set<ledger::JobId> retired_jobs_;  ///< Final jobs that were removed from the job table.
  bool begun_{};
  std::set<UpdateOrder::Entry, UpdateOrder> due_updates_;  ///< All workers by next_update_.
  bool plan_due_{};
  core::TimePoint next_plan_{};    ///< When to plan again even without an event.
  core::TimePoint paced_until_{};  ///< End of the time that past plans take up at the highest rate.
  core::TimePoint next_cleanup_{};
  CapacityUse capacity_use_;
  std::vector<OrganisationUse> organisation_use_;  ///< As the latest plan found it, by index.
  Shares shares_;
  bool ordered_by_share_{};               ///< The latest plan lacked capacity.
  std::vector<ledger::JobId> uncounted_;  ///< Jobs that CountJobRates has not seen.
  std::vector<QuotaWait> quota_waits_;    ///< See Plan::quota_waits_.
  Guarantees guarantees_;                 ///< As the latest plan found them.
  GuaranteeWatch guarantee_watch_;
  std::vector<GuaranteeNews> guarantee_news_;  ///< See TakeGuaranteeNews.
  core::TimePoint next_capacity_log_{};
  std::int64_t waiting_unresolved_gpus_{};  ///< See WaitingForUnresolvedRuns.
  std::vector<ledger::TaskId> stalled_steps_;
  DispatchCounts counts_;
};

}  // namespace laburnumledge::dispatch
