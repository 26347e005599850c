#include <doctest/doctest.h>

#include <cstdlib>
#include <random>

#include "world.hpp"

namespace laburnumledge::routing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kQuarantine{3000};
constexpr std::size_t kNodes = 4;
constexpr std::size_t kInstances = 6;
constexpr std::uint32_t kSlots = 8;

std::uint64_t FromEnvironment(const char* name, std::uint64_t usual) {
  const char* text = std::getenv(name);
  return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

std::uint64_t Below(World& world, std::uint64_t bound) { return world.random_() % bound; }

std::vector<std::string> LiveNames(const World& world) {
  return {world.live_.begin(), world.live_.end()};
}

void Divide(World& world) {
  const std::vector<std::string> nodes = LiveNames(world);
  for (std::size_t i = 0; i < world.names_.size(); ++i) {
    if (world.live_.contains(world.names_[i])) {
      Configure(world.routers_[i], {.configuration_ = world.configuration_,
                                    .version_ = world.version_,
                                    .zones_out_ = world.zones_out_,
                                    .self_ = world.names_[i],
                                    .nodes_ = nodes,
                                    .new_slots_usable_at_ = world.now_ + kQuarantine});
    }
  }
}

World MakeWorld(std::uint64_t seed) {
  World world;
  world.random_ = core::MakeRandom(seed, "world");
  config::Rules& rules = world.configuration_.rules_;
  rules.organisations_ = {{.name_ = "stofn", .weight_ = 3}, {.name_ = "lefka", .weight_ = 1}};
  config::Service service{.name_ = "booking", .classes_ = {}};
  service.classes_.push_back({.name_ = "counter", .weight_ = 4, .interactive_ = true});
  service.classes_.push_back({.name_ = "batch", .weight_ = 1, .interactive_ = false});
  rules.services_ = {service};
  for (std::size_t i = 0; i < kInstances; ++i) {
    world.configuration_.inventory_.instances_.push_back(
        {.name_ = "booking-" + std::to_string(i),
         .service_ = "booking",
         .zone_ = "zone-" + std::to_string(i % 2),
         .address_ = {.ip_ = "127.0.0.1", .port_ = static_cast<std::uint16_t>(1000 + i)}});
  }
  world.routers_.resize(kNodes);
  world.tickets_.resize(kNodes);
  for (std::size_t i = 0; i < kNodes; ++i) {
    world.names_.push_back("node-" + std::to_string(i));
    world.live_.insert(world.names_.back());
    world.routers_[i].random_ = core::MakeRandom(seed, world.names_[i]);
  }
  Divide(world);
  world.now_ += kQuarantine;
  return world;
}

void End(World& world, std::uint64_t fate, core::Verdict verdict) {
  Fate& ended = world.fates_[fate];
  REQUIRE_FALSE(ended.ended_);
  ended.ended_ = true;
  ended.verdict_ = verdict;
  ended.ended_at_ = world.now_;
  if (verdict == core::Verdict::kNotRun) {
    REQUIRE(ended.executions_ == 0);
  }
}

/** Draws how an attempt will end; what failed may have been executed, but never what is "not run".
 */
Attempt DrawAttempt(World& world, std::size_t node, const Dispatch& dispatch) {
  Attempt attempt{.node_ = node, .dispatch_ = dispatch};
  if (std::uniform_real_distribution<double>(0, 1)(world.random_) >= world.failing_part_) {
    return attempt;
  }
  attempt.ending_ = static_cast<Ending>(1 + Below(world, 5));
  const bool never = attempt.ending_ == Ending::kRefused || attempt.ending_ == Ending::kLeaving;
  attempt.verdict_ = never ? core::Verdict::kNotRun : core::Verdict::kMayHaveRun;
  attempt.executed_ = !never && Below(world, 2) == 0;
  return attempt;
}

void Pump(World& world, std::size_t node) {
  Router& router = world.routers_[node];
  while (const auto dispatch = NextDispatch(router, world.now_)) {
    const Attempt attempt = DrawAttempt(world, node, *dispatch);
    const Fate& fate = world.fates_[world.tickets_[node].at(dispatch->ticket_)];
    const std::uint32_t busy = ++world.busy_[dispatch->instance_];
    if (world.now_ >= world.unsettled_until_) {
      REQUIRE(busy <= kSlots);
    }
    world.most_over_ = std::max(world.most_over_, busy > kSlots ? busy - kSlots : 0);
    const double usual = fate.interactive_ ? 10 : 50;
    const auto factor = world.slow_factor_.find(dispatch->instance_);
    const double ms = usual * (factor == world.slow_factor_.end() ? 1 : factor->second);
    const core::TimePoint end = world.now_ + milliseconds(static_cast<int>(ms) + 1);
    world.under_way_.emplace(std::min(end, dispatch->progress_by_ + milliseconds(1)), attempt);
  }
}

void Arrive(World& world, std::size_t node, bool interactive, bool repeatable, milliseconds limit) {
  Request request;
  request.id_ = std::to_string(world.fates_.size());
  request.organisation_ = Below(world, 2) == 0 ? "stofn" : "lefka";
  request.class_ = interactive ? "counter" : "batch";
  request.service_ = "booking";
  request.repeatable_ = repeatable;
  request.deadline_ = world.now_ + limit;
  world.fates_.push_back(
      {.repeatable_ = repeatable, .interactive_ = interactive, .arrived_ = world.now_});
  const std::uint64_t fate = world.fates_.size() - 1;
  Refusal refusal;
  const auto ticket = Admit(world.routers_[node], request, world.now_, refusal);
  if (!ticket.has_value()) {
    REQUIRE(refusal.retry_at_ > world.now_);
    End(world, fate, core::Verdict::kNotRun);
    return;
  }
  world.tickets_[node][*ticket] = fate;
  Pump(world, node);
}

void FinishAttempt(World& world, const Attempt& attempt) {
  --world.busy_[attempt.dispatch_.instance_];
  Router& router = world.routers_[attempt.node_];
  const Ticket ticket = attempt.dispatch_.ticket_;
  const std::uint64_t fate = world.tickets_[attempt.node_].at(ticket);
  world.fates_[fate].executions_ += attempt.executed_ ? 1 : 0;
  if (!world.fates_[fate].repeatable_) {
    REQUIRE(world.fates_[fate].executions_ <= 1);
  }
  const core::Verdict before = VerdictSoFar(router, ticket);
  const Next next =
      Finish(router, attempt.dispatch_, attempt.ending_, attempt.verdict_, world.now_);
  if (next == Next::kDone) {
    End(world, fate, std::max(before, attempt.verdict_));
  }
  Pump(world, attempt.node_);
}

/** Lets time pass: attempts end, deadlines pass, queues move. */
void Advance(World& world, milliseconds step) {
  const core::TimePoint until = world.now_ + step;
  while (!world.under_way_.empty() && world.under_way_.begin()->first <= until) {
    const auto first = world.under_way_.begin();
    world.now_ = std::max(world.now_, first->first);
    const Attempt attempt = first->second;
    world.under_way_.erase(first);
    FinishAttempt(world, attempt);
  }
  world.now_ = until;
  for (std::size_t node = 0; node < world.routers_.size(); ++node) {
    for (const Waiting& waiting : Expire(world.routers_[node], world.now_)) {
      End(world, world.tickets_[node].at(waiting.ticket_), waiting.verdict_);
    }
    Pump(world, node);
  }
}

void ChangeNodes(World& world) {
  const std::string& name = world.names_[Below(world, kNodes)];
  if (world.live_.contains(name) && world.live_.size() > 1) {
    world.live_.erase(name);
  } else {
    world.live_.insert(name);
  }
  // A node that is gone stops at once in this world; what it has under way still ends.
  world.unsettled_until_ = world.now_ + kQuarantine + milliseconds(2000);
  Divide(world);
}

void ChangeZone(World& world) {
  const std::string zone = "zone-" + std::to_string(Below(world, 2));
  world.zones_out_ =
      world.zones_out_.empty() ? std::vector<std::string>{zone} : std::vector<std::string>{};
  ++world.version_;
  Divide(world);
}

void ChangeList(World& world) {
  std::vector<std::string> live;
  std::vector<std::string> leaving;
  for (const config::Instance& instance : world.configuration_.inventory_.instances_) {
    const std::uint64_t drawn = Below(world, 10);
    if (drawn > 1) {
      live.push_back(instance.name_);
    } else if (drawn == 1) {
      leaving.push_back(instance.name_);
    }
  }
  for (Router& router : world.routers_) {
    ObserveVmList(router, live, leaving, world.now_);
  }
}

std::size_t LiveNode(World& world) {
  std::size_t node = Below(world, kNodes);
  while (!world.live_.contains(world.names_[node])) {
    node = (node + 1) % kNodes;
  }
  return node;
}

void Step(World& world) {
  const std::uint64_t drawn = Below(world, 1000);
  if (drawn < 700) {
    Arrive(world, LiveNode(world), Below(world, 2) == 0, Below(world, 2) == 0,
           milliseconds(20 + Below(world, 3000)));
  } else if (drawn < 990) {
    Advance(world, milliseconds(1 + Below(world, 10)));
  } else if (drawn < 992) {
    ChangeNodes(world);
  } else if (drawn < 995) {
    ChangeZone(world);
  } else if (drawn < 998) {
    ChangeList(world);
  } else {
    world.failing_part_ = Below(world, 2) == 0 ? 0 : 0.3;
    world.slow_factor_["booking-" + std::to_string(Below(world, kInstances))] =
        1.0 + static_cast<double>(Below(world, 20));
  }
}

void RunWorld(std::uint64_t seed) {
  World world = MakeWorld(seed);
  for (int i = 0; i < 4000; ++i) {
    Step(world);
  }
  Advance(world, milliseconds(60000));
  for (const Fate& fate : world.fates_) {
    REQUIRE(fate.ended_);
  }
  REQUIRE(world.under_way_.empty());
  REQUIRE(world.most_over_ <= kSlots);
}

}  // namespace

