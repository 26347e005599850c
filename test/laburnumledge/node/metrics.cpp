#include "laburnumledge/node/metrics.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::node {

namespace {

config::Configuration MakeConfiguration(const std::string& organisation) {
  config::Configuration configuration;
  configuration.rules_.organisations_.resize(1);
  configuration.rules_.organisations_.front().name_ = organisation;
  configuration.rules_.services_.resize(1);
  configuration.rules_.services_.front().classes_.resize(1);
  configuration.rules_.services_.front().classes_.front().name_ = "counter";
  return configuration;
}

bool Has(const Metrics& metrics, const std::string& line) {
  return metrics.Text().find(line) != std::string::npos;
}

}  // namespace

TEST_CASE("Requests are observed by organisation and class") {
  Metrics metrics;
  metrics.SetKnown(MakeConfiguration("o"));
  metrics.ObserveRequest("o", "counter", core::Verdict::kRan, core::Milliseconds(3));
  metrics.ObserveRequest("o", "counter", core::Verdict::kRan, core::Milliseconds(3));
  CHECK(
      Has(metrics, "laburnumledge_request_seconds_count{class=\"counter\",organisation=\"o\"} 2"));
}

TEST_CASE("Names that the configuration does not know share one label value") {
  Metrics metrics;
  metrics.SetKnown(MakeConfiguration("o"));
  for (int i = 0; i < 100; ++i) {
    metrics.ObserveRequest("guess-" + std::to_string(i), "class-" + std::to_string(i),
                           core::Verdict::kNotRun, core::Milliseconds(1));
  }
  CHECK(Has(metrics,
            "laburnumledge_request_seconds_count{class=\"other\",organisation=\"other\"} 100"));
  CHECK_FALSE(Has(metrics, "guess-"));
}

TEST_CASE("An organisation that left the configuration leaves the metrics") {
  Metrics metrics;
  metrics.SetKnown(MakeConfiguration("before"));
  metrics.ObserveRequest("before", "counter", core::Verdict::kRan, core::Milliseconds(1));
  state::Job job;
  job.spec_.organisation_ = "before";
  metrics.ObserveJob(job);
  CHECK(Has(metrics, "before"));
  metrics.SetKnown(MakeConfiguration("after"));
  CHECK_FALSE(Has(metrics, "before"));
  metrics.ObserveRequest("after", "counter", core::Verdict::kRan, core::Milliseconds(1));
  CHECK(Has(metrics, "after"));
}

TEST_CASE("A job's wait, run and completion are observed") {
  Metrics metrics;
  metrics.SetKnown(MakeConfiguration("o"));
  state::Job job;
  job.spec_.organisation_ = "o";
  job.spec_.urgent_ = true;
  job.submitted_ = core::FromMs<core::StateTime>(1000);
  job.started_ = core::FromMs<core::StateTime>(3000);
  job.finished_ = core::FromMs<core::StateTime>(7000);
  job.may_have_started_ = true;
  metrics.ObserveJob(job);
  CHECK(Has(metrics, "laburnumledge_job_wait_seconds_sum{class=\"urgent\",organisation=\"o\"} 2"));
  CHECK(Has(metrics, "laburnumledge_job_run_seconds_sum{class=\"urgent\",organisation=\"o\"} 4"));
  CHECK(Has(metrics, "laburnumledge_job_seconds_sum{class=\"urgent\",organisation=\"o\"} 6"));
}

TEST_CASE("Counters of records follow a count and never go back") {
  Metrics metrics;
  metrics.CountRecords("applied", 5);
  metrics.CountRecords("applied", 7);
  metrics.CountRecords("applied", 2);
  CHECK(Has(metrics, "laburnumledge_records_total{code=\"applied\"} 7"));
}

}  // namespace laburnumledge::node
