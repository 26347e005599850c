#include "laburnumledge/control/guarantee_metrics.hpp"

#include <chrono>
#include <cstdint>

namespace laburnumledge::control {

namespace {

/** Seconds; bounds of guaranteed starts are a few seconds. */
const prometheus::Histogram::BucketBoundaries kWaitBuckets = {0.05, 0.1, 0.25, 0.5, 1,  1.5, 2,
                                                              2.5,  3,   3.5,  5,   10, 30};

}  // namespace

GuaranteeMetrics::GuaranteeMetrics(prometheus::Registry& registry)
    : waits_(prometheus::BuildHistogram()
                 .Name("laburnumledge_guarantee_wait_seconds")
                 .Help("Time from when urgent work within its organisation's guarantee was due "
                       "until all its tasks had begun.")
                 .Register(registry)),
      missed_(prometheus::BuildCounter()
                  .Name("laburnumledge_guarantees_missed_total")
                  .Help("Urgent work within its organisation's guarantee that had not begun within "
                        "the platform's bound.")
                  .Register(registry)),
      gpus_(prometheus::BuildGauge()
                .Name("laburnumledge_guarantee_gpus")
                .Help("GPUs of organisations with a guarantee, as the latest plan found them: "
                      "guaranteed, held by urgent work, and waited for by urgent work within and "
                      "beyond the guarantee.")
                .Register(registry)) {}

void GuaranteeMetrics::Count(const std::vector<dispatch::GuaranteeNews>& news,
                             const dispatch::Organisations& organisations) {
  for (const dispatch::GuaranteeNews& one : news) {
    const std::string& organisation = organisations.all_[one.organisation_].name_;
    if (one.begun_) {
      waits_.Add({{"organisation", organisation}}, kWaitBuckets)
          .Observe(std::chrono::duration<double>(one.waited_).count());
    } else {
      missed_.Add({{"organisation", organisation}}).Increment();
    }
  }
}

void GuaranteeMetrics::Update(const dispatch::Guarantees& guarantees,
                              const dispatch::Organisations& organisations) {
  std::vector<std::int64_t> within(organisations.all_.size());
  std::vector<std::int64_t> beyond(organisations.all_.size());
  for (const dispatch::GuaranteeClaim& claim : guarantees.claims_) {
    (claim.within_ ? within : beyond)[claim.organisation_] += claim.task_gpus_ * claim.waiting_;
  }
  for (std::size_t index = 0; index < guarantees.held_gpus_.size(); ++index) {
    const dispatch::OrganisationLimits& limits = organisations.all_[index];
    if (limits.guaranteed_gpus_ == 0) {
      continue;
    }
    const auto set = [&](const char* kind, std::int64_t gpus) {
      gpus_.Add({{"organisation", limits.name_}, {"kind", kind}}).Set(static_cast<double>(gpus));
    };
    set("guaranteed", limits.guaranteed_gpus_);
    set("held", guarantees.held_gpus_[index]);
    set("waiting_within", within[index]);
    set("waiting_beyond", beyond[index]);
  }
}

}  // namespace laburnumledge::control
