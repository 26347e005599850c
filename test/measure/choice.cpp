#include <fmt/core.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "laburnumledge/routing/router.hpp"

// Completion times of the choice of instances, against round robin and the better of two random
// instances, both without limits, over the same arrivals in virtual time.

namespace laburnumledge::measure {

namespace {

using std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

constexpr std::size_t kNodes = 4;
constexpr std::size_t kInstances = 12;
constexpr std::uint32_t kSlots = 8;
constexpr double kSeconds = 20;

enum class Way : unsigned char { kRoundRobin, kTwoRandom, kRouter };

/** @brief A case: which part of capacity is asked for, and what is wrong. */
struct Case {
  const char* name_;
  double interactive_part_;  ///< Of all slots' time.
  double batch_part_;
  std::size_t slow_instances_;
  double slow_factor_;
  double first_node_part_;  ///< Part of the callers that come to the first node.
};

struct Job {
  std::size_t node_{};
  bool interactive_{};
  core::TimePoint arrived_;
  double ms_{};
  routing::Dispatch dispatch_;
};

struct Server {
  std::deque<std::size_t> queue_;
  std::uint32_t busy_{};
  double slow_factor_{1};
};

/** @brief One run. */
struct Run {
  Way way_{};
  core::TimePoint now_{core::TimePoint{} + std::chrono::hours(1)};
  core::Random random_;
  std::vector<Job> jobs_;
  std::vector<Server> servers_{kInstances};
  std::vector<std::vector<std::uint32_t>> outstanding_;
  std::vector<std::size_t> turn_;
  std::vector<routing::Router> routers_{kNodes};
  std::vector<std::map<routing::Ticket, std::size_t>> tickets_{kNodes};
  std::multimap<core::TimePoint, std::pair<std::size_t, std::size_t>> ends_;  ///< Server and job.
  std::vector<double> interactive_ms_;
  std::vector<double> batch_ms_;
  std::uint32_t refused_{};
  std::uint32_t most_queued_{};
};

void Start(Run& run, std::size_t server) {
  Server& target = run.servers_[server];
  while (target.busy_ < kSlots && !target.queue_.empty()) {
    const std::size_t job = target.queue_.front();
    target.queue_.pop_front();
    ++target.busy_;
    const auto length =
        Microseconds(static_cast<std::int64_t>(1000 * run.jobs_[job].ms_ * target.slow_factor_));
    run.ends_.emplace(run.now_ + length, std::pair(server, job));
  }
}

void SendTo(Run& run, std::size_t server, std::size_t job) {
  run.servers_[server].queue_.push_back(job);
  Start(run, server);
  const auto queued = static_cast<std::uint32_t>(run.servers_[server].queue_.size());
  run.most_queued_ = std::max(run.most_queued_, queued);
}

void Pump(Run& run, std::size_t node) {
  while (const auto dispatch = routing::NextDispatch(run.routers_[node], run.now_)) {
    const std::size_t job = run.tickets_[node].at(dispatch->ticket_);
    run.jobs_[job].dispatch_ = *dispatch;
    SendTo(run, std::stoul(dispatch->instance_), job);
  }
}

std::size_t Pick(Run& run, std::size_t node) {
  if (run.way_ == Way::kRoundRobin) {
    return run.turn_[node]++ % kInstances;
  }
  const std::size_t first = run.random_() % kInstances;
  const std::size_t second = run.random_() % kInstances;
  const auto& outstanding = run.outstanding_[node];
  return outstanding[first] <= outstanding[second] ? first : second;
}

void Arrive(Run& run, const Job& job) {
  run.jobs_.push_back(job);
  const std::size_t number = run.jobs_.size() - 1;
  if (run.way_ != Way::kRouter) {
    const std::size_t server = Pick(run, job.node_);
    ++run.outstanding_[job.node_][server];
    SendTo(run, server, number);
    return;
  }
  routing::Request request{.id_ = std::to_string(number),
                           .organisation_ = "lefka",
                           .class_ = job.interactive_ ? "counter" : "batch",
                           .service_ = "booking",
                           .repeatable_ = false,
                           .deadline_ = run.now_ + std::chrono::seconds(30)};
  routing::Refusal refusal;
  const auto ticket = routing::Admit(run.routers_[job.node_], request, run.now_, refusal);
  if (!ticket.has_value()) {
    ++run.refused_;
    return;
  }
  run.tickets_[job.node_][*ticket] = number;
  Pump(run, job.node_);
}

/** Moves a slot from an idle node to one in need, as the nodes' loans do. */
void LendSlots(Run& run) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    for (const std::string& service : routing::ServicesInNeed(run.routers_[node], run.now_)) {
      const std::size_t lender = (node + 1 + run.random_() % (kNodes - 1)) % kNodes;
      const auto until = run.now_ + std::chrono::seconds(1);
      const auto lent =
          routing::LendSlotOf(run.routers_[lender], service, until + milliseconds(500), run.now_);
      if (lent.has_value()) {
        run.routers_[node].targets_.at(*lent).borrowed_until_.push_back(until);
        Pump(run, node);
      }
    }
  }
}

