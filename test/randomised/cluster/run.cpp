#include <fmt/core.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "cluster.hpp"
#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/state/snapshot.hpp"

namespace laburnumledge::cluster {

namespace {

constexpr core::Milliseconds kFaultyTime{60000};
constexpr core::Milliseconds kSettleTime{90000};
constexpr core::Milliseconds kSampleInterval{1000};
constexpr core::Milliseconds kBound{10000};
constexpr std::uint32_t kFaultKinds = 11;

class BrokenInvariant : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

[[noreturn]] void ThrowBroken(const char* /*condition*/, const char* message, const char* file,
                              int line) {
  throw BrokenInvariant(fmt::format("{} ({}:{})", message, file, line));
}

NodePointer AnyNode(Cluster& cluster) {
  const auto& name =
      cluster.names_[Below(cluster.random_, static_cast<std::uint32_t>(cluster.names_.size()))];
  return cluster.nodes_.at(name);
}

FakeWorker& AnyWorker(Cluster& cluster) {
  auto worker = cluster.workers_.begin();
  std::advance(worker, Below(cluster.random_, static_cast<std::uint32_t>(cluster.workers_.size())));
  return worker->second;
}

void Disturb(Cluster& cluster, core::TimePoint until) {
  cluster.disturbed_at_ = std::max(cluster.disturbed_at_, until);
}

void CutLink(Cluster& cluster, core::TimePoint until) {
  const NodePointer one = AnyNode(cluster);
  const NodePointer other = AnyNode(cluster);
  const std::pair<std::string, std::string> link = std::minmax(one->name_, other->name_);
  cluster.cut_links_.insert(link);
  At(cluster.timeline_, until, [&cluster, link] { cluster.cut_links_.erase(link); });
  Disturb(cluster, until);
}

void CutLog(Cluster& cluster, core::TimePoint until) {
  const NodePointer node = AnyNode(cluster);
  node->log_cut_ = true;
  At(cluster.timeline_, until, [node] { node->log_cut_ = false; });
  Disturb(cluster, until);
}

void Crash(Cluster& cluster, core::TimePoint until) {
  const NodePointer node = AnyNode(cluster);
  node->up_ = false;
  At(cluster.timeline_, until, [&cluster, node] {
    if (cluster.nodes_.at(node->name_) == node) {
      Restart(cluster, node->name_);
      Disturb(cluster, cluster.timeline_.now_);
    }
  });
  Disturb(cluster, cluster.timeline_.now_);
}

void Drain(Cluster& cluster, core::TimePoint until) {
  const NodePointer node = AnyNode(cluster);
  node->draining_ = true;
  At(cluster.timeline_, until, [&cluster, node] {
    if (cluster.nodes_.at(node->name_) == node) {
      Restart(cluster, node->name_);
      Disturb(cluster, cluster.timeline_.now_);
    }
  });
  Disturb(cluster, cluster.timeline_.now_);
}

void ReplaceAll(Cluster& cluster) {
  for (const std::string& name : cluster.names_) {
    if (Chance(cluster.random_, 50)) {
      Restart(cluster, name);
    }
  }
  Disturb(cluster, cluster.timeline_.now_);
}

void SilenceWorker(Cluster& cluster, core::TimePoint until) {
  FakeWorker& worker = AnyWorker(cluster);
  worker.silent_until_ = until;
  if (Chance(cluster.random_, 30)) {
    Lose(worker);
  }
}

void BreakWorker(Cluster& cluster, core::TimePoint until) {
  FakeWorker& worker = AnyWorker(cluster);
  worker.fails_everything_ = true;
  At(cluster.timeline_, until, [&worker] { worker.fails_everything_ = false; });
}

void FaultOfWorker(Cluster& cluster) {
  const core::TimePoint until = cluster.timeline_.now_ + Between(cluster.random_, 500, 25000);
  if (Chance(cluster.random_, 50)) {
    BreakWorker(cluster, until);
  } else {
    SilenceWorker(cluster, until);
  }
}

void Fault(Cluster& cluster) {
  const core::TimePoint now = cluster.timeline_.now_;
  const core::TimePoint until = now + Between(cluster.random_, 500, 25000);
  switch (Below(cluster.random_, kFaultKinds)) {
    case 0:
      return Crash(cluster, until);
    case 1:
      AnyNode(cluster)->paused_until_ = until;
      return Disturb(cluster, until);
    case 2:
      cluster.log_.down_until_ = until;
      return Disturb(cluster, until);
    case 3:
      cluster.log_.slow_until_ = until;
      return Disturb(cluster, until);
    case 4:
      return CutLink(cluster, until);
    case 5:
      return CutLog(cluster, until);
    case 6:
      return SilenceWorker(cluster, until);
    case 7:
      return BreakWorker(cluster, until);
    case 8:
      return Drain(cluster, until);
    case 9:
      return ReplaceAll(cluster);
    default:
      return Crash(cluster, now + core::Milliseconds(100));
  }
}

void SubmitOne(Cluster& cluster, const proto::JobSpec& spec, std::uint32_t repeats) {
  const std::size_t call = cluster.history_.job_calls_.size();
  cluster.history_.job_calls_.push_back({.job_ = spec.id()});
  const NodePointer node = AnyNode(cluster);
  const bool answer_lost = Chance(cluster.random_, 10);
  OnNode(cluster, node, [&cluster, node, spec, call, answer_lost] {
    PutJob(cluster, node, spec, false, [&cluster, call, answer_lost](core::Verdict verdict) {
      if (!answer_lost) {
        cluster.history_.job_calls_[call].verdict_ = verdict;
      }
    });
  });
  if (repeats > 0) {
    At(cluster.timeline_, cluster.timeline_.now_ + Between(cluster.random_, 50, 15000),
       [&cluster, spec, repeats] { SubmitOne(cluster, spec, repeats - 1); });
  }
}

void Submit(Cluster& cluster, std::uint32_t number) {
  core::Random& random = cluster.random_;
  proto::JobSpec spec;
  spec.set_id(fmt::format("job-{}", number));
  spec.set_kind(spec.id());
  spec.set_organisation(Chance(random, 50) ? "stofn" : "lefka");
  spec.set_tasks(1 + Below(random, 4));
  spec.mutable_shape()->set_accelerators(1U << Below(random, 3));
  spec.mutable_shape()->set_cores(2);
  spec.mutable_shape()->set_memory_mb(1024);
  spec.set_adjacency(static_cast<proto::Adjacency>(Below(random, 4)));
  spec.set_repeatable(Chance(random, 50));
  spec.set_checkpointable(Chance(random, 50));
  spec.set_command(fmt::format("{}", 200 + Below(random, 8000)));
  if (spec.adjacency() == proto::ADJACENCY_WORKER) {
    spec.set_tasks(1 + Below(random, 2));
  }
  SubmitOne(cluster, spec, Chance(random, 30) ? 1 + Below(random, 2) : 0);
}

void CancelWave(Cluster& cluster) {
  std::vector<std::string> jobs;
  for (const auto& [id, job] : cluster.reference_.jobs_) {
    if (job.phase_ != state::Phase::kFinished && Chance(cluster.random_, 70)) {
      jobs.push_back(id);
    }
  }
  const NodePointer node = AnyNode(cluster);
  for (const std::string& job : jobs) {
    OnNode(cluster, node, [&cluster, node, job] { CancelJob(cluster, node, job); });
  }
}

void Change(Cluster& cluster, const proto::Record& change, ConfigurationCall call) {
  const NodePointer node = AnyNode(cluster);
  call.began_ = cluster.timeline_.now_;
  call.replaces_ = change.has_set_zone() ? change.set_zone().replaces()
                                         : change.publish_configuration().replaces();
  const std::size_t index = cluster.history_.configuration_calls_.size();
  cluster.history_.configuration_calls_.push_back(call);
  OnNode(cluster, node, [&cluster, node, change, index] {
    ChangeConfiguration(cluster, node, change,
                        [&cluster, node, index](const node::RecordOutcome& outcome) {
                          ConfigurationCall& done = cluster.history_.configuration_calls_[index];
                          done.ended_ = cluster.timeline_.now_;
                          done.verdict_ = outcome.verdict_;
                          done.code_ = outcome.result_.code_;
                          done.version_ = cluster.defect_ == Defect::kWrongVersion
                                              ? node->replica_.configuration_.version_
                                              : outcome.result_.version_;
                        });
  });
}

void Operate(Cluster& cluster) {
  core::Random& random = cluster.random_;
  const std::uint64_t version = cluster.reference_configuration_.version_;
  const std::uint32_t operators = 1 + Below(random, 3);
  for (std::uint32_t i = 0; i < operators; ++i) {
    proto::Record change;
    ConfigurationCall call;
    if (Chance(random, 50)) {
      call.zone_ = fmt::format("zone-{}", 1 + Below(random, 3));
      call.out_ = Chance(random, 60);
      change.mutable_set_zone()->set_zone(call.zone_);
      change.mutable_set_zone()->set_out(call.out_);
      change.mutable_set_zone()->set_replaces(Chance(random, 50) ? version : 0);
    } else {
      change.mutable_publish_configuration()->set_replaces(version);
      change.mutable_publish_configuration()->set_text(ConfigurationText(Below(random, 4)));
    }
    Change(cluster, change, call);
  }
}

void PublishUntilThere(Cluster& cluster) {
  if (cluster.reference_configuration_.version_ > 0) {
    return;
  }
  proto::Record change;
  change.mutable_publish_configuration()->set_text(ConfigurationText(0));
  Change(cluster, change, {});
  At(cluster.timeline_, cluster.timeline_.now_ + core::Milliseconds(5000),
     [&cluster] { PublishUntilThere(cluster); });
}

void BringZonesBack(Cluster& cluster) {
  for (const std::string& zone : cluster.reference_configuration_.zones_out_) {
    proto::Record change;
    change.mutable_set_zone()->set_zone(zone);
    change.mutable_set_zone()->set_out(false);
    Change(cluster, change, {.zone_ = zone});
  }
  At(cluster.timeline_, cluster.timeline_.now_ + core::Milliseconds(5000),
     [&cluster] { BringZonesBack(cluster); });
}

void EverySample(Cluster& cluster) {
  At(cluster.timeline_, cluster.timeline_.now_ + kSampleInterval, [&cluster] {
    Sample(cluster);
    EverySample(cluster);
  });
}

bool IsQuiet(const Cluster& cluster) {
  const core::TimePoint disturbed = std::max(cluster.disturbed_at_, cluster.log_.late_until_);
  return cluster.timeline_.now_ - disturbed > kBound;
}

std::uint64_t VersionAt(const SimNode& node, core::TimePoint time) {
  const auto after = node.versions_.upper_bound(time);
  return after == node.versions_.begin() ? 0 : std::prev(after)->second;
}

void CheckInForce(Cluster& cluster) {
  const core::TimePoint now = cluster.timeline_.now_;
  std::uint64_t known = 0;
  for (const auto& [name, node] : cluster.nodes_) {
    known = std::max(known, VersionAt(*node, now - kBound));
  }
  for (const auto& [name, node] : cluster.nodes_) {
    const bool old = node->replica_.configuration_.version_ < known;
    if (node->up_ && Serves(*node, now) && old) {
      Violate(cluster.history_, Check::kConfigurationInForce,
              fmt::format("{} serves version {}, {} was in force long ago", name,
                          node->replica_.configuration_.version_, known));
    }
  }
}

void CheckHolder(Cluster& cluster) {
  const std::string& holder = cluster.reference_.term_.holder_;
  const auto node = cluster.nodes_.find(holder);
  const bool lives = node != cluster.nodes_.end() && node->second->up_ &&
                     node->second->decider_.incarnation_ == cluster.reference_.term_.incarnation_;
  if (lives) {
    cluster.held_at_ = cluster.timeline_.now_;
  }
  if (IsQuiet(cluster) && cluster.timeline_.now_ - cluster.held_at_ > kBound) {
    Violate(cluster.history_, Check::kTakeOver,
            fmt::format("no live node holds term {}", cluster.reference_.term_.number_));
  }
}

}  // namespace

void ScheduleRun(Cluster& cluster, core::TimePoint end) {
  core::Random& random = cluster.random_;
  const core::TimePoint begin = cluster.timeline_.now_;
  const auto anywhere = [&] {
    return begin + Between(random, 2000, core::ToMs(end) - core::ToMs(begin) - 1);
  };
  PublishUntilThere(cluster);
  for (std::uint32_t number = 0; number < 8 + Below(random, 16); ++number) {
    At(cluster.timeline_, anywhere(), [&cluster, number] { Submit(cluster, number); });
  }
  for (std::uint32_t i = 0; i < Below(random, 7); ++i) {
    At(cluster.timeline_, anywhere(), [&cluster] { Operate(cluster); });
  }
  for (std::uint32_t i = 0; i < Below(random, 10); ++i) {
    At(cluster.timeline_, anywhere(), [&cluster] { Fault(cluster); });
  }
  for (std::uint32_t i = 0; i < Below(random, 8); ++i) {
    At(cluster.timeline_, anywhere(), [&cluster] { FaultOfWorker(cluster); });
  }
  for (std::uint32_t i = 0; i < Below(random, 3); ++i) {
    At(cluster.timeline_, anywhere(), [&cluster] { CancelWave(cluster); });
  }
  EverySample(cluster);
}

void Heal(Cluster& cluster) {
  const core::TimePoint now = cluster.timeline_.now_;
  cluster.log_.down_until_ = now;
  cluster.log_.slow_until_ = now;
  cluster.log_.lost_answers_ = 0;
  cluster.log_.late_appends_ = 0;
  cluster.cut_links_.clear();
  for (auto& [name, worker] : cluster.workers_) {
    worker.silent_until_ = now;
    worker.fails_everything_ = false;
  }
  cluster.disturbed_at_ = now;
  for (const std::string& name : cluster.names_) {
    const NodePointer node = cluster.nodes_.at(name);
    Disturb(cluster, node->paused_until_);
    node->log_cut_ = false;
    if (!node->up_ || node->draining_) {
      Restart(cluster, name);
    }
  }
  BringZonesBack(cluster);
}

void Sample(Cluster& cluster) {
  const core::TimePoint now = cluster.timeline_.now_;
  for (const auto& [name, node] : cluster.nodes_) {
    node->versions_[now] = node->replica_.configuration_.version_;
  }
  if (IsQuiet(cluster)) {
    CheckInForce(cluster);
  }
  CheckHolder(cluster);
}

void CheckEnd(Cluster& cluster) {
  for (const auto& [name, node] : cluster.nodes_) {
    CompareReplica(cluster, *node);
    if (node->replica_.configuration_.version_ != cluster.reference_configuration_.version_) {
      Violate(cluster.history_, Check::kConfigurationInForce, name + " has an old version");
    }
  }
  for (const auto& [id, job] : cluster.reference_.jobs_) {
    if (job.phase_ != state::Phase::kFinished) {
      Violate(cluster.history_, Check::kProgress,
              fmt::format("job {} is still {} at attempt {}: {} tasks of {}, adjacency {}", id,
                          state::ToString(job.phase_), job.attempt_, job.spec_.tasks_,
                          job.spec_.shape_.accelerators_, static_cast<int>(job.spec_.adjacency_)));
    }
  }
  for (auto& [name, worker] : cluster.workers_) {
    Advance(worker, cluster.timeline_.now_);
    for (const auto& [key, task] : worker.tasks_) {
      if (worker::IsActive(task.lease_.state_)) {
        Violate(cluster.history_, Check::kWholeGang,
                fmt::format("task {} of job {} is left on {}", key.task_, key.job_, name));
      }
    }
  }
  CheckCalls(cluster.history_);
}

History RunOnce(std::uint64_t seed, Defect defect) {
  Cluster cluster;
  cluster.defect_ = defect;
  const core::AssertHandler before = core::SetAssertHandler(ThrowBroken);
  try {
    Build(cluster, seed);
    const core::TimePoint faulty = cluster.timeline_.now_ + kFaultyTime;
    ScheduleRun(cluster, faulty);
    RunUntil(cluster.timeline_, faulty);
    Heal(cluster);
    RunUntil(cluster.timeline_, faulty + kSettleTime);
    CheckEnd(cluster);
  } catch (const BrokenInvariant& broken) {
    Violate(cluster.history_, Check::kAssert, broken.what());
  }
  core::SetAssertHandler(before);
  return std::move(cluster.history_);
}

}  // namespace laburnumledge::cluster
