#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/actions.hpp"
#include "laburnumledge/dispatch/durations.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/dispatch/placement.hpp"
#include "laburnumledge/dispatch/urgent_headroom.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/platform/workers.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch {

/** @brief Figures of a dispatcher for metrics and log lines. */
struct DispatchCounts {
  std::uint64_t starts_{};
  std::uint64_t starts_refused_{};
  std::uint64_t preemptions_{};
  std::uint64_t runs_done_{};
  std::uint64_t runs_failed_{};
  std::uint64_t runs_lost_{};
};

/**
 * @brief Decides for one term which tasks run where, and keeps the books of workers.
 *
 * Does no I/O and reads no clock: events and times come in, actions go out. A dispatcher lives for
 * one term; the next holder of the term builds another from the records.
 *
 * Order of calls: SetRules, OnJob and LoadTask for all that is on record, OnWorker for the
 * platform's list, then Begin, then events in the order of their arrival. Run follows each event.
 * Not thread safe.
 */
class Dispatcher {
 public:
  /**
   * @param bounds Bounds of the platform.
   * @param term Number of the term; the fences of all orders derive from it.
   */
  Dispatcher(const site::Bounds& bounds, std::uint64_t term);

  /** @brief Takes over a configuration or a change of the zones that are out. */
  void SetRules(const site::Rules& rules);

  /**
   * @brief Takes over a job's entry, new or changed.
   * @param id The job.
   * @param entry Its entry; null if the job is no longer on record.
   * @param now Time of the event.
   */
  void OnJob(const ledger::JobId& id, const ledger::JobEntry* entry, core::TimePoint now);

  /** @brief Takes over a record of a task that an earlier term has left. Before Begin only. */
  void LoadTask(const ledger::TaskId& id, const ledger::TaskRecord& record);

  /**
   * @brief Starts to decide.
   * @param now Time of the event.
   * @param earlier_leases_end When every lease that earlier terms have granted has passed.
   */
  void Begin(core::TimePoint now, core::TimePoint earlier_leases_end);

  /** @brief Takes over an entry of the platform's list. */
  void OnWorker(const site::WorkerEntry& entry, core::TimePoint now);

  /** @brief Notes that a worker has gone from the platform's list. */
  void OnWorkerGone(const std::string& id, core::TimePoint now);

  /** @brief Notes that a batch of records is stored. */
  void OnRecorded(std::uint64_t batch, core::TimePoint now);

  /** @brief Notes that a job's state is stored. */
  void OnStatusRecorded(const ledger::JobId& job, ledger::JobState state);

  /** @brief Takes over the answer to a start. */
  void OnStarted(const StartAction& action, const platform::CommandResult& result,
                 core::TimePoint now);

  /** @brief Takes over the answer to a stop. */
  void OnStopped(const StopAction& action, const platform::CommandResult& result,
                 core::TimePoint now);

  /** @brief Takes over the answer to a lease call. */
  void OnLease(const LeaseAction& action, const platform::LeaseResult& result, core::TimePoint now);

  /**
   * @brief Plans, and issues what is due.
   * @return When to call again at the latest.
   */
  [[nodiscard]] core::TimePoint Run(PlanTime time);

  /** @brief Hands over what is to be done since the last call. */
  [[nodiscard]] Actions TakeActions();

  [[nodiscard]] const DispatchCounts& Counts() const noexcept { return counts_; }
  [[nodiscard]] const JobTable& Jobs() const noexcept { return board_; }
  [[nodiscard]] const Fleet& Workers() const noexcept { return fleet_; }

 private:
  /** What happens once a batch of records is stored. */
  struct AfterRecord {
    std::vector<std::pair<std::string, RunId>> starts_;
    struct Seen {
      std::string worker_;
      site::Incarnation incarnation_{};
      std::uint64_t end_{};
    };
    std::vector<Seen> seen_;
  };

  Worker& WorkerOf(const std::string& id);
  void StopJob(Job& job, ledger::JobState state, core::TimePoint now);
  void SetState(Job& job, ledger::JobState state);
  void Retire(const ledger::JobId& id);
  void RetireFinished(core::TimePoint now);

