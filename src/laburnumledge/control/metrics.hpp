#pragma once

#include <prometheus/registry.h>

#include <chrono>
#include <memory>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/entry/job_calls.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/platform/workers.hpp"
#include "laburnumledge/site/configuration.hpp"

namespace laburnumledge::control {

/** @brief Label value of an organisation that the configuration does not know. */
inline constexpr const char* kOtherOrganisation = "other";

/**
 * @brief Metrics of one node on the platform.
 *
 * Values of labels are bounded: organisations of the configuration, outcomes, streams, zones. Not
 * thread safe: every call comes from the loop's thread.
 */
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  /** @brief The store, with its calls counted and timed. `store` and this must outlive it. */
  [[nodiscard]] platform::Store Instrument(const platform::Store& store);

  /** @brief The workers, with orders to them counted. `workers` and this must outlive it. */
  [[nodiscard]] platform::Workers Instrument(const platform::Workers& workers);

  /** @brief Notes a job's new state, by its time since it was accepted. */
  void RecordJobState(const ledger::Submission& submission, ledger::JobState state,
                      ledger::WallTime now, const site::Rules& rules);

  /** @brief Brings the counters of callers' calls up to date. */
  void Update(const entry::EntryCounts& counts);

  /** @brief Brings gauges of what is decided up to date. */
  void Update(const dispatch::Dispatcher& dispatcher);

  /** @brief Brings the gauges of the term up to date. */
  void UpdateTerm(std::uint64_t number, bool holds);

  /** @brief All metrics as text. */
  [[nodiscard]] std::string Text();

 private:
  struct Families;
  prometheus::Registry registry_;
  std::unique_ptr<Families> families_;
};

}  // namespace laburnumledge::control
