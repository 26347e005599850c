#include "laburnumledge/policy/decide.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <cstdlib>
#include <map>
#include <random>
#include <set>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/snapshot.hpp"

namespace laburnumledge::policy {

namespace {

constexpr const char* kSite = R"({"inventory":{
"zones":[{"name":"z0","region":"r"},{"name":"z1","region":"r"}],
"racks":[{"name":"r0","zone":"z0"},{"name":"r1","zone":"z1"},{"name":"r2","zone":"z0"}],
"workers":[{workers}],"instances":[]},"rules":{"large_job_wait_bound_ms":600000,"organisations":[
{"name":"a","quota_accelerators":40,"guarantees":[{"cell":"worker","count":1},{"cell":"pair","count":2,"zones":["z0"]}]},
{"name":"b","guarantees":[{"cell":"quad","count":2}]},
{"name":"c","zones":["z1"],"guarantees":[{"cell":"accelerator","count":2}]}],"services":[]}})";

std::string MakeSite() {
  std::string workers;
  for (int i = 0; i < 8; ++i) {
    workers += fmt::format(
        R"({}{{"name":"w{}","rack":"r{}","address":"127.0.0.1:{}","accelerators":8,"cores":16,"memory_mb":64}})",
        i > 0 ? "," : "", i, i / 3, 1000 + i);
  }
  std::string site = kSite;
  return site.replace(site.find("{workers}"), 9, workers);
}

struct World {
  core::Random random_;
  state::State state_;
  Plan plan_;
  core::StateTime now_;
  std::uint64_t offset_{};
  int jobs_{};
  std::uint64_t version_{};
  std::set<std::string> bad_;
  std::map<std::string, int> evictions_;

  std::uint32_t Draw(std::uint32_t low, std::uint32_t high) {
    return std::uniform_int_distribution<std::uint32_t>(low, high)(random_);
  }
};

proto::Record Blank(World& world) {
  proto::Record record;
  record.set_id(fmt::format("r{}", world.offset_));
  record.set_format_major(state::kFormatMajor);
  record.set_term(world.state_.term_.number_);
  record.set_at_ms(static_cast<std::uint64_t>(core::ToMs(world.now_)));
  return record;
}

state::ApplyCode Commit(World& world, const proto::Record& record) {
  const state::ApplyResult result = state::Apply(world.state_, record, world.offset_++);
  Observe(world.plan_, world.state_, result.change_);
  return result.code_;
}

void Adopt(World& world, const std::string& text, bool zone_out) {
  proto::Record record = Blank(world);
  record.mutable_adopt_configuration()->set_version(++world.version_);
  record.mutable_adopt_configuration()->set_text(text);
  if (zone_out) {
    record.mutable_adopt_configuration()->add_zones_out(world.Draw(0, 1) == 0 ? "z0" : "z1");
  }
  REQUIRE(Commit(world, record) == state::ApplyCode::kApplied);
}

void Submit(World& world) {
  proto::Record record = Blank(world);
  proto::JobSpec& spec = *record.mutable_submit_job()->mutable_spec();
  spec.set_id(fmt::format("j{}", world.jobs_++));
  spec.set_organisation(std::string(1, static_cast<char>('a' + world.Draw(0, 2))));
  spec.set_kind("k");
  spec.set_urgent(world.Draw(0, 9) == 0);
  spec.set_tasks(world.Draw(1, 4));
  spec.mutable_shape()->set_accelerators(1U << world.Draw(0, 3));
  spec.mutable_shape()->set_cores(world.Draw(0, 2 * spec.shape().accelerators()));
  spec.mutable_shape()->set_memory_mb(world.Draw(0, 8 * spec.shape().accelerators()));
  spec.set_adjacency(static_cast<proto::Adjacency>(world.Draw(0, 3)));
  spec.set_repeatable(world.Draw(0, 3) > 0);
  spec.set_checkpointable(spec.repeatable() && world.Draw(0, 3) > 0);
  spec.set_declared_runtime_ms(world.Draw(1, 100) * 60000);
  REQUIRE(Commit(world, record) == state::ApplyCode::kApplied);
}

/** Lets one attempt go a step further: start, stop, fail or succeed. */
void StepJob(World& world, const std::string& id) {
  const state::Job job = world.state_.jobs_.at(id);
  proto::Record record = Blank(world);
  if (job.phase_ == state::Phase::kPlaced) {
    record.mutable_start_job()->set_job(id);
    record.mutable_start_job()->set_attempt(job.attempt_);
  } else if (job.phase_ == state::Phase::kStarted && world.Draw(0, 5) > 0) {
    record.mutable_finish_job()->set_job(id);
    record.mutable_finish_job()->set_attempt(job.attempt_);
  } else {
    record.mutable_release_cells()->set_job(id);
    record.mutable_release_cells()->set_attempt(job.attempt_);
    if (job.phase_ == state::Phase::kStarted) {
      const auto& worker = world.state_.pool_.workers_[job.placement_.parts_.front().worker_];
      record.mutable_release_cells()->set_failure("task failed");
      record.mutable_release_cells()->add_failed_on(worker.name_);
    }
  }
  REQUIRE(Commit(world, record) == state::ApplyCode::kApplied);
}

void Cancel(World& world, const std::string& id) {
  proto::Record record = Blank(world);
  record.mutable_cancel_job()->set_job(id);
  Commit(world, record);
}

