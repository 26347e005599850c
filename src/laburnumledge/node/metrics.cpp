#include "laburnumledge/node/metrics.hpp"

#include <fmt/core.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace laburnumledge::node {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

const Histogram::BucketBoundaries kRequestBuckets = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                     0.25,  0.5,    1,     2.5,  5,     10,   30};
const Histogram::BucketBoundaries kJobBuckets = {0.5, 1,   2.5,  5,    10,    30,    60,
                                                 300, 900, 3600, 7200, 14400, 43200, 86400};
constexpr std::size_t kVerdicts = static_cast<std::size_t>(core::Verdict::kRan) + 1;

double Seconds(core::Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Family<Histogram>& MakeHistogram(prometheus::Registry& registry, const char* name,
                                 const char* help) {
  return BuildHistogram().Name(fmt::format("laburnumledge_{}", name)).Help(help).Register(registry);
}

Family<Counter>& MakeCounter(prometheus::Registry& registry, const char* name, const char* help) {
  return BuildCounter().Name(fmt::format("laburnumledge_{}", name)).Help(help).Register(registry);
}

std::string SeriesKey(const std::string& organisation, const std::string& name) {
  return organisation + '/' + name;
}

}  // namespace

struct Metrics::RequestSeries {
  std::string organisation_;
  std::string class_;
  Histogram* total_{};
  Histogram* queue_{};
  Histogram* upstream_{};
  Counter* retries_{};
  std::array<Counter*, kVerdicts> verdicts_{};
};

struct Metrics::JobSeries {
  std::string organisation_;
  Histogram* wait_{};
  Histogram* run_{};
  Histogram* completion_{};
  std::unordered_map<std::string, Counter*> outcomes_;
  prometheus::Labels labels_;
};

struct Metrics::Families {
  explicit Families(prometheus::Registry& registry)
      : request_total_(MakeHistogram(registry, "request_seconds",
                                     "Time from a request's arrival to its answer.")),
        request_queue_(MakeHistogram(registry, "request_queue_seconds",
                                     "Time that a request waited before it was sent.")),
        request_upstream_(MakeHistogram(registry, "request_upstream_seconds",
                                        "Time that an attempt at an instance took.")),
        requests_(MakeCounter(registry, "requests_total", "Requests answered, by verdict.")),
        retries_(MakeCounter(registry, "request_retries_total", "Attempts that were sent again.")),
        job_wait_(MakeHistogram(registry, "job_wait_seconds",
                                "Time from a job's submission to its last start.")),
        job_run_(
            MakeHistogram(registry, "job_run_seconds", "Time from a job's last start to its end.")),
        job_completion_(
            MakeHistogram(registry, "job_seconds", "Time from a job's submission to its end.")),
        jobs_(MakeCounter(registry, "jobs_total", "Jobs that ended, by outcome.")),
        records_(MakeCounter(registry, "records_total", "Records read, by what became of them.")),
        log_calls_(MakeCounter(registry, "log_calls_total", "Reads and appends of the log.")),
        log_bytes_(
            MakeCounter(registry, "log_bytes_total", "Bytes read from the log and appended.")) {}

  Family<Histogram>& request_total_;
  Family<Histogram>& request_queue_;
  Family<Histogram>& request_upstream_;
  Family<Counter>& requests_;
  Family<Counter>& retries_;
  Family<Histogram>& job_wait_;
  Family<Histogram>& job_run_;
  Family<Histogram>& job_completion_;
  Family<Counter>& jobs_;
  Family<Counter>& records_;
  Family<Counter>& log_calls_;
  Family<Counter>& log_bytes_;
};

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      families_(std::make_shared<Families>(*registry_)) {}

void Metrics::SetKnown(const config::Configuration& configuration) {
  organisations_.clear();
  classes_.clear();
  for (const config::Organisation& organisation : configuration.rules_.organisations_) {
    organisations_.insert(organisation.name_);
  }
  for (const config::Service& service : configuration.rules_.services_) {
    for (const config::RequestClass& request_class : service.classes_) {
      classes_.insert(request_class.name_);
    }
  }
  DropUnknown();
}

void Metrics::DropUnknown() {
  const auto is_known = [](const std::unordered_set<std::string>& known, const std::string& name) {
    return name == kOtherLabel || known.contains(name);
  };
  std::erase_if(requests_, [&](const auto& entry) {
    const RequestSeries& series = *entry.second;
    if (is_known(organisations_, series.organisation_) && is_known(classes_, series.class_)) {
      return false;
    }
    families_->request_total_.Remove(series.total_);
    families_->request_queue_.Remove(series.queue_);
    families_->request_upstream_.Remove(series.upstream_);
    families_->retries_.Remove(series.retries_);
    for (Counter* counter : series.verdicts_) {
      families_->requests_.Remove(counter);
    }
    return true;
  });
  std::erase_if(jobs_, [&](const auto& entry) {
    const JobSeries& series = *entry.second;
    if (is_known(organisations_, series.organisation_)) {
      return false;
    }
    families_->job_wait_.Remove(series.wait_);
    families_->job_run_.Remove(series.run_);
    families_->job_completion_.Remove(series.completion_);
    for (const auto& [outcome, counter] : series.outcomes_) {
      families_->jobs_.Remove(counter);
    }
    return true;
  });
}

