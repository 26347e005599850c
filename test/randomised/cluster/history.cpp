#include "history.hpp"

#include <fmt/core.h>

#include <algorithm>

namespace laburnumledge::cluster {

namespace {

constexpr core::Milliseconds kFewSeconds{5000};

void CheckZone(History& history, const TaskStart& start) {
  const auto out = history.zone_out_since_.find(start.zone_);
  if (out != history.zone_out_since_.end() && start.at_ - out->second > kFewSeconds) {
    Violate(history, Check::kZoneOut,
            fmt::format("job {} started in {}, out for {} ms", start.key_.job_, start.zone_,
                        core::ToMs(start.at_) - core::ToMs(out->second)));
  }
}

void CheckGang(History& history, const TaskStart& start, const state::JobSpec& spec) {
  for (std::uint32_t task = 0; task < spec.tasks_; ++task) {
    worker::LeaseKey key = start.key_;
    key.task_ = task;
    if (!history.grants_.contains(key)) {
      Violate(history, Check::kWholeGang,
              fmt::format("job {} attempt {} started before task {} was granted", key.job_,
                          key.attempt_, task));
    }
  }
}

void CheckOnce(History& history, const TaskStart& start, const state::JobSpec& spec) {
  if (spec.repeatable_) {
    return;
  }
  for (const TaskStart& earlier : history.starts_) {
    if (earlier.key_.job_ == start.key_.job_ &&
        (earlier.key_.task_ == start.key_.task_ || earlier.key_.attempt_ != start.key_.attempt_)) {
      Violate(history, Check::kAtMostOnce,
              fmt::format("job {} is not repeatable and started in attempts {} and {}",
                          start.key_.job_, earlier.key_.attempt_, start.key_.attempt_));
      return;
    }
  }
}

bool Accepted(const ConfigurationCall& call) {
  return call.verdict_ == core::Verdict::kRan && call.code_ == state::ApplyCode::kApplied;
}

void CheckConfiguration(History& history) {
  std::vector<ConfigurationCall> accepted;
  std::copy_if(history.configuration_calls_.begin(), history.configuration_calls_.end(),
               std::back_inserter(accepted), Accepted);
  for (const ConfigurationCall& call : accepted) {
    if (call.replaces_ != 0 && call.version_ != call.replaces_ + 1) {
      Violate(
          history, Check::kConfigurationLinear,
          fmt::format("a change of version {} became version {}", call.replaces_, call.version_));
    }
  }
  for (const ConfigurationCall& first : accepted) {
    for (const ConfigurationCall& second : accepted) {
      const bool same = &first != &second && first.version_ == second.version_;
      if (same || (first.ended_ < second.began_ && first.version_ >= second.version_)) {
        Violate(
            history, Check::kConfigurationLinear,
            fmt::format("versions {} and {} are out of order", first.version_, second.version_));
      }
    }
  }
}

}  // namespace

void Violate(History& history, Check check, std::string text) {
  history.violations_.push_back({.check_ = check, .text_ = std::move(text)});
}

void NoteStart(History& history, TaskStart start) {
  CheckZone(history, start);
  const auto spec = history.specs_.find(start.key_.job_);
  if (spec == history.specs_.end()) {
    Violate(history, Check::kNotRunIsTrue,
            fmt::format("job {} started and was never submitted", start.key_.job_));
    return;
  }
  CheckGang(history, start, spec->second);
  CheckOnce(history, start, spec->second);
  history.starts_.push_back(std::move(start));
}

void CheckCalls(History& history) {
  CheckConfiguration(history);
  std::set<std::string> perhaps;
  for (const JobCall& call : history.job_calls_) {
    if (call.verdict_ != core::Verdict::kNotRun) {
      perhaps.insert(call.job_);
    }
    if (call.verdict_ == core::Verdict::kRan && !history.submissions_.contains(call.job_)) {
      Violate(history, Check::kAcceptedIsKept, fmt::format("job {} was lost", call.job_));
    }
  }
  for (const auto& [job, count] : history.submissions_) {
    if (count > 1) {
      Violate(history, Check::kSubmittedOnce, fmt::format("job {} is {} jobs", job, count));
    }
    if (!perhaps.contains(job)) {
      Violate(history, Check::kNotRunIsTrue,
              fmt::format("every call for job {} was answered \"not run\"", job));
    }
  }
}

}  // namespace laburnumledge::cluster