proto::Record ToRecord(World& world, const Decision& decision) {
  proto::Record record = Blank(world);
  switch (decision.action_) {
    case Action::kPlace:
      record.mutable_place_job()->set_job(decision.job_);
      record.mutable_place_job()->set_attempt(decision.attempt_);
      record.mutable_place_job()->set_tenure(
          static_cast<proto::Tenure>(decision.placement_.tenure_));
      record.mutable_place_job()->set_guarantee(decision.placement_.guarantee_);
      state::PartsToProto(world.state_.pool_, decision.placement_,
                          *record.mutable_place_job()->mutable_parts());
      break;
    case Action::kPreempt:
      record.mutable_preempt_job()->set_job(decision.job_);
      record.mutable_preempt_job()->set_attempt(decision.attempt_);
      record.mutable_preempt_job()->set_reason(decision.reason_);
      break;
    case Action::kRefuse:
      record.mutable_finish_job()->set_job(decision.job_);
      record.mutable_finish_job()->set_attempt(decision.attempt_);
      record.mutable_finish_job()->set_outcome(static_cast<proto::Outcome>(decision.outcome_));
      break;
    case Action::kMarkWorker:
      record.mutable_mark_worker()->set_worker(decision.worker_);
      record.mutable_mark_worker()->set_health(static_cast<proto::WorkerHealth>(decision.health_));
      break;
  }
  return record;
}

void CheckDecision(World& world, const Decision& decision) {
  if (decision.action_ == Action::kPreempt) {
    const state::Job& job = world.state_.jobs_.at(decision.job_);
    const bool stoppable = job.spec_.repeatable_ || job.phase_ == state::Phase::kPlaced;
    REQUIRE(stoppable);
    REQUIRE_FALSE(decision.reason_.empty());
  }
  if (decision.action_ == Action::kRefuse) {
    const state::Job& job = world.state_.jobs_.at(decision.job_);
    REQUIRE_FALSE(decision.reason_.empty());
    REQUIRE((decision.outcome_ != state::Outcome::kRefused || !job.may_have_started_));
  }
}

void CheckPlacements(const World& world) {
  std::map<std::string, std::uint32_t> used;
  for (const auto& [id, job] : world.state_.jobs_) {
    if (!state::HoldsCells(job.phase_)) {
      continue;
    }
    REQUIRE(job.placement_.parts_.size() == job.spec_.tasks_);
    REQUIRE((job.spec_.repeatable_ || job.placement_.tenure_ != cells::Tenure::kLoan));
    used[job.spec_.organisation_] += job.spec_.tasks_ * job.spec_.shape_.accelerators_;
  }
  REQUIRE(used["a"] <= 40);
}

/** The policy's pool follows the state's pool exactly. */
void CheckIndex(const World& world) {
  for (std::size_t i = 0; i < world.state_.pool_.workers_.size(); ++i) {
    const cells::WorkerCells& truth = world.state_.pool_.workers_[i];
    const cells::WorkerCells& index = world.plan_.pool_.workers_[i];
    REQUIRE(truth.free_accelerators_ == index.free_accelerators_);
    REQUIRE(truth.loaned_accelerators_ == index.loaned_accelerators_);
    REQUIRE(truth.free_cores_ == index.free_cores_);
    REQUIRE(truth.kept_ == index.kept_);
    REQUIRE(truth.reclaimable_ == index.reclaimable_);
    REQUIRE(truth.usable_ == index.usable_);
  }
}

void Step(World& world) {
  world.now_ += std::chrono::seconds(world.Draw(1, 300));
  for (std::uint32_t i = world.Draw(0, 3); i > 0; --i) {
    Submit(world);
  }
  std::vector<std::string> held;
  for (const auto& [id, job] : world.state_.jobs_) {
    if (state::HoldsCells(job.phase_)) {
      held.push_back(id);
    }
  }
  for (const std::string& id : held) {
    const std::uint32_t pick = world.Draw(0, 19);
    if (pick < 8) {
      StepJob(world, id);
    } else if (pick == 19) {
      Cancel(world, id);
    }
  }
  if (world.Draw(0, 19) == 0) {
    Adopt(world, "", world.Draw(0, 1) == 0);
  }
  for (const Decision& decision : Decide(world.state_, world.plan_, world.now_)) {
    CheckDecision(world, decision);
    REQUIRE(Commit(world, ToRecord(world, decision)) == state::ApplyCode::kApplied);
    REQUIRE(cells::Shortage(world.state_.pool_) == 0);
  }
  CheckPlacements(world);
  CheckIndex(world);
}

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

}  // namespace

TEST_CASE("every decision holds when it is applied, and every guarantee stays reclaimable") {
  const std::uint64_t first = FromEnvironment("LABURNUMLEDGE_SEED", 1);
  const std::uint64_t runs = FromEnvironment("LABURNUMLEDGE_RUNS", 20);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    INFO("LABURNUMLEDGE_SEED=" << seed);
    World world{.random_ = core::MakeRandom(seed, "policy")};
    world.state_.region_ = "r";
    proto::Record claim = Blank(world);
    claim.mutable_claim_term()->set_term(1);
    claim.mutable_claim_term()->set_node("n");
    Commit(world, claim);
    Adopt(world, MakeSite(), false);
    for (int step = 0; step < 300; ++step) {
      Step(world);
      if (step % 100 == 99) {
        Rebuild(world.plan_, world.state_);
        CheckIndex(world);
      }
    }
    CHECK(world.jobs_ > 0);
  }
}

}  // namespace laburnumledge::policy