TEST_CASE("Requests end once and truly, and no instance gets more than its slots") {
  const std::uint64_t first = FromEnvironment("LABURNUMLEDGE_SEED", 1);
  const std::uint64_t runs = FromEnvironment("LABURNUMLEDGE_RUNS", 60);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    CAPTURE(seed);
    RunWorld(seed);
  }
}

TEST_CASE("At twice the load, interactive work stays quick and batch work moves") {
  World world = MakeWorld(FromEnvironment("LABURNUMLEDGE_SEED", 1));
  // Capacity is 48 slots: interactive work takes a quarter, batch work seven quarters.
  const core::TimePoint end = world.now_ + std::chrono::seconds(20);
  double interactive_due = 0;
  double batch_due = 0;
  while (world.now_ < end) {
    interactive_due += 1.2;
    batch_due += 1.68;
    for (; interactive_due >= 1; interactive_due -= 1) {
      Arrive(world, Below(world, kNodes), true, true, milliseconds(2000));
    }
    for (; batch_due >= 1; batch_due -= 1) {
      Arrive(world, Below(world, kNodes), false, true, milliseconds(20000));
    }
    Advance(world, milliseconds(1));
  }
  std::uint32_t interactive = 0;
  std::uint32_t late = 0;
  std::uint32_t batch = 0;
  for (const Fate& fate : world.fates_) {
    const bool answered = fate.ended_ && fate.verdict_ == core::Verdict::kRan;
    batch += answered && !fate.interactive_ ? 1 : 0;
    if (fate.interactive_) {
      ++interactive;
      late += !answered || fate.ended_at_ - fate.arrived_ > milliseconds(22) ? 1 : 0;
    }
  }
  CHECK(late * 100 <= interactive);
  CHECK(batch >= 20 * 48 / 4 * 20);
}

}  // namespace laburnumledge::routing
