#include <fmt/core.h>

#include <algorithm>
#include <array>

#include "laburnumledge/dispatch/fixture.hpp"
#include "support/world.hpp"

namespace laburnumledge::support {

namespace {

/** The queue's first service, the one that configurations move the queue to, and one to which no
 * configuration sends it. */
constexpr std::array<const char*, 3> kServices{"grinding", "polishing", "packing"};
constexpr std::uint32_t kRoutedServices = 2;
constexpr std::array<const char*, 2> kLabels{"a", "b"};
constexpr int kFullGpus = 8;

/** Number of a worker, or of the worker whose place it took. */
int NumberOf(const std::string& worker) { return std::stoi(worker.substr(1)); }

}  // namespace

/** Spreads the workers over services and labels. */
void World::ChooseKinds() {
  for (auto& [id, worker] : fake_workers_.workers_) {
    const int number = NumberOf(id);
    worker.service_ = kServices[static_cast<std::size_t>(number % 2)];
    worker.label_ = kLabels[static_cast<std::size_t>(number / 2 % 2)];
    worker_list_[id] = EntryOf(worker, now_);
  }
}

/** Gives a restarted worker another kind. Half of the workers keep theirs, so that every job can be
 * done. */
void World::ChangeKind(FakeWorker& worker) {
  const bool keeps = 2 * NumberOf(worker.id_) <= size_.workers_;
  if (keeps || faults_.other_kind_ == 0 || !Chance(faults_.other_kind_)) {
    return;
  }
  worker.service_ = kServices[random_(kServices.size())];
  worker.label_ = kLabels[random_(kLabels.size())];
  worker.gpus_ = random_(3) == 0 ? kFullGpus / 2 : kFullGpus;
}

void World::CrashWorker(FakeWorker& worker, core::TimePoint back) {
  Crash(fake_workers_, worker, back);
  ChangeKind(worker);
}

void World::ChangeRoute() { PublishRoute(kServices[random_(kRoutedServices)]); }

/** Publishes a configuration that sends the queue to a service. */
void World::PublishRoute(const std::string& service) {
  const ledger::Submission submission = *fixture::MakeSubmission({});
  site::Configuration configuration = rules_.configuration_;
  ++configuration.version_;
  configuration.routes_ = {{.name_ = submission.route_, .scheduling_ = submission.scheduling_}};
  configuration.routes_.front().scheduling_.service_ = service;
  site::ReplaceConfiguration(rules_, std::move(configuration));
  fake_workers_.services_by_route_[submission.route_].insert(service);
  if (leader_ != nullptr) {
    leader_->dispatcher_->SetRules(rules_);
    Pump(leader_);
  }
}

/** Whether less than half of the workers that may run a step are in use, with room for twice the
 * step. */
bool World::HasRoom(const ledger::Step& step) const {
  const std::string& service = rules_.configuration_.routes_.front().scheduling_.service_;
  std::int64_t gpus = 0;
  std::int64_t used = 0;
  for (const auto& [id, worker] : fake_workers_.workers_) {
    const bool fits = worker.service_ == service &&
                      (step.constraint_.empty() || worker.label_ == step.constraint_);
    if (now_ >= worker.down_until_ && fits) {
      gpus += worker.gpus_;
      for (const auto& [task, run] : worker.runs_) {
        used += run.gpus_;
      }
    }
  }
  return 2 * used <= gpus && gpus - used >= 2 * step.task_resources_.gpus_ * step.count_;
}

}  // namespace laburnumledge::support
