#include "laburnumledge/caller/job.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::caller {

namespace {

state::State MakeState() {
  state::State state;
  for (const char* id : {"a", "b", "c", "d"}) {
    state::Job job;
    job.spec_.id_ = id;
    job.spec_.organisation_ = *id == 'b' ? "other" : "o";
    state.jobs_.emplace(id, job);
  }
  return state;
}

std::vector<std::string> Listed(const JobFilter& filter, bool more) {
  const auto list = nlohmann::json::parse(JobListText(MakeState(), filter));
  CHECK(list["more"] == more);
  std::vector<std::string> ids;
  for (const auto& job : list["jobs"]) {
    ids.push_back(job["id"]);
  }
  return ids;
}

}  // namespace

TEST_CASE("A list is filtered, bounded and goes on behind an identifier") {
  using Ids = std::vector<std::string>;
  CHECK(Listed({}, false) == Ids{"a", "b", "c", "d"});
  CHECK(Listed({.organisation_ = "o", .after_ = {}, .limit_ = 2}, true) == Ids{"a", "c"});
  CHECK(Listed({.organisation_ = "o", .after_ = "c", .limit_ = 2}, false) == Ids{"d"});
  CHECK(Listed({.organisation_ = "nobody", .after_ = {}, .limit_ = 2}, false).empty());
}

TEST_CASE("Every error of a job's body is reported with its line") {
  CHECK_FALSE(ParseJob("j", "{\"tasks\": 0,\n \"adjacency\": \"row\"}").has_value());
  const std::string& reason = core::LastReason();
  CHECK(reason.find("job:1: /organisation: is missing") != std::string::npos);
  CHECK(reason.find("job:1: /tasks: expected a whole number from 1") != std::string::npos);
  CHECK(reason.find("job:2: /adjacency: expected none, worker, rack or zone") != std::string::npos);
}

TEST_CASE("A result with bytes that are no UTF-8 is shown") {
  state::State state;
  state::Job job;
  job.spec_.id_ = "j";
  job.phase_ = state::Phase::kFinished;
  job.result_ = "\xff\xfe";
  CHECK(nlohmann::json::accept(JobText(state, job)));
}

}  // namespace laburnumledge::caller
