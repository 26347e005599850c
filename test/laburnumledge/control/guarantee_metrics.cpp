#include "laburnumledge/control/guarantee_metrics.hpp"

#include <doctest/doctest.h>
#include <prometheus/text_serializer.h>

#include <string>

namespace laburnumledge::control {

TEST_CASE("kept and missed guarantees are counted by organisation") {
  prometheus::Registry registry;
  GuaranteeMetrics metrics(registry);
  dispatch::Organisations organisations;
  const auto crew = FindOrAddOrganisation(organisations, "crew");
  organisations.all_[crew].guaranteed_gpus_ = 16;
  metrics.Count({{.organisation_ = crew, .waited_ = core::Milliseconds(3401)},
                 {.organisation_ = crew, .waited_ = core::Milliseconds(4000), .begun_ = true}},
                organisations);
  const dispatch::Guarantees guarantees{
      .claims_ = {{.organisation_ = crew, .task_gpus_ = 4, .waiting_ = 2, .within_ = true}},
      .held_gpus_ = {0, 8}};
  metrics.Update(guarantees, organisations);
  const std::string text = prometheus::TextSerializer().Serialize(registry.Collect());
  for (const char* line :
       {"laburnumledge_guarantees_missed_total{organisation=\"crew\"} 1\n",
        "laburnumledge_guarantee_wait_seconds_sum{organisation=\"crew\"} 4\n",
        "laburnumledge_guarantee_gpus{kind=\"held\",organisation=\"crew\"} 8\n",
        "laburnumledge_guarantee_gpus{kind=\"waiting_within\",organisation=\"crew\"} 8\n"}) {
    CAPTURE(text);
    CHECK(text.find(line) != std::string::npos);
  }
}

}  // namespace laburnumledge::control
