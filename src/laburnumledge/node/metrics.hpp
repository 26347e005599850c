#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"

namespace laburnumledge::node {

/** @brief Metrics of one node, by organisation and class. */
class Metrics {
 public:
  Metrics();

  /** @brief Notes a request that was answered. */
  void ObserveRequest(const std::string& organisation, const std::string& request_class,
                      core::Verdict verdict, core::Clock::duration taken);

  /** @brief Notes a job that ended, with its time from submission to end. */
  void ObserveJob(const std::string& organisation, const std::string& outcome,
                  core::Milliseconds completion);

  /** @brief Sets a gauge, such as `configuration_version`. */
  void Set(const std::string& name, double value);

  /** @brief Every metric in the text format of Prometheus. */
  [[nodiscard]] std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& job_seconds_;
};

}  // namespace laburnumledge::node
