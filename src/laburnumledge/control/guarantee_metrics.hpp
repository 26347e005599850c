#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <vector>

#include "laburnumledge/dispatch/guarantee.hpp"
#include "laburnumledge/dispatch/organisations.hpp"

namespace laburnumledge::control {

/**
 * @brief Metrics of the GPUs that organisations are guaranteed for their urgent jobs.
 *
 * The number of label values is bounded by the organisations that configurations have had. Not
 * thread safe.
 */
class GuaranteeMetrics {
 public:
  /** @brief Registers the metrics; `registry` must outlive this object. */
  explicit GuaranteeMetrics(prometheus::Registry& registry);

  /** @brief Counts waits that have ended and bounds that were missed. */
  void Count(const std::vector<dispatch::GuaranteeNews>& news,
             const dispatch::Organisations& organisations);

  /** @brief Sets what each organisation with a guarantee holds and waits for. */
  void Update(const dispatch::Guarantees& guarantees, const dispatch::Organisations& organisations);

 private:
  prometheus::Family<prometheus::Histogram>& waits_;
  prometheus::Family<prometheus::Counter>& missed_;
  prometheus::Family<prometheus::Gauge>& gpus_;
};

}  // namespace laburnumledge::control
