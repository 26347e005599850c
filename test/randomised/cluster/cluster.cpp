#include "cluster.hpp"

#include <fmt/core.h>

#include <utility>

#include "laburnumledge/cells/guarantee.hpp"

namespace laburnumledge::cluster {

namespace {

constexpr std::uint32_t kZones = 3;
constexpr std::uint32_t kWorkersOfZone = 2;
constexpr std::uint32_t kNodes = 4;
constexpr core::Milliseconds kExchangeTimeout{3000};
constexpr std::uint32_t kLostMessages = 1;
constexpr std::uint32_t kLateMessages = 2;
constexpr std::uint32_t kPercent = 100;

std::string ZoneName(std::uint32_t zone) { return fmt::format("zone-{}", zone); }

std::string WorkerName(std::uint32_t zone, std::uint32_t worker) {
  return fmt::format("zone-{}-worker-{}", zone, worker);
}

core::Milliseconds Delay(core::Random& random) {
  return Chance(random, kLateMessages) ? Between(random, 100, 2500) : Between(random, 1, 10);
}

/** What workers and the log show of a job's placement, in the reference. */
void NoteRecord(Cluster& cluster, const proto::Record& record, const state::ApplyResult& result) {
  if (result.code_ != state::ApplyCode::kApplied) {
    return;
  }
  ++cluster.records_;
  if (record.has_submit_job()) {
    const state::JobSpec spec = state::FromProto(record.submit_job().spec());
    cluster.history_.specs_[spec.id_] = spec;
    ++cluster.history_.submissions_[spec.kind_];
  }
  if (record.has_set_zone()) {
    const std::string& zone = record.set_zone().zone();
    if (record.set_zone().out()) {
      cluster.history_.zone_out_since_[zone] = cluster.timeline_.now_;
    } else {
      cluster.history_.zone_out_since_.erase(zone);
    }
  }
}

/**
 * Only a configuration may leave guaranteed cells that can't be packed: an operator who takes a
 * worker out of the inventory while work that is never evicted runs. No placement adds to that.
 */
void CheckReclaimable(Cluster& cluster, const proto::Record& record, std::uint32_t before) {
  const std::uint32_t after = cells::Shortage(cluster.reference_.pool_);
  const bool added = record.has_place_job() && after > before;
  const bool arose = !record.has_adopt_configuration() && before == 0 && after > 0;
  if (added || arose) {
    Violate(cluster.history_, Check::kReclaimable, "a guaranteed cell can't be packed");
  }
}

/** Applies an append to the reference as it lands. */
void ApplyToReference(Cluster& cluster, const std::string& stream,
                      const platform::LogEntry& entry) {
  proto::RecordBatch batch;
  batch.ParseFromString(entry.data_);
  const bool configuration = stream == platform::kConfigurationStream;
  for (const proto::Record& record : batch.records()) {
    const std::uint32_t shortage = cells::Shortage(cluster.reference_.pool_);
    const state::ApplyResult result =
        configuration
            ? state::ApplyConfiguration(cluster.reference_configuration_, record, entry.offset_)
            : state::Apply(cluster.reference_, record, entry.offset_);
    NoteRecord(cluster, record, result);
    cluster.stale_records_ += result.code_ == state::ApplyCode::kStaleTerm ? 1 : 0;
    Spoil(cluster, cluster.reference_);
    if (result.code_ == state::ApplyCode::kApplied) {
      CheckReclaimable(cluster, record, shortage);
    }
  }
  if (!configuration) {
    cluster.hashes_[entry.offset_ + 1] = state::HashState(cluster.reference_);
  }
}

void AddWorkers(Cluster& cluster) {
  for (std::uint32_t zone = 1; zone <= kZones; ++zone) {
    for (std::uint32_t index = 1; index <= kWorkersOfZone; ++index) {
      FakeWorker worker;
      worker.name_ = WorkerName(zone, index);
      worker.zone_ = ZoneName(zone);
      worker.clock_offset_ = Between(cluster.random_, -1000000, 1000000);
      const std::string name = worker.name_;
      worker.on_grant_ = [&cluster](const worker::LeaseKey& key) {
        cluster.history_.grants_.insert(key);
      };
      worker.on_start_ = [&cluster, name](const worker::LeaseKey& key) {
        NoteStart(
            cluster.history_,
            {.key_ = key, .zone_ = cluster.workers_[name].zone_, .at_ = cluster.timeline_.now_});
      };
      cluster.workers_[name] = std::move(worker);
    }
  }
}

void SendReports(Cluster& cluster, const NodePointer& node, const std::string& worker) {
  if (!node->replica_.shard_.owned_.contains(worker)) {
    return;
  }
  proto::LeaseReports reports = worker::TakeDueReports(node->replica_.shard_, node->replica_.jobs_,
                                                       worker, cluster.timeline_.now_);
  if (reports.reports().empty() && reports.silent_workers().empty()) {
    return;
  }
  if (node::HoldsTerm(node->decider_, node->replica_.jobs_)) {
    node::TakeReports(node->decider_, node->replica_.jobs_, reports, cluster.timeline_.now_);
    return;
  }
  proto::PeerMessage message;
  *message.mutable_lease_reports() = std::move(reports);
  SendPeer(cluster, *node, node->replica_.jobs_.term_.holder_, std::move(message));
}

}  // namespace

std::string ConfigurationText(std::uint32_t variant) {
  std::string zones;
  std::string racks;
  std::string workers;
  for (std::uint32_t zone = 1; zone <= kZones; ++zone) {
    zones +=
        fmt::format(R"({}{{"name":"zone-{}","region":"{}"}})", zone > 1 ? "," : "", zone, kRegion);
    racks +=
        fmt::format(R"({}{{"name":"rack-{}","zone":"zone-{}"}})", zone > 1 ? "," : "", zone, zone);
    for (std::uint32_t worker = 1; worker <= kWorkersOfZone; ++worker) {
      const bool absent = variant > 0 && zone == variant % (kZones + 1) && worker == 1;
      if (absent) {
        continue;
      }
      workers += fmt::format(
          R"({}{{"name":"{}","rack":"rack-{}","address":"127.0.0.1:{}","accelerators":8,"cores":128,"memory_mb":262144}})",
          workers.empty() ? "" : ",", WorkerName(zone, worker), zone, 1000 + zone * 10 + worker);
    }
  }
  return fmt::format(
      R"({{"inventory":{{"zones":[{}],"racks":[{}],"workers":[{}],"instances":[]}},)"
      R"("rules":{{"organisations":[{{"name":"stofn","guarantees":[{{"cell":"quad","count":2}}]}},)"
      R"({{"name":"lefka"}}],"services":[]}}}})",
      zones, racks, workers);
}

void OnNode(Cluster& cluster, const NodePointer& node, std::function<void()> function) {
  if (!node->up_) {
    return;
  }
  if (node->paused_until_ > cluster.timeline_.now_) {
    At(cluster.timeline_, node->paused_until_,
       [&cluster, node, function = std::move(function)] { OnNode(cluster, node, function); });
    return;
  }
  function();
}

void SendPeer(Cluster& cluster, SimNode& from, const std::string& to, proto::PeerMessage message) {
  message.set_from(from.name_);
  message.set_incarnation(from.decider_.incarnation_);
  const auto link = std::minmax(from.name_, to);
  if (Chance(cluster.random_, kLostMessages) || cluster.cut_links_.contains(link)) {
    return;
  }
  At(cluster.timeline_, cluster.timeline_.now_ + Delay(cluster.random_),
     [&cluster, to, message = std::move(message)] {
       const auto found = cluster.nodes_.find(to);
       if (found == cluster.nodes_.end()) {
         return;
       }
       const NodePointer node = found->second;
       OnNode(cluster, node, [&cluster, node, message] { Receive(cluster, node, message); });
     });
}

void ExchangeWith(Cluster& cluster, const NodePointer& node, const std::string& worker) {
  const core::TimePoint sent = cluster.timeline_.now_;
  worker::Freshness freshness =
      node::MakeFreshness(node->replica_, node->beats_, node->membership_, kPeerTimeout, sent);
  if (cluster.defect_ == Defect::kIgnoredZones) {
    freshness.zones_out_.clear();
  }
  const worker::ExchangeRequest request =
      worker::PlanExchange(node->replica_.shard_, node->replica_.jobs_, worker, freshness, sent);
  worker::OnSent(node->replica_.shard_, worker, sent);
  auto answered = std::make_shared<bool>(false);
  At(cluster.timeline_, sent + kExchangeTimeout, [&cluster, node, worker, answered] {
    OnNode(cluster, node, [&cluster, node, worker, answered] {
      if (!std::exchange(*answered, true)) {
        worker::OnSilence(node->replica_.shard_, worker, cluster.timeline_.now_);
      }
    });
  });
  At(cluster.timeline_, sent + Delay(cluster.random_),
     [&cluster, node, worker, request, answered, sent] {
       FakeWorker& target = cluster.workers_.at(worker);
       if (target.silent_until_ > cluster.timeline_.now_) {
         return;
       }
       const worker::ExchangeReply reply = Carry(target, request, cluster.timeline_.now_);
       At(cluster.timeline_, cluster.timeline_.now_ + Delay(cluster.random_),
          [&cluster, node, worker, reply, answered, sent] {
            OnNode(cluster, node, [&cluster, node, worker, reply, answered, sent] {
              if (std::exchange(*answered, true)) {
                return;
              }
              worker::OnReply(node->replica_.shard_, worker, reply, sent, cluster.timeline_.now_);
              SendReports(cluster, node, worker);
            });
          });
     });
}

void SweepReports(Cluster& cluster, const NodePointer& node) {
  const std::set<std::string> owned = node->replica_.shard_.owned_;
  for (const std::string& worker : owned) {
    SendReports(cluster, node, worker);
  }
}

void CompareReplica(Cluster& cluster, const SimNode& node) {
  const state::State& state = node.replica_.jobs_;
  const auto expected = cluster.hashes_.find(state.next_offset_);
  if (expected != cluster.hashes_.end() && expected->second != state::HashState(state)) {
    Violate(cluster.history_, Check::kReplicasAgree,
            fmt::format("{} differs at offset {}", node.name_, state.next_offset_));
  }
}

void Spoil(const Cluster& cluster, state::State& state) {
  if (cluster.defect_ == Defect::kForgetStarted) {
    for (auto& [id, job] : state.jobs_) {
      job.may_have_started_ = false;
    }
  }
  if (cluster.defect_ == Defect::kIgnoredZones) {
    cells::SetZonesOut(state.pool_, {});
  }
  if (cluster.defect_ == Defect::kPinnedLoans) {
    for (cells::WorkerIndex index = 0; index < state.pool_.workers_.size(); ++index) {
      state.pool_.workers_[index].loaned_accelerators_ = 0;
      cells::internal::RefreshReclaimable(state.pool_, index);
    }
  }
}

void SpoilPlan(const Cluster& cluster, policy::Plan& plan) {
  if (cluster.defect_ == Defect::kIgnoredZones) {
    cells::SetZonesOut(plan.pool_, {});
  }
}

Cluster::~Cluster() {
  for (const auto& [name, node] : nodes_) {
    replaced_.push_back(node);
  }
  for (const NodePointer& node : replaced_) {
    node->pending_configuration_ = {};
    node->pending_jobs_ = {};
    node->calls_.clear();
  }
}

void Build(Cluster& cluster, std::uint64_t seed) {
  cluster.random_ = core::MakeRandom(seed, "cluster");
  cluster.next_seed_ = seed;
  cluster.reference_.region_ = kRegion;
  cluster.log_.on_append_ = [&cluster](const std::string& stream, const platform::LogEntry& entry) {
    ApplyToReference(cluster, stream, entry);
  };
  cluster.log_.lost_answers_ = Below(cluster.random_, kPercent / 5);
  cluster.log_.late_appends_ = Below(cluster.random_, 4);
  cluster.disturbed_at_ = cluster.timeline_.now_;
  cluster.held_at_ = cluster.timeline_.now_;
  AddWorkers(cluster);
  for (std::uint32_t i = 1; i <= kNodes; ++i) {
    cluster.names_.push_back(fmt::format("node-{}", i));
  }
  for (const std::string& name : cluster.names_) {
    Restart(cluster, name);
  }
}

void Restart(Cluster& cluster, const std::string& name) {
  const auto old = cluster.nodes_.find(name);
  if (old != cluster.nodes_.end()) {
    old->second->up_ = false;
    cluster.replaced_.push_back(old->second);
  }
  const auto index = static_cast<std::uint32_t>(name.back() - '1');
  const NodePointer node = MakeNode(name, ZoneName(index % kZones + 1), cluster.names_,
                                    ++cluster.next_seed_ * 7919, cluster.timeline_.now_);
  cluster.nodes_[name] = node;
  StartNode(cluster, node);
}

}  // namespace laburnumledge::cluster
