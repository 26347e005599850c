#include "laburnumledge/node/metrics.hpp"

#include <fmt/core.h>
#include <prometheus/text_serializer.h>

namespace laburnumledge::node {

namespace {

const prometheus::Histogram::BucketBoundaries kRequestBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
const prometheus::Histogram::BucketBoundaries kJobBuckets = {
    0.5, 1, 2.5, 5, 10, 30, 60, 300, 900, 3600, 7200, 14400, 43200, 86400};

double Seconds(core::Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      request_seconds_(prometheus::BuildHistogram()
                           .Name("laburnumledge_request_seconds")
                           .Help("Time from a request's arrival to its answer.")
                           .Register(*registry_)),
      requests_(prometheus::BuildCounter()
                    .Name("laburnumledge_requests_total")
                    .Help("Requests answered, by verdict.")
                    .Register(*registry_)),
      job_seconds_(prometheus::BuildHistogram()
                       .Name("laburnumledge_job_seconds")
                       .Help("Time from a job's submission to its end.")
                       .Register(*registry_)) {}

void Metrics::ObserveRequest(const std::string& organisation, const std::string& request_class,
                             core::Verdict verdict, core::Clock::duration taken) {
  request_seconds_.Add({{"organisation", organisation}, {"class", request_class}}, kRequestBuckets)
      .Observe(Seconds(taken));
  requests_
      .Add({{"organisation", organisation},
            {"class", request_class},
            {"verdict", std::string(core::ToString(verdict))}})
      .Increment();
}

void Metrics::ObserveJob(const std::string& organisation, const std::string& outcome,
                         core::Milliseconds completion) {
  job_seconds_.Add({{"organisation", organisation}, {"outcome", outcome}}, kJobBuckets)
      .Observe(Seconds(completion));
}

void Metrics::Set(const std::string& name, double value) {
  prometheus::BuildGauge()
      .Name("laburnumledge_" + name)
      .Help("State of this node.")
      .Register(*registry_)
      .Add({})
      .Set(value);
}

std::string Metrics::Text() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_->Collect());
}

}  // namespace laburnumledge::node
