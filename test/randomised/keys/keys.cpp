#include <doctest/doctest.h>

#include <cstdlib>

#include "key_world.hpp"
#include "laburnumledge/http/raw_socket.hpp"

namespace laburnumledge::entry {

namespace {

constexpr std::uint32_t kSteps = 600;
constexpr core::Milliseconds kStepInterval{1};

std::uint64_t FromEnvironment(const char* name, std::uint64_t usual) {
  const char* text = std::getenv(name);
  return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

/** Status of a read of the queue's length at a node. */
unsigned Ask(KeyWorld& world, std::size_t node, const std::string& path, const std::string& key) {
  http::Request request{.method_ = "GET", .path_ = path, .target_ = path};
  request.headers_.push_back({"Authorization", "Bearer " + key});
  std::optional<unsigned> status;
  world.Send(*world.nodes_[node], std::move(request), key,
             [&status](unsigned answer) { status = answer; });
  REQUIRE(http::RunUntil(world.loop_, [&status] { return status.has_value(); }));
  return *status;
}

/** Without faults, every node refuses all keys but those of the newest configuration. */
void CheckSettled(KeyWorld& world) {
  world.Publish(true, false);
  for (const auto& node : world.nodes_) {
    node->faults_ = {};
  }
  REQUIRE(http::RunUntil(world.loop_, [&world] {
    return std::all_of(world.nodes_.begin(), world.nodes_.end(), [&world](const auto& node) {
      return node->rules_.configuration_.version_ == world.version_ &&
             node->rules_follower_->AnsweringSince() != core::TimePoint{} &&
             node->jobs_follower_->Loaded();
    });
  }));
  for (std::size_t node = 0; node < world.nodes_.size(); ++node) {
    for (int attempt = 0; attempt < 50 && Ask(world, node, "/s/", *world.current_.begin()) != 200;
         ++attempt) {
    }
    for (const std::string path : {"/s/", "/o/"}) {
      for (const std::string& key : world.key_list_) {
        CAPTURE(key);
        CHECK(Ask(world, node, path, key) == (world.current_.contains(key) ? 200U : 401U));
      }
      for (const std::string key : {"", " ", "never-0", "listed", "7"}) {
        CHECK(Ask(world, node, path, key) == 401U);
      }
    }
  }
}

void RunWorlds(bool adaptive) {
  const std::uint64_t first = FromEnvironment("LABURNUMLEDGE_SEED", 1);
  const std::uint64_t runs = FromEnvironment("LABURNUMLEDGE_RUNS", 10);
  KeyCounts all;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    CAPTURE(seed);
    KeyWorld world(seed, adaptive);
    std::uint32_t steps = 0;
    const loop::Handle timer = world.loop_.CallEvery(kStepInterval, [&] {
      if (steps < kSteps) {
        ++steps;
        world.Step();
      }
    });
    REQUIRE(http::RunUntil(world.loop_, [&] { return steps >= kSteps; }));
    world.loop_.Cancel(timer);
    CheckSettled(world);
    for (const std::string& violation : world.violations_) {
      CAPTURE(violation);
      FAIL_CHECK("success with a key that no configuration held");
    }
    for (const auto& node : world.nodes_) {
      world.counts_.forwarded_ += static_cast<std::uint32_t>(node->calls_->Counts().forwarded_);
    }
    all.succeeded_ += world.counts_.succeeded_;
    all.unauthorized_ += world.counts_.unauthorized_;
    all.forwarded_ += world.counts_.forwarded_;
    all.foreign_on_stored_ += world.counts_.foreign_on_stored_;
  }
  MESSAGE(all.succeeded_ << " successes, " << all.unauthorized_ << " refused keys, "
                         << all.forwarded_ << " forwarded calls, " << all.foreign_on_stored_
                         << " calls with a foreign key for a stored job at a node that is cut off");
  CHECK(all.succeeded_ > 0);
  CHECK(all.unauthorized_ > 0);
  CHECK(all.forwarded_ > 0);
  CHECK(all.foreign_on_stored_ > 0);
}

}  // namespace

// Both cases guard against answers with success to a call whose key no configuration held (ROUTE),
// and against keys that stay valid after a newer configuration dropped them (CONFIG).
TEST_CASE("no call succeeds with a key that no configuration held, where appends adapt") {
  RunWorlds(true);
}

TEST_CASE("no call succeeds with a key that no configuration held, where appends do not adapt") {
  RunWorlds(false);
}

}  // namespace laburnumledge::entry
