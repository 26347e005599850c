// Measures what a dispatcher of 20 workers takes for a job with very many tasks that ask for
// nothing, and how the tasks spread:
//   measure_large_job [--tasks 4096] [--occurrences 8]

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cxxopts.hpp>
#include <memory>
#include <utility>

#include "laburnumledge/dispatch/crash_harness.hpp"

namespace laburnumledge::measure {

namespace {

using namespace fixture;  // NOLINT

constexpr int kWorkers = 20;
constexpr int kRounds = 10;

template <typename Function>
double MeasureMs(const Function& function) {
  const auto begin = std::chrono::steady_clock::now();
  function();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin)
      .count();
}

void MeasureJob(std::uint32_t tasks, std::uint32_t occurrences) {
  CrashHarness harness(kWorkers);
  harness.Advance(core::Milliseconds(500));
  ledger::Submission submission = *MakeSubmission({{.count_ = tasks}});
  submission.schedule_ = ledger::Schedule{.occurrences_ = occurrences, .first_ = kWall};
  const ledger::JobEntry entry{
      .submission_ = std::make_shared<const ledger::Submission>(std::move(submission))};
  harness.dispatcher_.OnJob(JobId(1), &entry, harness.now_);
  double longest_run = 0.0;
  double longest_answer = 0.0;
  for (int round = 0; round < kRounds; ++round) {
    harness.now_ += core::Milliseconds(50);
    longest_run = std::max(longest_run, MeasureMs([&harness] {
                             (void)harness.dispatcher_.Run({.now_ = harness.now_, .wall_ = kWall});
                           }));
    const Actions actions = harness.dispatcher_.TakeActions();
    longest_answer =
        std::max(longest_answer, MeasureMs([&harness, &actions] { harness.Answer(actions); }));
  }
  std::size_t most = 0;
  for (const auto& [id, starts] : harness.running_) {
    most = std::max(most, starts.size());
  }
  fmt::print(
      "{} tasks, {} occurrences: longest run {:.0f} ms, longest answers {:.0f} ms; {} tasks "
      "on the fullest worker\n",
      tasks, occurrences, longest_run, longest_answer, most);
}

}  // namespace

}  // namespace laburnumledge::measure

int main(int argc, char** argv) {
  cxxopts::Options options("measure_large_job", "Cost of a job with very many tasks.");
  options.add_options()("tasks", "tasks of its step",
                        cxxopts::value<std::uint32_t>()->default_value("4096"))(
      "occurrences", "times of the job, all due",
      cxxopts::value<std::uint32_t>()->default_value("1"));
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  laburnumledge::measure::MeasureJob(arguments["tasks"].as<std::uint32_t>(),
                                     arguments["occurrences"].as<std::uint32_t>());
  return EXIT_SUCCESS;
}
