#include "laburnumledge/policy/estimate.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::policy {

TEST_CASE("declared runtimes count until they prove to be wrong") {
  Estimates estimates;
  state::JobSpec spec;
  spec.organisation_ = "a";
  spec.kind_ = "render";
  spec.declared_runtime_ = std::chrono::minutes(100);
  CHECK(ExpectedRuntime(estimates, spec) == std::chrono::minutes(100));
  for (int i = 0; i < 50; ++i) {
    spec.declared_runtime_ = i % 2 == 0 ? std::chrono::minutes(100) : std::chrono::minutes(1);
    Learn(estimates, spec, std::chrono::minutes(10));
  }
  spec.declared_runtime_ = std::chrono::minutes(100);
  CHECK(ExpectedRuntime(estimates, spec) < std::chrono::minutes(20));
  CHECK(ExpectedRuntime(estimates, spec) > std::chrono::minutes(5));
}

TEST_CASE("work that runs past its estimate is expected to go on") {
  state::JobSpec spec;
  spec.declared_runtime_ = std::chrono::minutes(1);
  CHECK(ExpectedRemaining({}, spec, std::chrono::minutes(10)) == std::chrono::minutes(5));
}

}  // namespace laburnumledge::policy
