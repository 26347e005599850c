#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/state/snapshot.hpp"
#include "policy_baseline.hpp"
#include "policy_workload.hpp"

namespace laburnumledge::measure {

using DecideFunction =
    std::function<std::vector<policy::Decision>(const state::State&, policy::Plan&, StateTime)>;

/** @brief What one run of one policy gave. Waits and completions are in minutes. */
struct Figures {
  std::array<std::vector<double>, kClasses> completion_;
  std::map<std::string, std::vector<double>> organisation_completion_;
  std::vector<double> all_completion_;
  std::vector<double> runtime_;
  std::vector<double> slowdown_;
  std::vector<double> large_wait_;
  std::vector<double> urgent_wait_;
  std::vector<double> entitled_wait_;  ///< Small jobs within their organisation's guarantee.
  std::vector<double> reclaim_;        ///< Seconds from preemption to the release of the cells.
  double stranded_{};                  ///< Time-weighted share of free accelerators.
  double stranded_weight_{};
  double block_loss_{};  ///< Largest free block of a rack against ideal packing.
  double block_weight_{};
  double absent_useful_{};
  double absent_possible_{};
  double lost_{};  ///< Accelerator-hours.
  double useful_{};
  std::size_t preempted_{};
  std::size_t rejected_{};
  std::size_t unfinished_{};
  std::size_t good_jobs_failed_{};
  double decide_us_{};
  std::size_t decides_{};
};

enum class EventKind : unsigned char {
  kSubmit,
  kCancel,
  kStart,
  kEnd,
  kRelease,
  kZoneOut,
  kZoneDark,
  kZoneIn,
  kBad,
  kGood,
  kTick
};

struct Event {
  StateTime at_;
  std::uint64_t order_{};
  EventKind kind_{};
  std::size_t index_{};  ///< Of the work, the outage or the bad worker.
  std::uint32_t attempt_{};

  bool operator>(const Event& other) const noexcept {
    return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_;
  }
};

inline constexpr auto kGrant = seconds(1);
inline constexpr auto kFailure = seconds(30);
inline constexpr auto kStop = seconds(10);
inline constexpr auto kDarkAfter = minutes(10);
inline constexpr auto kCheckpointEvery = minutes(10);
inline constexpr auto kTickEvery = seconds(30);
inline constexpr double kHourMs = 3600000;
inline constexpr std::size_t kLargeAccelerators = 24;

/** @brief One run in virtual time: leases are a table of attempts, records go through Apply. */
struct Run {
  const Workload& workload_;
  DecideFunction decide_;
  bool oracle_{};  ///< The bench ends broken jobs and marks bad workers, for the baselines.
  state::State state_;
  policy::Plan plan_;
  Figures figures_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, std::size_t> index_;
  std::vector<std::optional<StateTime>> first_start_;
  std::vector<bool> entitled_;
  std::vector<StateTime> stop_since_;
  std::set<std::string> bad_;
  std::set<std::string> dark_;
  std::uint64_t order_{};
  std::uint64_t records_{};
  StateTime now_;
  std::size_t open_{};
};

inline void Push(Run& run, StateTime at, EventKind kind, std::size_t index,
                 std::uint32_t attempt = 0) {
  run.events_.push({at, run.order_++, kind, index, attempt});
}

inline proto::Record Blank(Run& run) {
  proto::Record record;
  record.set_id(fmt::format("r{}", run.records_));
  record.set_format_major(state::kFormatMajor);
  record.set_term(run.state_.term_.number_);
  record.set_at_ms(static_cast<std::uint64_t>(core::ToMs(run.now_)));
  return record;
}

inline bool Commit(Run& run, const proto::Record& record) {
  const state::ApplyResult result = state::Apply(run.state_, record, run.records_++);
  policy::Observe(run.plan_, run.state_, result.change_);
  if (result.code_ != state::ApplyCode::kApplied) {
    ++run.figures_.rejected_;
    if (std::getenv("LABURNUMLEDGE_TRACE") != nullptr) {
      fmt::print("rejected {} {} {}\n", state::ToString(result.code_), result.reason_,
                 record.ShortDebugString());
    }
  }
  return result.code_ == state::ApplyCode::kApplied;
}

inline void CommitZones(Run& run, const std::string& text) {
  proto::Record record = Blank(run);
  auto& body = *record.mutable_adopt_configuration();
  body.set_version(run.state_.configuration_version_ + 1);
  body.set_text(text);
  for (const std::string& zone : run.dark_) {
    body.add_zones_out(zone);
  }
  Commit(run, record);
}

inline const state::Job& JobOf(const Run& run, std::size_t index) {
  return run.state_.jobs_.at(run.workload_.works_[index].spec_.id_);
}

inline double Accelerators(const state::JobSpec& spec) {
  return static_cast<double>(spec.tasks_) * spec.shape_.accelerators_;
}

}  // namespace laburnumledge::measure
