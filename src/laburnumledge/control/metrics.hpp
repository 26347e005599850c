#pragma once

#include <prometheus/registry.h>

#include <chrono>
#include <memory>
#include <string>

#include "laburnumledge/control/guarantee_metrics.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/entry/job_calls.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/platform/workers.hpp"
#include "laburnumledge/site/configuration.hpp"

namespace laburnumledge::control {

/** @brief Label value for organisations that are not in the configuration. */
inline constexpr const char* kOtherOrganisation = "other";

/**
 * @brief Metrics of one node on the platform.
 *
 * The number of label values is bounded: configured organisations, outcomes, streams and zones. Not
 * thread safe: every call must come from the loop's thread.
 */
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  /** @brief Wraps a store so that its calls are counted and its appends timed. `store` and this
   * object must outlive the result. */
  [[nodiscard]] platform::Store Instrument(const platform::Store& store);

  /** @brief Wraps the workers so that calls to them are counted. `workers` and this object must
   * outlive the result. */
  [[nodiscard]] platform::Workers Instrument(const platform::Workers& workers);

  /** @brief Records the time from a job's acceptance to its new state, for running and final
   * states. */
  void RecordJobState(const ledger::Submission& submission, ledger::JobState state,
                      ledger::WallTime now, const site::Rules& rules);

  /** @brief Updates the counters of clients' calls. */
  void Update(const entry::EntryCounts& counts);

  /** @brief Updates the counter of calls that the HTTP client sent more than once. */
  void Update(const http::Client& client);

  /** @brief Updates the metrics of jobs, runs and workers from the leader's dispatcher. */
  void Update(const dispatch::Dispatcher& dispatcher);

  /** @brief Counts the guarantees that were kept or missed since the last call. */
  void CountGuarantees(const std::vector<dispatch::GuaranteeNews>& news,
                       const dispatch::Organisations& organisations) {
    guarantees_.Count(news, organisations);
  }

  /** @brief Updates the counter of entries that name no worker to use, from the leader's total. */
  void UpdateIgnoredEntries(std::uint64_t total);

  /** @brief Updates the metrics of the term, and the counter of dropped log lines. */
  void UpdateTerm(std::uint64_t number, bool holds);

  /** @brief All metrics in the text format of Prometheus. */
  [[nodiscard]] std::string Text();

 private:
  void UpdateOrganisations(const dispatch::Dispatcher& dispatcher);

  struct Families;
  prometheus::Registry registry_;
  std::unique_ptr<Families> families_;
  GuaranteeMetrics guarantees_{registry_};
};

}  // namespace laburnumledge::control