void End(Run& run, std::size_t server, std::size_t number) {
  const Job& job = run.jobs_[number];
  --run.servers_[server].busy_;
  const double ms = std::chrono::duration<double, std::milli>(run.now_ - job.arrived_).count();
  (job.interactive_ ? run.interactive_ms_ : run.batch_ms_).push_back(ms);
  Start(run, server);
  if (run.way_ != Way::kRouter) {
    --run.outstanding_[job.node_][server];
    return;
  }
  static_cast<void>(routing::Finish(run.routers_[job.node_], job.dispatch_,
                                    routing::Ending::kAnswered, core::Verdict::kRan, run.now_));
  Pump(run, job.node_);
}

void Configure(Run& run, const config::Configuration& configuration) {
  std::vector<std::string> nodes;
  for (std::size_t i = 0; i < kNodes; ++i) {
    nodes.push_back("node-" + std::to_string(i));
  }
  const std::vector<std::string> none;
  for (std::size_t i = 0; i < kNodes; ++i) {
    routing::Configure(run.routers_[i], {.configuration_ = configuration,
                                         .version_ = 1,
                                         .zones_out_ = none,
                                         .self_ = nodes[i],
                                         .nodes_ = nodes,
                                         .new_slots_usable_at_ = run.now_});
  }
}

config::Configuration MakeConfiguration() {
  config::Configuration configuration;
  configuration.rules_.organisations_ = {{.name_ = "lefka"}};
  config::Service service{.name_ = "booking", .classes_ = {}};
  service.classes_.push_back({.name_ = "counter", .weight_ = 4, .interactive_ = true});
  service.classes_.push_back({.name_ = "batch", .weight_ = 1, .interactive_ = false});
  configuration.rules_.services_ = {service};
  for (std::size_t i = 0; i < kInstances; ++i) {
    configuration.inventory_.instances_.push_back(
        {.name_ = std::to_string(i), .service_ = "booking", .zone_ = "zone-1"});
  }
  return configuration;
}

double Quantile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void Measure(const Case& what, Way way, std::uint64_t seed) {
  Run run;
  run.way_ = way;
  run.random_ = core::MakeRandom(seed, "measure");
  core::Random arrivals = core::MakeRandom(seed, "arrivals");
  run.outstanding_.assign(kNodes, std::vector<std::uint32_t>(kInstances));
  run.turn_.assign(kNodes, 0);
  for (std::size_t i = 0; i < what.slow_instances_; ++i) {
    run.servers_[i].slow_factor_ = what.slow_factor_;
  }
  Configure(run, MakeConfiguration());
  const double slots = kInstances * kSlots;
  constexpr double kInteractiveMs = 20;
  constexpr double kBatchMs = 200;
  const double interactive_rate = slots * what.interactive_part_ / kInteractiveMs;
  const double batch_rate = slots * what.batch_part_ / kBatchMs;
  std::exponential_distribution<double> gap(interactive_rate + batch_rate);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  core::TimePoint next = run.now_;
  core::TimePoint lend = run.now_;
  const core::TimePoint end = run.now_ + milliseconds(static_cast<int>(1000 * kSeconds));
  while (next < end) {
    next += Microseconds(static_cast<std::int64_t>(1000 * gap(arrivals)));
    while (!run.ends_.empty() && run.ends_.begin()->first <= next) {
      const auto first = run.ends_.begin();
      run.now_ = first->first;
      const auto [server, job] = first->second;
      run.ends_.erase(first);
      End(run, server, job);
    }
    run.now_ = next;
    if (way == Way::kRouter && lend <= run.now_) {
      LendSlots(run);
      lend = run.now_ + milliseconds(5);
    }
    Job job{.arrived_ = run.now_};
    job.interactive_ = uniform(arrivals) < interactive_rate / (interactive_rate + batch_rate);
    job.ms_ = (job.interactive_ ? kInteractiveMs : kBatchMs) * spread(arrivals);
    const bool first_node = uniform(arrivals) < what.first_node_part_;
    job.node_ = first_node ? 0 : arrivals() % kNodes;
    Arrive(run, job);
  }
  constexpr const char* kNames[] = {"round robin", "two random", "laburnumledge"};
  fmt::print(
      "{:28} {:14} p50 {:7.1f}  p99 {:8.1f}  max {:8.1f}  batch done {:6}  refused {:5}  "
      "queued at an instance {:4}\n",
      what.name_, kNames[static_cast<int>(way)], Quantile(run.interactive_ms_, 0.5),
      Quantile(run.interactive_ms_, 0.99), Quantile(run.interactive_ms_, 1), run.batch_ms_.size(),
      run.refused_, run.most_queued_);
}

}  // namespace

}  // namespace laburnumledge::measure

int main(int argc, char** argv) {
  using laburnumledge::measure::Case;
  using laburnumledge::measure::Way;
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const Case cases[] = {{"half load", 0.25, 0.25, 0, 1, 0},
                        {"two slow instances (x5)", 0.25, 0.25, 2, 5, 0},
                        {"skew: 70% to one node", 0.25, 0.25, 0, 1, 0.7},
                        {"slow instances and skew", 0.25, 0.25, 2, 5, 0.7},
                        {"overload x2, batch", 0.4, 1.6, 0, 1, 0},
                        {"overload x2, interactive", 1.6, 0.4, 0, 1, 0}};
  for (const Case& what : cases) {
    for (const Way way : {Way::kRoundRobin, Way::kTwoRandom, Way::kRouter}) {
      laburnumledge::measure::Measure(what, way, seed);
    }
  }
  return 0;
}
