#include <doctest/doctest.h>
#include <fmt/core.h>

#include <array>
#include <cstdlib>
#include <string>

#include "cluster.hpp"
#include "laburnumledge/core/log.hpp"

namespace laburnumledge::cluster {

namespace {

constexpr std::uint64_t kFixedRuns = 200;

/** Seeds that have failed beyond the fixed ones, with the cause. */
constexpr std::array<std::uint64_t, 1> kSeedsOnceFailed = {
    730435,  // Half of a guaranteed cell came free on a worker that had left the inventory.
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoull(text);
}

std::string Texts(const History& history) {
  std::string texts;
  for (const Violation& violation : history.violations_) {
    texts += fmt::format("{}: {}\n", static_cast<int>(violation.check_), violation.text_);
  }
  return texts;
}

}  // namespace

TEST_CASE("several nodes keep every invariant under faults") {
  core::SetLevel(core::Level::kError);
  const std::uint64_t first = FromEnvironment("LABURNUMLEDGE_SEED", 1);
  const std::uint64_t runs = FromEnvironment("LABURNUMLEDGE_RUNS", kFixedRuns);
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const History history = RunOnce(seed, Defect::kNone);
    INFO("LABURNUMLEDGE_SEED=", seed);
    INFO(Texts(history));
    CHECK(history.violations_.empty());
    failed += history.violations_.empty() ? 0 : 1;
  }
  MESSAGE("seeds ", first, " to ", first + runs - 1, ": ", failed, " failed");
}

TEST_CASE("several nodes keep every invariant under seeds that once failed") {
  core::SetLevel(core::Level::kError);
  for (const std::uint64_t seed : kSeedsOnceFailed) {
    const History history = RunOnce(seed, Defect::kNone);
    INFO("LABURNUMLEDGE_SEED=", seed);
    INFO(Texts(history));
    CHECK(history.violations_.empty());
  }
}

}  // namespace laburnumledge::cluster
