#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/progress_rate.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch {

/** @brief Kinds that are learned about at the same time, so that a set of them is one word. */
inline constexpr std::size_t kMaxKinds = 64;

/** @brief Position of a kind in the table. */
using KindIndex = std::uint8_t;

/** @brief Index of work of which nothing is learned: the table is full, or the mode is off. */
inline constexpr KindIndex kNoKind = kMaxKinds;

/** @brief Set of kinds: bit N stands for the kind of index N. */
using KindSet = std::uint64_t;

/** @brief The set of one kind; empty for kNoKind. */
[[nodiscard]] constexpr KindSet SetOf(KindIndex kind) noexcept {
  return kind < kMaxKinds ? KindSet{1} << kind : KindSet{};
}

/** @brief Measurements weighted by the inverse of their variances, decaying over time. */
struct WeightedMean {
  double weight_{};
  double sum_{};  ///< Of weighted logarithms of rates.
};

/** @brief Work that behaves alike: tasks of one step of a route with one image. */
struct Kind {
  std::string name_;           ///< `ROUTE/STEP/IMAGE`; empty: the entry is free.
  core::TimePoint seen_at_{};  ///< When a run of it was last listed or assigned.
  double samples_{};           ///< First measurements of its runs, up to a limit.
  double mean_{};              ///< Of the logarithm of first rates over predicted rates.
  double variance_{};          ///< Of the same logarithm, between runs.
  double change_variance_{};   ///< Of changes of the logarithm within a run.
  WeightedMean first_;         ///< Deviations of first measurements from mean_.
  core::TimePoint first_updated_{};
};

/** @brief What is known about the rate of one kind beside another. */
struct PairEvidence {
  WeightedMean first_;    ///< Deviations of first measurements made beside the other kind.
  WeightedMean changes_;  ///< Changes of rate when the other kind came, or left (negated).
  KindSet workers_{};     ///< Hashes of the workers that the measurements are from.
  core::TimePoint updated_at_{};
};

/** @brief Expected effect of one kind on the rate of another. */
struct Slowdown {
  double factor_{1.0};             ///< Time of a run beside the other kind over that without it.
  double confidence_{};            ///< Probability, 0 to 1, that there is any slowdown.
  double deviations_{};            ///< Effect in standard deviations of its estimate.
  core::TimePoint measured_at_{};  ///< Newest measurement; zero if there is none.
};

/**
 * @brief Kinds and the slowdown of each beside each other one. Of fixed size once it is in use.
 *
 * Not thread safe. `known_`, `costs_` and `known_pairs_` are as of the last RefreshKnownPairs.
 */
struct InterferenceTable {
  site::InterferenceMode mode_{site::InterferenceMode::kOff};
  std::vector<Kind> kinds_;          ///< Empty, or of size kMaxKinds.
  std::vector<PairEvidence> pairs_;  ///< By slowed kind times kMaxKinds plus other kind.
  std::vector<float> costs_;         ///< Sum of both logarithms of a known pair's slowdowns.
  std::array<KindSet, kMaxKinds> slowed_by_{};  ///< Kinds known to slow a kind.
  std::array<KindSet, kMaxKinds> known_{};      ///< Kinds that slow a kind or that it slows.
  std::size_t known_pairs_{};                   ///< Unordered pairs in `known_`.
  core::TimePoint next_refresh_{};
};

/** @brief How fast all runs of a worker are, compared with other runs of their kinds. */
struct RelativeSpeed {
  double sum_{};  ///< Decaying sum of deviations of first measurements.
  double weight_{};
};

/** @brief Measurement of one run's rate beside an unchanging set of kinds. */
struct RunExposure {
  KindIndex kind_{kNoKind};
  bool first_done_{};  ///< Its first rate has been compared with that of its kind.
  bool has_rate_{};    ///< `log_rate_` and `beside_` are set.
  double from_percent_{};
  double log_rate_{};               ///< Of the newest complete measurement.
  KindSet log_rate_beside_{};       ///< Kinds beside the run in that measurement.
  KindSet beside_{};                ///< Kinds beside the run now.
  core::TimePoint beside_since_{};  ///< Measurements that begin earlier saw other kinds.
  core::TimePoint from_{};          ///< When the measurement in progress began; zero before.
};

/** @brief Reported progress of a run. */
struct ProgressReport {
  std::string_view worker_;         ///< Identifier of its worker.
  double percent_{};                ///< 0 to 100.
  core::Milliseconds predicted_{};  ///< Duration of the whole run; used for its first measurement.
  std::uint32_t tasks_in_step_{1};  ///< Tasks that share whatever makes their job long or short.
  core::TimePoint at_{};
};

/** @brief Name of the kind of a job's step. */
[[nodiscard]] std::string KindName(const ledger::Submission& submission, std::uint32_t step);

/** @brief Index of a kind; adds it in a free entry or in that of a kind not seen for long.
 * @return kNoKind if the mode is off or the table is full. */
[[nodiscard]] KindIndex FindOrAddKind(InterferenceTable& table, const std::string& name,
                                      core::TimePoint now);

/** @brief Index of a known kind, or kNoKind. */
[[nodiscard]] KindIndex FindKind(const InterferenceTable& table, std::string_view name) noexcept;

/** @brief Sets the beginning of a run's first measurement from its progress rate, before that is
 * updated. A run that restores a checkpoint is measured once it has made progress. */
void BeginExposure(RunExposure& exposure, const ProgressRate& rate) noexcept;

/** @brief Sets the kinds beside a run, as of a time. */
void SetBeside(RunExposure& exposure, KindSet beside, core::TimePoint since) noexcept;

/** @brief Drops the measurement in progress and the last rate: the worker as a whole is slow. */
void DiscardExposure(RunExposure& exposure) noexcept;

/**
 * @brief Learns from one reported progress. Constant time in the number of runs and workers.
 * @param table Table of kinds and pairs.
 * @param speed Speed of the run's worker.
 * @param exposure Measurement of the run; BeginExposure must have been called.
 * @param report Progress of the run.
 */
void ObserveProgress(InterferenceTable& table, RelativeSpeed& speed, RunExposure& exposure,
                     const ProgressReport& report);

/** @brief Expected slowdown of a kind beside another one, by what was measured until now. */
[[nodiscard]] Slowdown ExpectedSlowdown(const InterferenceTable& table, KindIndex slowed,
                                        KindIndex beside, core::TimePoint now) noexcept;

/** @brief Brings the known pairs up to date, if that is due. */
void RefreshKnownPairs(InterferenceTable& table, core::TimePoint now) noexcept;

/** @brief Cost of placing a kind on a worker with other kinds; 0 if no pair among them is known. */
[[nodiscard]] double InterferenceCost(const InterferenceTable& table, KindIndex kind,
                                      KindSet present) noexcept;

/** @brief Known kind among those present that slows a kind most, or kNoKind. */
[[nodiscard]] KindIndex WorstNeighbour(const InterferenceTable& table, KindIndex kind,
                                       KindSet present, core::TimePoint now) noexcept;

}  // namespace laburnumledge::dispatch
