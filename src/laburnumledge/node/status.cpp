#include <fmt/core.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>

#include "laburnumledge/node/node.hpp"

namespace laburnumledge::node {

namespace {

constexpr std::size_t kMostNamed = 100;
constexpr std::size_t kPhases = static_cast<std::size_t>(state::Phase::kFinished) + 1;

using PhaseCounts = std::array<std::size_t, kPhases>;

PhaseCounts CountPhases(const state::State& state) {
  PhaseCounts counts{};
  for (const auto& [id, job] : state.jobs_) {
    ++counts[static_cast<std::size_t>(job.phase_)];
  }
  return counts;
}

std::int64_t AgeMs(core::TimePoint then, core::TimePoint now) {
  return std::chrono::duration_cast<core::Milliseconds>(now - then).count();
}

nlohmann::json StreamJson(const platform::Reader& reader, core::TimePoint now) {
  return {{"stream", reader.stream_},
          {"next_offset", reader.next_},
          {"age_ms", reader.at_tail_ ? nlohmann::json(AgeMs(reader.fresh_at_, now)) : nullptr},
          {"failures", reader.failures_}};
}

nlohmann::json SuspectedJson(const state::State& state) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [worker, health] : state.health_) {
    if (list.size() < kMostNamed && health != state::Health::kHealthy) {
      list.push_back(worker);
    }
  }
  return list;
}

nlohmann::json SilentJson(const Decider& decider, core::TimePoint now) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [worker, until] : decider.silent_until_) {
    if (list.size() < kMostNamed && until > now) {
      list.push_back(worker);
    }
  }
  return list;
}

std::size_t SentRequests(const routing::Router& router) { return router.sent_.size(); }

std::string_view RoleOf(bool holder, bool draining) noexcept {
  if (draining) {
    return "draining";
  }
  return holder ? "decides" : "entry";
}

double Seconds(const timeval& time) {
  constexpr double kMicroseconds = 1e6;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicroseconds;
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return Seconds(usage.ru_utime) + Seconds(usage.ru_stime);
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

std::string Node::StatusText() {
  const core::TimePoint now = loop_.Now();
  const state::State& jobs = replica_.jobs_;
  const state::ConfigurationState& configuration = replica_.configuration_;
  nlohmann::json value;
  value["name"] = settings_.name_;
  value["region"] = settings_.region_;
  value["zone"] = settings_.zone_;
  value["ready"] = IsReady();
  value["configuration_version"] = configuration.version_;
  value["adopted_version"] = jobs.configuration_version_;
  value["zones_out"] = configuration.zones_out_;
  value["term"] = jobs.term_.number_;
  value["holder"] = jobs.term_.holder_;
  value["log"] = {StreamJson(replica_.configuration_reader_, now),
                  StreamJson(replica_.jobs_reader_, now)};
  value["jobs"] = jobs.jobs_.size();
  const PhaseCounts counts = CountPhases(jobs);
  for (std::size_t i = 0; i < kPhases; ++i) {
    value["jobs_by_phase"][state::ToString(static_cast<state::Phase>(i))] = counts[i];
  }
  value["waiting_callers"] = job_waiters_.count_;
  value["queued_requests"] = routing::QueuedRequests(requests_.Router());
  value["sent_requests"] = SentRequests(requests_.Router());
  value["workers_owned"] = replica_.shard_.owned_.size();
  value["workers"] = {{"listed", configuration.configuration_.inventory_.workers_.size()},
                      {"owned", replica_.shard_.owned_.size()},
                      {"silent", SilentJson(decider_, now)},
                      {"suspected", SuspectedJson(jobs)}};
  value["nodes"] = nlohmann::json::array();
  value["nodes"].push_back(SelfJson(now));
  for (const auto& [name, member] : membership_.members_) {
    const proto::Heartbeat& beat = member.heartbeat_;
    value["nodes"].push_back({{"name", name},
                              {"zone", member.zone_},
                              {"live", peer::IsLive(membership_, name, now)},
                              {"role", RoleOf(beat.holder(), beat.draining())},
                              {"configuration_version", beat.configuration_version()},
                              {"term", beat.term()},
                              {"jobs_log_age_ms", beat.jobs_age_ms()},
                              {"queued_requests", beat.queued_requests()}});
  }
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json Node::SelfJson(core::TimePoint now) {
  const platform::Reader& reader = replica_.jobs_reader_;
  return {
      {"name", settings_.name_},
      {"zone", settings_.zone_},
      {"live", true},
      {"role", RoleOf(HoldsTerm(decider_, replica_.jobs_), draining_)},
      {"configuration_version", replica_.configuration_.version_},
      {"term", replica_.jobs_.term_.number_},
      {"jobs_log_age_ms", reader.at_tail_ ? nlohmann::json(AgeMs(reader.fresh_at_, now)) : nullptr},
      {"queued_requests", routing::QueuedRequests(requests_.Router())}};
}

void Node::RefreshMetrics() {
  const core::TimePoint now = loop_.Now();
  const state::State& jobs = replica_.jobs_;
  metrics_.Set("configuration_version", static_cast<double>(replica_.configuration_.version_));
  metrics_.Set("term", static_cast<double>(jobs.term_.number_));
  metrics_.Set("holds_term", HoldsTerm(decider_, jobs) ? 1 : 0);
  metrics_.Set("ready", IsReady() ? 1 : 0);
  metrics_.Set("configuration_log_age_ms",
               static_cast<double>(AgeMs(replica_.configuration_reader_.fresh_at_, now)));
  metrics_.Set("jobs_log_age_ms", static_cast<double>(AgeMs(replica_.jobs_reader_.fresh_at_, now)));
  const PhaseCounts counts = CountPhases(jobs);
  for (std::size_t i = 0; i < kPhases; ++i) {
    metrics_.Set(fmt::format("jobs_{}", state::ToString(static_cast<state::Phase>(i))),
                 static_cast<double>(counts[i]));
  }
  metrics_.Set("waiting_callers", static_cast<double>(job_waiters_.count_));
  metrics_.Set("queued_requests", static_cast<double>(routing::QueuedRequests(requests_.Router())));
  metrics_.Set("sent_requests", static_cast<double>(SentRequests(requests_.Router())));
  metrics_.Set("workers_owned", static_cast<double>(replica_.shard_.owned_.size()));
  metrics_.Set("workers_not_healthy", static_cast<double>(jobs.health_.size()));
  metrics_.Set("nodes_live", static_cast<double>(nodes_.size()));
  metrics_.Set("process_cpu_seconds", ProcessorSeconds());
  metrics_.Set("process_resident_bytes", ResidentBytes());
  for (std::size_t i = 0; i < state::kApplyCodes; ++i) {
    metrics_.CountRecords(std::string(state::ToString(static_cast<state::ApplyCode>(i))),
                          replica_.codes_[i]);
  }
}

}  // namespace laburnumledge::node