Metrics::RequestSeries& Metrics::Requests(const std::string& organisation,
                                          const std::string& request_class) {
  const std::string tenant = organisations_.contains(organisation) ? organisation : kOtherLabel;
  const std::string name = classes_.contains(request_class) ? request_class : kOtherLabel;
  std::shared_ptr<RequestSeries>& series = requests_[SeriesKey(tenant, name)];
  if (series != nullptr) {
    return *series;
  }
  prometheus::Labels labels = {{"organisation", tenant}, {"class", name}};
  series = std::make_shared<RequestSeries>();
  series->organisation_ = tenant;
  series->class_ = name;
  series->total_ = &families_->request_total_.Add(labels, kRequestBuckets);
  series->queue_ = &families_->request_queue_.Add(labels, kRequestBuckets);
  series->upstream_ = &families_->request_upstream_.Add(labels, kRequestBuckets);
  series->retries_ = &families_->retries_.Add(labels);
  for (std::size_t i = 0; i < kVerdicts; ++i) {
    labels["verdict"] = core::ToString(static_cast<core::Verdict>(i));
    series->verdicts_[i] = &families_->requests_.Add(labels);
  }
  return *series;
}

Metrics::JobSeries& Metrics::Jobs(const std::string& organisation, bool urgent) {
  const std::string tenant = organisations_.contains(organisation) ? organisation : kOtherLabel;
  const std::string name = urgent ? "urgent" : "normal";
  std::shared_ptr<JobSeries>& series = jobs_[SeriesKey(tenant, name)];
  if (series != nullptr) {
    return *series;
  }
  series = std::make_shared<JobSeries>();
  series->organisation_ = tenant;
  series->labels_ = {{"organisation", tenant}, {"class", name}};
  series->wait_ = &families_->job_wait_.Add(series->labels_, kJobBuckets);
  series->run_ = &families_->job_run_.Add(series->labels_, kJobBuckets);
  series->completion_ = &families_->job_completion_.Add(series->labels_, kJobBuckets);
  return *series;
}

void Metrics::ObserveRequest(const std::string& organisation, const std::string& request_class,
                             core::Verdict verdict, core::Clock::duration taken) {
  const RequestSeries& series = Requests(organisation, request_class);
  series.total_->Observe(Seconds(taken));
  series.verdicts_[static_cast<std::size_t>(verdict)]->Increment();
}

void Metrics::ObserveQueue(const std::string& organisation, const std::string& request_class,
                           core::Clock::duration taken) {
  Requests(organisation, request_class).queue_->Observe(Seconds(taken));
}

void Metrics::ObserveUpstream(const std::string& organisation, const std::string& request_class,
                              core::Clock::duration taken) {
  Requests(organisation, request_class).upstream_->Observe(Seconds(taken));
}

void Metrics::CountRetry(const std::string& organisation, const std::string& request_class) {
  Requests(organisation, request_class).retries_->Increment();
}

void Metrics::ObserveJob(const state::Job& job) {
  JobSeries& series = Jobs(job.spec_.organisation_, job.spec_.urgent_);
  const std::string outcome(state::ToString(job.outcome_));
  Counter*& counter = series.outcomes_[outcome];
  if (counter == nullptr) {
    prometheus::Labels labels = series.labels_;
    labels["outcome"] = outcome;
    counter = &families_->jobs_.Add(labels);
  }
  counter->Increment();
  series.completion_->Observe(Seconds(job.finished_ - job.submitted_));
  if (job.started_ >= job.submitted_ && job.may_have_started_) {
    series.wait_->Observe(Seconds(job.started_ - job.submitted_));
    series.run_->Observe(Seconds(job.finished_ - job.started_));
  }
}

void Metrics::CountRecords(const std::string& code, std::uint64_t count) {
  Counter*& counter = counters_[code];
  if (counter == nullptr) {
    counter = &families_->records_.Add({{"code", code}});
  }
  const double more = static_cast<double>(count) - counter->Value();
  if (more > 0) {
    counter->Increment(more);
  }
}

void Metrics::CountLog(const std::string& action, bool answered, std::size_t bytes) {
  const prometheus::Labels labels = {{"action", action}, {"answered", answered ? "yes" : "no"}};
  Counter*& calls = counters_[action + (answered ? "/answered" : "/lost")];
  if (calls == nullptr) {
    calls = &families_->log_calls_.Add(labels);
  }
  calls->Increment();
  Counter*& sum = counters_[action + "/bytes"];
  if (sum == nullptr) {
    sum = &families_->log_bytes_.Add({{"action", action}});
  }
  sum->Increment(static_cast<double>(bytes));
}

void Metrics::Set(const std::string& name, double value) {
  prometheus::Gauge*& gauge = gauges_[name];
  if (gauge == nullptr) {
    gauge = &BuildGauge()
                 .Name("laburnumledge_" + name)
                 .Help("State of this node.")
                 .Register(*registry_)
                 .Add({});
  }
  gauge->Set(value);
}

std::string Metrics::Text() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_->Collect());
}

platform::Log CountingLog(platform::Log log, Metrics& metrics) {
  platform::Log counting;
  counting.read_ = [read = std::move(log.read_), &metrics](
                       const std::string& stream, std::uint64_t from, core::TimePoint deadline,
                       platform::LogReadCallback done) {
    read(stream, from, deadline,
         [&metrics, done = std::move(done)](std::optional<platform::ReadAnswer> answer) {
           std::size_t bytes = 0;
           if (answer.has_value()) {
             for (const platform::LogEntry& entry : answer->entries_) {
               bytes += entry.data_.size();
             }
           }
           metrics.CountLog("read", answer.has_value(), bytes);
           done(std::move(answer));
         });
  };
  counting.append_ = [append = std::move(log.append_), &metrics](
                         const std::string& stream, std::string data, core::TimePoint deadline,
                         platform::LogAppendCallback done) {
    const std::size_t bytes = data.size();
    append(stream, std::move(data), deadline,
           [&metrics, bytes, done = std::move(done)](platform::AppendAnswer answer) {
             metrics.CountLog("append", answer.verdict_ == core::Verdict::kRan, bytes);
             done(std::move(answer));
           });
  };
  return counting;
}

}  // namespace laburnumledge::node
