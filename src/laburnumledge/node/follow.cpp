#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/node/node.hpp"

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kReadTimeout{2000};
constexpr core::Milliseconds kAppendTimeout{5000};

}  // namespace

void Node::ReadConfiguration() {
  if (reading_configuration_) {
    return;
  }
  reading_configuration_ = true;
  const core::TimePoint sent = loop_.Now();
  platform::Reader& reader = replica_.configuration_reader_;
  log_.read_(reader.stream_, reader.next_, sent + kReadTimeout,
             [this, sent](std::optional<platform::ReadAnswer> answer) {
               reading_configuration_ = false;
               platform::Reader& target = replica_.configuration_reader_;
               if (!answer.has_value()) {
                 platform::Reject(target);
                 return;
               }
               const auto entries = platform::Accept(target, std::move(*answer), sent);
               const auto applied = ApplyConfigurationEntries(replica_, entries);
               if (target.fresh_at_ == sent) {
                 platform::OnTail(configuration_appender_, sent);
               }
               Settle(configuration_appender_, applied);
               if (!applied.empty()) {
                 OnConfigurationApplied();
               }
               AppendTo(configuration_appender_);
             });
}

void Node::ReadJobs() {
  if (reading_jobs_) {
    return;
  }
  reading_jobs_ = true;
  const core::TimePoint sent = loop_.Now();
  platform::Reader& reader = replica_.jobs_reader_;
  log_.read_(reader.stream_, reader.next_, sent + kReadTimeout,
             [this, sent](std::optional<platform::ReadAnswer> answer) {
               reading_jobs_ = false;
               platform::Reader& target = replica_.jobs_reader_;
               if (!answer.has_value()) {
                 platform::Reject(target);
                 return;
               }
               const auto entries = platform::Accept(target, std::move(*answer), sent);
               const auto applied = ApplyJobsEntries(replica_, entries);
               FollowClock(decider_, replica_.jobs_, loop_.Now());
               Settle(jobs_appender_, applied);
               if (target.fresh_at_ == sent) {
                 platform::OnTail(jobs_appender_, sent);
               }
               StepRole();
             });
}

void Node::Settle(platform::Appender& appender, const std::vector<Applied>& applied) {
  for (const Applied& record : applied) {
    platform::OnSeen(appender, record.id_);
    const auto waiting = waiting_records_.find(record.id_);
    if (waiting == waiting_records_.end()) {
      continue;
    }
    const RecordDone done = std::move(waiting->second);
    waiting_records_.erase(waiting);
    done(record.result_);
  }
}

void Node::OnConfigurationApplied() {
  core::Info(core::Part::kConfig, "configuration version {} is in force",
             replica_.configuration_.version_);
  metrics_.Set("configuration_version", static_cast<double>(replica_.configuration_.version_));
  Redivide();
  requests_.Pump();
}

void Node::AppendTo(platform::Appender& appender) {
  std::optional<std::string> bytes = platform::NextAppend(appender, loop_.Now());
  if (!bytes.has_value()) {
    return;
  }
  log_.append_(appender.stream_, std::move(*bytes), loop_.Now() + kAppendTimeout,
               [this, &appender](const platform::AppendAnswer& answer) {
                 platform::OnAnswer(appender, answer, loop_.Now(), random_);
                 if (answer.verdict_ != core::Verdict::kRan) {
                   core::Warning(core::Part::kPlatform, "append to {} has no answer: {}",
                                 appender.stream_, answer.reason_);
                 }
                 if (&appender == &jobs_appender_) {
                   ReadJobs();
                 } else {
                   ReadConfiguration();
                 }
               });
}

void Node::AppendAndWait(platform::Appender& appender, proto::Record record,
                         platform::Priority priority, RecordDone done) {
  waiting_records_.emplace(record.id(), std::move(done));
  platform::Submit(appender, std::move(record), priority);
  AppendTo(appender);
}

}  // namespace laburnumledge::node