  void StartUnit(const PlannedGroup& unit, RecordBatch& batch, AfterRecord& after,
                 core::TimePoint now);
  void SendStart(Worker& worker, const RunId& run, Occupant& occupant, core::TimePoint now);
  void SendStop(Worker& worker, const RunId& run, Occupant& occupant, core::TimePoint now);
  void StopRun(Worker& worker, const RunId& run, core::TimePoint now);
  void StopGang(const RunId& run, core::TimePoint now);
  void SendLease(Worker& worker, core::TimePoint now);
  void RaiseFence(Worker& worker);
  void OnStartConfirmed(const StartAction& action, const RunId& run, Occupant& occupant,
                        core::TimePoint now);
  void RepeatStart(Worker& worker, const RunId& run, Occupant& occupant, core::TimePoint now);
  void AwaitLists(Worker& worker, const RunId& run, Occupant& occupant, core::TimePoint now);

  void AdoptIncarnation(Worker& worker, site::Incarnation incarnation);
  void TakeEnds(Worker& worker, const std::vector<platform::FinishedRun>& rows,
                core::TimePoint now);
  [[nodiscard]] bool TakeLateEnd(Worker& worker, const platform::FinishedRun& row,
                                 RecordBatch& batch, core::TimePoint now);
  void TakeRunning(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                   core::TimePoint sent, core::TimePoint now);
  void TakeStray(Worker& worker, const RunId& run, core::TimePoint now);
  [[nodiscard]] ProgressVerdict TakeRow(const RunId& run, Occupant& occupant,
                                        const platform::ActiveRun& row, core::TimePoint now);
  void LoseUnlisted(Worker& worker, const std::set<RunId>& listed, core::TimePoint sent,
                    core::TimePoint now);
  void EndRun(Worker& worker, const RunId& run, platform::RunResult end,
              const std::string& checkpoint, RecordBatch& batch, core::TimePoint now);
  void RunDone(const RunId& run, RecordBatch& batch, core::TimePoint now);
  void RunFailed(const RunId& run, RecordBatch& batch, core::TimePoint now);
  void RunOver(const RunId& run, platform::RunResult end, const std::string& checkpoint,
               RecordBatch& batch, core::TimePoint now);
  void LoseRun(Worker& worker, const RunId& run, std::string_view why, core::TimePoint now);
  void NoteHealth(Worker& worker, bool success, core::TimePoint now);
  void Suspect(Worker& worker, std::string_view why, core::TimePoint now);
  void NotePace(Worker& worker, std::uint32_t slow, std::uint32_t normal, core::TimePoint now);
  void BeginPaceOf(const RunId& run, Occupant& occupant, core::TimePoint now);
  [[nodiscard]] std::vector<Occupant*> MembersOf(const RunId& run);
  [[nodiscard]] core::Milliseconds PredictRun(const RunId& run) const;
  [[nodiscard]] bool LastsForEver(const RunId& run) const;
  [[nodiscard]] core::Milliseconds RemainingTimeOf(const RunId& run, const Occupant& occupant,
                                                   core::TimePoint now);
  void MoveRun(Worker& worker, const RunId& run, std::string_view why, core::TimePoint now);
  void VacateLeaving(Worker& worker, core::TimePoint now);
  void MoveStalled(Worker& worker, const std::vector<RunId>& stalled, core::TimePoint now);
  void CheckCompletion(Job& job, std::uint32_t occurrence);

  void RunWorker(Worker& worker, core::TimePoint now, core::TimePoint& next);
  void RunPlan(PlanTime time);
  void Issue(RecordBatch batch, AfterRecord after, core::TimePoint now);

  site::Bounds bounds_;
  std::uint64_t first_fence_{};
  site::Rules rules_;
  JobTable board_;
  Fleet fleet_;
  DurationModel durations_;
  UrgentHeadroom reserve_;
  Actions actions_;
  std::map<std::uint64_t, AfterRecord> after_record_;
  std::uint64_t next_batch_{1};
  std::uint64_t next_lease_call_{1};
  std::set<ledger::JobId> retired_;  ///< Jobs that are final and not looked after any more.
  bool begun_{};
  bool plan_due_{};
  core::TimePoint next_plan_{};  ///< When to plan again although nothing has happened.
  DispatchCounts counts_;
};

}  // namespace laburnumledge::dispatch
