#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/log.hpp"
#include "world.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kFirstSeed = 20261204;
constexpr int kRuns = 60;
constexpr int kSeconds = 30;

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

void PlayAll(const Trouble& trouble) {
  // LABURNUMLEDGE_LEVEL=info shows what the dispatchers decided.
  const char* level = std::getenv("LABURNUMLEDGE_LEVEL");
  core::SetLevel(
      core::ParseLevel(level == nullptr ? "error" : level).value_or(core::Level::kError));
  const std::uint64_t first = FromEnvironment("LABURNUMLEDGE_SEED", kFirstSeed);
  const std::uint64_t runs = FromEnvironment("LABURNUMLEDGE_RUNS", kRuns);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    World world(seed, trouble);
    world.Play(kSeconds);
    core::FlushEvents();
    const std::string broken = world.Broken().empty() ? "" : world.Broken().front();
    CAPTURE(seed);
    CHECK(broken == "");
    CHECK(world.AllOver());
  }
}

}  // namespace

TEST_CASE("jobs end and no rule is broken on calm days") { PlayAll({}); }

TEST_CASE("late orders and lost answers") {
  PlayAll({.lost_answer_ = 60, .late_order_ = 60, .failing_run_ = 50});
}

TEST_CASE("workers crash, come back and are cut off") {
  PlayAll({.lost_answer_ = 20, .failing_run_ = 50, .worker_crash_ = 30, .worker_cut_ = 40});
}

TEST_CASE("the holder dies again and again") {
  PlayAll({.lost_answer_ = 20, .failing_run_ = 50, .holder_crash_ = 200, .store_outage_ = 50});
}

TEST_CASE("a holder goes on without the store while another has taken over") {
  PlayAll({.lost_answer_ = 20, .worker_cut_ = 60, .holder_pause_ = 150});
}

TEST_CASE("everything at once") {
  PlayAll({.lost_answer_ = 40,
           .late_order_ = 40,
           .failing_run_ = 60,
           .worker_crash_ = 20,
           .worker_cut_ = 40,
           .holder_crash_ = 60,
           .holder_pause_ = 60,
           .store_outage_ = 60,
           .cancel_ = 5});
}

}  // namespace laburnumledge::randomised
