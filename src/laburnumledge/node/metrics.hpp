#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"
#include "laburnumledge/platform/log.hpp"
#include "laburnumledge/state/job.hpp"

namespace laburnumledge::node {

/** @brief Label value of every organisation and class that the configuration does not know. */
inline constexpr const char* kOtherLabel = "other";

/**
 * @brief Metrics of one node, by organisation and class.
 *
 * Handles are kept, so that an observation looks nothing up in the registry. Organisations and
 * classes that are not in the configuration share one label value. Not thread safe: every call
 * comes from the loop's thread.
 */
class Metrics {
 public:
  Metrics();

  /** @brief Takes over which organisations and classes have label values of their own. */
  void SetKnown(const config::Configuration& configuration);

  /** @brief Notes a request that was answered, with its time from arrival to answer. */
  void ObserveRequest(const std::string& organisation, const std::string& request_class,
                      core::Verdict verdict, core::Clock::duration taken);

  /** @brief Notes how long a request waited before an attempt was sent. */
  void ObserveQueue(const std::string& organisation, const std::string& request_class,
                    core::Clock::duration taken);

  /** @brief Notes how long an attempt at an instance took. */
  void ObserveUpstream(const std::string& organisation, const std::string& request_class,
                       core::Clock::duration taken);

  /** @brief Counts an attempt that is sent again. */
  void CountRetry(const std::string& organisation, const std::string& request_class);

  /** @brief Notes a job that ended: its wait, run and completion time. */
  void ObserveJob(const state::Job& job);

  /** @brief Brings the counter of records of one code up to a count. */
  void CountRecords(const std::string& code, std::uint64_t count);

  /** @brief Counts a read or an append of the log, with its bytes. */
  void CountLog(const std::string& action, bool answered, std::size_t bytes);

  /** @brief Sets a gauge, such as `configuration_version`. */
  void Set(const std::string& name, double value);

  /** @brief Every metric in the text format of Prometheus. */
  [[nodiscard]] std::string Text() const;

 private:
  struct RequestSeries;
  struct JobSeries;

  RequestSeries& Requests(const std::string& organisation, const std::string& request_class);
  JobSeries& Jobs(const std::string& organisation, bool urgent);
  void DropUnknown();

  struct Families;
  std::shared_ptr<prometheus::Registry> registry_;
  std::shared_ptr<Families> families_;
  std::unordered_set<std::string> organisations_;
  std::unordered_set<std::string> classes_;
  std::unordered_map<std::string, std::shared_ptr<RequestSeries>> requests_;
  std::unordered_map<std::string, std::shared_ptr<JobSeries>> jobs_;
  std::unordered_map<std::string, prometheus::Counter*> counters_;
  std::unordered_map<std::string, prometheus::Gauge*> gauges_;
};

/**
 * @brief Counts reads and appends of a log.
 * @param log The log.
 * @param metrics Must outlive what is returned.
 */
[[nodiscard]] platform::Log CountingLog(platform::Log log, Metrics& metrics);

}  // namespace laburnumledge::node
