#include "laburnumledge/config/configuration.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "laburnumledge/caller/admission.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/operators/guarantee_check.hpp"

namespace laburnumledge {

namespace {

constexpr int kRounds = 5;
constexpr int kRackSize = 8;
constexpr int kZones = 11;
constexpr int kOrganisations = 91;

std::string MakeText(int workers, const char* memory_mb) {
  std::string text = R"({"inventory":{"zones":[)";
  for (int i = 0; i < kZones; ++i) {
    text += fmt::format(R"({}{{"name":"z-{}","region":"r"}})", i == 0 ? "" : ",", i);
  }
  text += R"(],"racks":[)";
  for (int i = 0; i * kRackSize < workers; ++i) {
    text +=
        fmt::format(R"({}{{"name":"rack-{}","zone":"z-{}"}})", i == 0 ? "" : ",", i, i % kZones);
  }
  text += R"(],"workers":[)";
  for (int i = 0; i < workers; ++i) {
    text += fmt::format(
        R"({}{{"name":"worker-{}","rack":"rack-{}","address":"10.{}.{}.{}:9100","accelerators":8,"cores":64,"memory_mb":{}}})",
        i == 0 ? "" : ",\n", i, i / kRackSize, i / 65536, i / 256 % 256, i % 256, memory_mb);
  }
  text += R"(],"instances":[]},"rules":{"services":[],"organisations":[)";
  for (int i = 0; i < kOrganisations; ++i) {
    text += fmt::format(R"({}{{"name":"team-{}","guarantees":[{{"cell":"worker","count":{}}}]}})",
                        i == 0 ? "" : ",", i, std::max(1, workers / kOrganisations / 4));
  }
  return text + "]}}";
}

template <typename Function>
double BestMs(Function function) {
  double best = 1e9;
  for (int round = 0; round < kRounds; ++round) {
    const core::TimePoint started = core::Clock::now();
    function();
    const std::chrono::duration<double, std::milli> taken = core::Clock::now() - started;
    best = std::min(best, taken.count());
  }
  return best;
}

void Measure(int workers) {
  const std::string text = MakeText(workers, "131072");
  const std::string wrong = MakeText(workers, "-1");
  const auto configuration = config::ParseConfiguration(text, "site");
  if (!configuration.has_value()) {
    fmt::print("{}\n", core::LastReason());
    return;
  }
  state::JobSpec spec;
  spec.organisation_ = "team-7";
  spec.tasks_ = 4;
  spec.shape_.accelerators_ = 8;
  spec.adjacency_ = state::Adjacency::kRack;
  bool held = true;
  const double parse =
      BestMs([&] { held = held && config::ParseConfiguration(text, "site").has_value(); });
  const double refuse =
      BestMs([&] { held = held && !config::ParseConfiguration(wrong, "site").has_value(); });
  const double admit =
      BestMs([&] { held = held && caller::WhyNotAdmitted(*configuration, "r", spec).empty(); });
  const double pack =
      BestMs([&] { held = held && operators::WhyNotPackable(*configuration).empty(); });
  fmt::print(
      "{:>6} workers, {:>5} KiB: accepted in {:>6.2f} ms, refused with lines in {:>6.2f} ms, "
      "packed in {:>7.2f} ms, a job admitted in {:>6.3f} ms{}\n",
      workers, text.size() / 1024, parse, refuse, pack, admit, held ? "" : " (did not hold)");
}

}  // namespace

}  // namespace laburnumledge

int main() {
  for (const int workers : {450, 900, 2250, 4500, 9000, 18000}) {
    laburnumledge::Measure(workers);
  }
  return 0;
}
