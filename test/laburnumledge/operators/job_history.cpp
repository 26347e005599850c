#include "laburnumledge/operators/job_history.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

namespace laburnumledge::operators {

namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";

std::string Line(int ms, const std::string& node, int number, const std::string& rest) {
  return fmt::format(R"({{"time":"2026-01-24T17:21:{:02}.{:03}Z","level":"info","node":"{}",)"
                     R"("line":{},{}}})",
                     ms / 1000, ms % 1000, node, number, rest);
}

std::string OfJob(const std::string& event, const std::string& more = "") {
  return fmt::format(R"("event":"{}","job":"{}"{})", event, kJob, more);
}

std::string OfTask(const std::string& event, const std::string& more = "") {
  return fmt::format(R"("event":"{}","task":"{}.0.0.1"{})", event, kJob, more);
}

}  // namespace

TEST_CASE("a history is ordered by term and time and includes events of the job's workers") {
  Logs logs;
  // The clock of node b, the second leader, is behind the clock of node a, the first leader.
  AddLine(logs, Line(900, "b", 1, R"("event":"term.taken","term":8)"));
  AddLine(logs, Line(1400, "b", 2, OfTask("task.started", R"(,"worker":"w2")")));
  AddLine(logs, Line(1900, "b", 3, OfJob("job.state", R"(,"from":"running","to":"completed")")));
  AddLine(logs, Line(500, "a", 1, R"("event":"term.taken","term":7)"));
  AddLine(logs, Line(1100, "a", 2, OfTask("task.started", R"(,"worker":"w1")")));
  AddLine(logs, Line(1200, "a", 3, R"("event":"worker.unreachable","worker":"w1")"));
  AddLine(logs, Line(1200, "a", 4, R"("event":"worker.unreachable","worker":"w9")"));
  AddLine(logs, Line(1500, "a", 5, OfTask("task.lost", R"(,"worker":"w1","reason":"gone")")));
  AddLine(logs, Line(1600, "a", 6, R"("event":"job.state","job":"0000000000000001")"));
  AddLine(logs, Line(1000, "c", 1, OfJob("job.accepted")));
  const JobHistory history = BuildJobHistory(logs, kJob);
  REQUIRE(history.lines_.size() == 5);
  CHECK(history.lines_[0].event_ == "job.accepted");
  CHECK(history.lines_[1].term_ == 7);
  CHECK(history.lines_[2].event_ == "task.lost");
  CHECK(history.lines_[3].term_ == 8);
  CHECK(history.state_ == "completed");
  CHECK(history.last_reason_ == "task.lost: gone");
  REQUIRE(history.context_.size() == 1);
  CHECK(history.context_[0].fields_.at("worker") == "w1");
  CHECK(history.gaps_.empty());
  CHECK(ToText(history).find("last reason: task.lost: gone") != std::string::npos);
  CHECK(ToJson(history).at("lines").size() == 5);
}

TEST_CASE("truncated lines are counted, missing lines are reported and a restart is not a gap") {
  Logs logs;
  AddLine(logs, Line(100, "a", 1, OfJob("job.submitted")));
  AddLine(logs, Line(200, "a", 4, OfJob("job.accepted")));
  AddLine(logs, Line(300, "a", 5, OfJob("job.state")).substr(0, 40));
  AddLine(logs, Line(400, "a", 1, R"("event":"node.started")"));
  AddLine(logs, "  12.5 a " + Line(500, "a", 2, OfJob("job.cancelled")));
  AddLine(logs, "no line of ours");
  AddLine(logs, "");
  const JobHistory history = BuildJobHistory(logs, kJob);
  CHECK(history.lines_.size() == 3);
  CHECK(history.unreadable_ == 2);
  REQUIRE(history.gaps_.size() == 1);
  CHECK(history.gaps_[0].lines_ == 2);
  CHECK(ToText(history).find("missing: 2 lines of a") != std::string::npos);
}

TEST_CASE("a job that no line names has an empty history") {
  Logs logs;
  AddLine(logs, Line(100, "a", 1, OfJob("job.submitted")));
  const JobHistory history = BuildJobHistory(logs, "0000000000000002");
  CHECK(history.lines_.empty());
  CHECK(ToText(history).find("no line of job") != std::string::npos);
}

TEST_CASE("a task preempted in favour of a job is part of the job's history") {
  Logs logs;
  AddLine(logs, Line(100, "a", 1,
                     fmt::format(R"("event":"task.preempted","task":"0000000000000003.0.0.0",)"
                                 R"("in_favour_of":"{}")",
                                 kJob)));
  CHECK(BuildJobHistory(logs, kJob).lines_.size() == 1);
}

}  // namespace laburnumledge::operators
