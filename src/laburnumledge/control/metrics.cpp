#include "laburnumledge/control/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <map>
#include <utility>

#include "laburnumledge/core/event.hpp"

namespace laburnumledge::control {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

const Histogram::BucketBoundaries kCallBuckets = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                                  0.1,   0.25,   0.5,   1,    2.5};
const Histogram::BucketBoundaries kJobBuckets = {0.05, 0.1, 0.25, 0.5, 1,   2.5,  5,
                                                 10,   25,  60,   300, 900, 3600, 14400};

Family<Counter>& MakeCounter(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Gauge>& MakeGauge(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

Family<Histogram>& MakeHistogram(prometheus::Registry& registry, const char* name,
                                 const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

void IncreaseTo(Counter& counter, std::uint64_t value) {
  counter.Increment(std::max(0.0, static_cast<double>(value) - counter.Value()));
}

/** Raises the counters of one family to the given totals, by outcome. */
void IncreaseOutcomes(Family<Counter>& family,
                      std::initializer_list<std::pair<const char*, std::uint64_t>> outcomes) {
  for (const auto& [outcome, value] : outcomes) {
    IncreaseTo(family.Add({{"outcome", outcome}}), value);
  }
}

std::string OrganisationLabel(const std::string& name, const site::Rules& rules) {
  const auto& known = rules.configuration_.organisations_;
  const bool found = std::any_of(known.begin(), known.end(), [&name](const auto& organisation) {
    return organisation.name_ == name;
  });
  return found ? name : kOtherOrganisation;
}

double SecondsSince(core::TimePoint begun) {
  return std::chrono::duration<double>(core::Clock::now() - begun).count();
}

std::string_view ReadOutcomeLabel(platform::ReadOutcome outcome) noexcept {
  switch (outcome) {
    case platform::ReadOutcome::kDone:
      return "done";
    case platform::ReadOutcome::kExpired:
      return "expired";
    case platform::ReadOutcome::kFailed:
      return "failed";
  }
  return "";
}

}  // namespace

struct NodeMetrics::Families {
  explicit Families(prometheus::Registry& registry)
      : store_calls_(MakeCounter(registry, "laburnumledge_store_calls_total",
                                 "Calls to the store, by kind, stream and outcome.")),
        store_seconds_(MakeHistogram(registry, "laburnumledge_store_call_seconds",
                                     "Time of appends to the store.")),
        worker_calls_(MakeCounter(registry, "laburnumledge_worker_calls_total",
                                  "Calls to workers, by kind and outcome.")),
        client_calls_(
            MakeCounter(registry, "laburnumledge_calls_total", "Calls of clients, by outcome.")),
        batches_(MakeCounter(registry, "laburnumledge_job_batches_total",
                             "Batches of job records appended by this node, their records, and "
                             "milliseconds that the first record of each has waited.")),
        doubts_(MakeCounter(registry, "laburnumledge_appends_in_doubt_total",
                            "Appends of job records without an answer in time, and records in "
                            "doubt by how that ended.")),
        breaker_(MakeGauge(registry, "laburnumledge_store_breaker",
                           "1 for the state of the circuit breaker of the store, by state.")),
        latency_(MakeGauge(registry, "laburnumledge_store_latency_seconds",
                           "Latency of the store as the node has learned it.")),
        resent_calls_(MakeCounter(registry, "laburnumledge_http_calls_resent_total",
                                  "Calls to the store, to workers and to other nodes that the HTTP "
                                  "client sent again since a kept connection had closed.")),
        job_wait_(MakeHistogram(registry, "laburnumledge_job_wait_seconds",
                                "Time from a job's acceptance to its first start.")),
        job_seconds_(MakeHistogram(registry, "laburnumledge_job_seconds",
                                   "Time from a job's acceptance to its end, by outcome.")),
        runs_(MakeCounter(registry, "laburnumledge_runs_total",
                          "Runs of tasks in this term, by outcome.")),
        jobs_(MakeGauge(registry, "laburnumledge_jobs", "Jobs that have not ended, by priority.")),
        stalled_steps_(MakeGauge(registry, "laburnumledge_stalled_steps",
                                 "Steps that nothing will start, by a fault of this program.")),
        gpus_(MakeGauge(registry, "laburnumledge_gpus", "GPUs of workers, by zone and use.")),
        capacity_(MakeGauge(registry, "laburnumledge_capacity_gpus",
                            "GPUs as the latest plan found them, by use, and GPUs waited for.")),
        organisations_(MakeGauge(registry, "laburnumledge_organisation_gpus",
                                 "GPUs of organisations with a quota, as the latest plan found "
                                 "them: used, limit, and waited for because of the quota.")),
        impossible_steps_(MakeGauge(registry, "laburnumledge_organisation_impossible_steps",
                                    "Queued steps that their organisation's quota can never "
                                    "hold.")),
        interference_pairs_(MakeGauge(registry, "laburnumledge_interference_pairs",
                                      "Pairs of kinds of work known to slow each other down.")),
        interference_avoided_(
            MakeCounter(registry, "laburnumledge_interference_avoided_total",
                        "Placements in this term that avoided a worker because of a known pair.")),
        workers_(MakeGauge(registry, "laburnumledge_workers", "Workers, by state.")),
        checks_(MakeCounter(registry, "laburnumledge_worker_checks_total",
                            "Calls in this term that ask a worker who it is before a start is "
                            "sent, by outcome.")),
        ignored_entries_(MakeCounter(registry, "laburnumledge_worker_entries_ignored_total",
                                     "Versions of entries in the workers' list that name no worker "
                                     "to use, as the leader has read them.")),
        term_(MakeGauge(registry, "laburnumledge_term", "Number of the newest term seen.")),
        holds_term_(
            MakeGauge(registry, "laburnumledge_holds_term", "1 while this node is the leader.")),
        log_lines_dropped_(
            MakeCounter(registry, "laburnumledge_log_lines_dropped_total",
                        "Log lines dropped because standard output was not read fast enough.")) {}

  Family<Counter>& store_calls_;
  Family<Histogram>& store_seconds_;
  Family<Counter>& worker_calls_;
  Family<Counter>& client_calls_;
  Family<Counter>& batches_;
  Family<Counter>& doubts_;
  Family<Gauge>& breaker_;
  Family<Gauge>& latency_;
  Family<Counter>& resent_calls_;
  Family<Histogram>& job_wait_;
  Family<Histogram>& job_seconds_;
  Family<Counter>& runs_;
  Family<Gauge>& jobs_;
  Family<Gauge>& stalled_steps_;
  Family<Gauge>& gpus_;
  Family<Gauge>& capacity_;
  Family<Gauge>& organisations_;
  Family<Gauge>& impossible_steps_;
  Family<Gauge>& interference_pairs_;
  Family<Counter>& interference_avoided_;
  Family<Gauge>& workers_;
  Family<Counter>& checks_;
  Family<Counter>& ignored_entries_;
  Family<Gauge>& term_;
  Family<Gauge>& holds_term_;
  Family<Counter>& log_lines_dropped_;

  void CountStoreCall(const char* kind, platform::Stream stream, std::string_view outcome) {
    store_calls_
        .Add({{"kind", kind},
              {"stream", std::string(platform::ToString(stream))},
              {"outcome", std::string(outcome)}})
        .Increment();
  }

  void CountWorkerCall(const char* kind, platform::CommandOutcome outcome) {
    worker_calls_.Add({{"kind", kind}, {"outcome", std::string(platform::ToString(outcome))}})
        .Increment();
  }
};

NodeMetrics::NodeMetrics() : families_(std::make_unique<Families>(registry_)) {}

NodeMetrics::~NodeMetrics() = default;

platform::Store NodeMetrics::Instrument(const platform::Store& store) {
  platform::Store observed;
  Families* families = families_.get();
  observed.append_ = [families, append = store.append_](platform::AppendCall call,
                                                        const platform::AppendCallback& done) {
    const core::TimePoint begun = core::Clock::now();
    const platform::Stream stream = call.stream_;
    append(std::move(call), [families, stream, begun, done](platform::AppendResult result) {
      families->CountStoreCall("append", stream, platform::ToString(result.outcome_));
      families->store_seconds_
          .Add({{"stream", std::string(platform::ToString(stream))}}, kCallBuckets)
          .Observe(SecondsSince(begun));
      done(std::move(result));
    });
  };
  observed.read_ = [families, read = store.read_](platform::ReadCall call,
                                                  const platform::ReadCallback& done) {
    const platform::Stream stream = call.stream_;
    read(call, [families, stream, done](platform::ReadResult result) {
      families->CountStoreCall("read", stream, ReadOutcomeLabel(result.outcome_));
      done(std::move(result));
    });
  };
  observed.newest_ = [families, newest = store.newest_](platform::NewestCall call,
                                                        const platform::NewestCallback& done) {
    const platform::Stream stream = call.stream_;
    newest(std::move(call), [families, stream, done](platform::NewestResult result) {
      families->CountStoreCall("newest", stream, result.done_ ? "done" : "failed");
      done(std::move(result));
    });
  };
  return observed;
}

platform::Workers NodeMetrics::Instrument(const platform::Workers& workers) {
  platform::Workers observed;
  Families* families = families_.get();
  observed.start_ = [families, start = workers.start_](
                        const platform::WorkerAddress& worker, platform::StartCommand order,
                        core::TimePoint deadline, const platform::CommandCallback& done) {
    start(worker, std::move(order), deadline, [families, done](platform::CommandResult result) {
      families->CountWorkerCall("start", result.outcome_);
      done(std::move(result));
    });
  };
  observed.stop_ = [families, stop = workers.stop_](
                       const platform::WorkerAddress& worker, platform::StopCommand order,
                       core::TimePoint deadline, const platform::CommandCallback& done) {
    stop(worker, std::move(order), deadline, [families, done](platform::CommandResult result) {
      families->CountWorkerCall("stop", result.outcome_);
      done(std::move(result));
    });
  };
  observed.pace_ = [families, pace = workers.pace_](
                       const platform::WorkerAddress& worker, platform::PaceCommand command,
                       core::TimePoint deadline, const platform::CommandCallback& done) {
    pace(worker, std::move(command), deadline, [families, done](platform::CommandResult result) {
      families->CountWorkerCall("pace", result.outcome_);
      done(std::move(result));
    });
  };
  observed.lease_ = [families, lease = workers.lease_](const platform::WorkerAddress& worker,
                                                       platform::LeaseCall call,
                                                       const platform::LeaseCallback& done) {
    lease(worker, call, [families, done](platform::LeaseResult result) {
      families->CountWorkerCall("lease", result.outcome_);
      done(std::move(result));
    });
  };
  return observed;
}

void NodeMetrics::RecordJobState(const ledger::Submission& submission, ledger::JobState state,
                                 ledger::WallTime now, const site::Rules& rules) {
  const double seconds = std::chrono::duration<double>(now - submission.accepted_).count();
  const std::string organisation = OrganisationLabel(submission.organisation_, rules);
  if (state == ledger::JobState::kRunning) {
    families_->job_wait_.Add({{"organisation", organisation}}, kJobBuckets).Observe(seconds);
  } else if (ledger::IsFinal(state)) {
    families_->job_seconds_
        .Add({{"organisation", organisation}, {"outcome", std::string(ledger::ToString(state))}},
             kJobBuckets)
        .Observe(seconds);
  }
}

void NodeMetrics::Update(const entry::EntryCounts& counts) {
  IncreaseOutcomes(families_->client_calls_, {{"accepted", counts.accepted_},
                                              {"refused", counts.refused_},
                                              {"in_doubt", counts.in_doubt_},
                                              {"cancelled", counts.cancelled_},
                                              {"shown", counts.shown_},
                                              {"forwarded", counts.forwarded_},
                                              {"collected", counts.collected_}});
  const entry::JobWriterCounts& writer = counts.writer_;
  IncreaseTo(families_->batches_.Add({{"of", "batches"}}), writer.batches_);
  IncreaseTo(families_->batches_.Add({{"of", "records"}}), writer.records_);
  IncreaseTo(families_->batches_.Add({{"of", "queue_ms"}}),
             static_cast<std::uint64_t>(writer.queued_.count()));
  IncreaseOutcomes(families_->doubts_, {{"unanswered", writer.unanswered_},
                                        {"stored", writer.doubt_stored_},
                                        {"remained", writer.doubt_remained_}});
  for (const auto state :
       {entry::BreakerState::kClosed, entry::BreakerState::kHalfOpen, entry::BreakerState::kOpen}) {
    families_->breaker_.Add({{"state", std::string(entry::ToString(state))}})
        .Set(state == writer.breaker_ ? 1.0 : 0.0);
  }
  families_->latency_.Add({}).Set(std::chrono::duration<double>(writer.latency_).count());
}

void NodeMetrics::Update(const http::Client& client) {
  IncreaseTo(families_->resent_calls_.Add({}), client.ResentCalls());
}

void NodeMetrics::Update(const dispatch::Dispatcher& dispatcher) {
  const dispatch::DispatchCounts& counts = dispatcher.Counts();
  IncreaseOutcomes(families_->runs_, {{"started", counts.starts_},
                                      {"refused", counts.starts_refused_},
                                      {"withdrawn", counts.starts_withdrawn_},
                                      {"preempted", counts.preemptions_},
                                      {"done", counts.runs_done_},
                                      {"failed", counts.runs_failed_},
                                      {"lost", counts.runs_lost_}});
  IncreaseOutcomes(families_->checks_,
                   {{"sent", counts.checks_}, {"failed", counts.checks_failed_}});
  std::map<std::uint32_t, double> jobs;
  for (const auto& [id, job] : dispatcher.Jobs().jobs_) {
    jobs[job.treatment_.priority_] += ledger::IsFinal(job.state_) ? 0.0 : 1.0;
  }
  for (const auto& [priority, count] : jobs) {
    families_->jobs_.Add({{"priority", std::to_string(priority)}}).Set(count);
  }
  families_->stalled_steps_.Add({}).Set(static_cast<double>(dispatcher.StalledSteps().size()));
  std::map<std::string, std::pair<double, double>> gpus;
  std::map<std::string, double> workers;
  for (const auto& [id, worker] : dispatcher.Workers().workers_) {
    auto& [used, all] = gpus[worker.entry_.zone_];
    used += static_cast<double>(worker.used_.gpus_);
    all += worker.listed_ ? static_cast<double>(worker.entry_.capacity_.gpus_) : 0.0;
    const char* state = !worker.listed_                        ? "unlisted"
                        : worker.entry_.draining_              ? "draining"
                        : worker.failed_calls_ > 0             ? "unreachable"
                        : worker.health_.times_suspected_ > 0U ? "suspected"
                                                               : "ready";
    workers[state] += 1.0;
  }
  for (const auto& [zone, amounts] : gpus) {
    families_->gpus_.Add({{"zone", zone}, {"use", "used"}}).Set(amounts.first);
    families_->gpus_.Add({{"zone", zone}, {"use", "all"}}).Set(amounts.second);
  }
  const dispatch::CapacityUse& use = dispatcher.Use();
  for (const auto& [name, amount] :
       {std::pair{"urgent", use.urgent_},
        {"other", use.other_},
        {"stopping", use.stopping_},
        {"ineligible", use.ineligible_},
        {"headroom", use.headroom_},
        {"idle", use.idle_},
        {"waiting_urgent", use.waiting_urgent_},
        {"waiting_other", use.waiting_other_},
        {"waiting_unresolved", dispatcher.WaitingForUnresolvedRuns()}}) {
    families_->capacity_.Add({{"use", name}}).Set(static_cast<double>(amount));
  }
  UpdateOrganisations(dispatcher);
  guarantees_.Update(dispatcher.UrgentClaims(), dispatcher.KnownOrganisations());
  if (dispatcher.Interference().mode_ != site::InterferenceMode::kOff) {
    families_->interference_pairs_.Add({}).Set(
        static_cast<double>(dispatcher.Interference().known_pairs_));
    IncreaseTo(families_->interference_avoided_.Add({}), counts.interference_avoided_);
  }
  for (const char* state : {"ready", "draining", "unreachable", "suspected", "unlisted"}) {
    families_->workers_.Add({{"state", state}}).Set(workers[state]);
  }
}

void NodeMetrics::UpdateOrganisations(const dispatch::Dispatcher& dispatcher) {
  const std::vector<dispatch::QuotaWait>& waits = dispatcher.QuotaWaits();
  for (std::size_t index = 0; index < waits.size(); ++index) {
    const dispatch::OrganisationLimits& limits = dispatcher.KnownOrganisations().all_[index];
    if (limits.quota_ == site::kUnlimited) {
      continue;
    }
    const auto set = [&](const char* kind, std::int64_t gpus) {
      families_->organisations_.Add({{"organisation", limits.name_}, {"kind", kind}})
          .Set(static_cast<double>(gpus));
    };
    set("used", dispatcher.UseByOrganisation()[index].assigned_.gpus_);
    if (limits.quota_.gpus_ != site::kUnlimitedAmount) {
      set("limit", limits.quota_.gpus_);
    }
    set("waiting_on_quota", waits[index].gpus_);
    families_->impossible_steps_.Add({{"organisation", limits.name_}})
        .Set(static_cast<double>(waits[index].impossible_steps_));
  }
}

void NodeMetrics::UpdateIgnoredEntries(std::uint64_t total) {
  IncreaseTo(families_->ignored_entries_.Add({}), total);
}

void NodeMetrics::UpdateTerm(std::uint64_t number, bool holds) {
  families_->term_.Add({}).Set(static_cast<double>(number));
  families_->holds_term_.Add({}).Set(holds ? 1.0 : 0.0);
  IncreaseTo(families_->log_lines_dropped_.Add({}), core::DroppedEvents());
}

std::string NodeMetrics::Text() {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace laburnumledge::control
