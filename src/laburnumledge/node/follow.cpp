#include <algorithm>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/node/node.hpp"
#include "laburnumledge/node/recovery.hpp"

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kReadTimeout{2000};
constexpr core::Milliseconds kAppendTimeout{5000};
constexpr core::Milliseconds kStateTimeout{5000};
constexpr core::Milliseconds kWithdrawAfter{4000};
constexpr core::Milliseconds kAnswerAfter{9000};

}  // namespace

void Node::ReadConfiguration() {
  if (reading_configuration_ || replica_.incompatible_) {
    return;
  }
  reading_configuration_ = true;
  read_configuration_again_ = false;
  const core::TimePoint sent = loop_.Now();
  platform::Reader& reader = replica_.configuration_reader_;
  log_.read_(reader.stream_, reader.next_, sent + kReadTimeout,
             [this, sent](std::optional<platform::ReadAnswer> answer) {
               reading_configuration_ = false;
               if (read_configuration_again_) {
                 loop_.CallSoon([this] { ReadConfiguration(); });
               }
               platform::Reader& target = replica_.configuration_reader_;
               if (!answer.has_value()) {
                 platform::RecordReadFailure(target);
                 return;
               }
               const std::uint64_t version = replica_.configuration_.version_;
               const auto applied = TakeConfigurationAnswer(replica_, std::move(*answer), sent);
               NudgeIfOwn(configuration_appender_, applied);
               Settle(pending_configuration_, configuration_appender_, applied,
                      replica_.configuration_.records_, replica_.configuration_loads_);
               if (target.at_tail_ && target.fresh_at_ == sent) {
                 platform::OnTailReached(configuration_appender_, sent);
               }
               if (version != replica_.configuration_.version_) {
                 OnConfigurationApplied();
               }
               AppendTo(configuration_appender_);
             });
}

void Node::ReadJobs() {
  if (reading_jobs_ || replica_.incompatible_) {
    return;
  }
  reading_jobs_ = true;
  read_jobs_again_ = false;
  const core::TimePoint sent = loop_.Now();
  platform::Reader& reader = replica_.jobs_reader_;
  log_.read_(reader.stream_, reader.next_, sent + kReadTimeout,
             [this, sent](std::optional<platform::ReadAnswer> answer) {
               reading_jobs_ = false;
               if (read_jobs_again_) {
                 loop_.CallSoon([this] { ReadJobs(); });
               }
               platform::Reader& target = replica_.jobs_reader_;
               if (!answer.has_value()) {
                 platform::RecordReadFailure(target);
                 return;
               }
               const auto applied = TakeJobsAnswer(replica_, std::move(*answer), sent);
               FollowClock(decider_, replica_.jobs_, loop_.Now());
               NudgeIfOwn(jobs_appender_, applied);
               Settle(pending_jobs_, jobs_appender_, applied, replica_.jobs_.records_,
                      replica_.jobs_loads_);
               OnJobsApplied(applied);
               if (target.at_tail_ && target.fresh_at_ == sent) {
                 platform::OnTailReached(jobs_appender_, sent);
               }
               StepRole();
             });
}

void Node::ReadConfigurationAgain() {
  read_configuration_again_ = reading_configuration_;
  ReadConfiguration();
}

void Node::ReadJobsAgain() {
  read_jobs_again_ = reading_jobs_;
  ReadJobs();
}

void Node::NudgeIfOwn(const platform::Appender& appender, const std::vector<Applied>& applied) {
  const bool own = std::any_of(applied.begin(), applied.end(), [&](const Applied& record) {
    return platform::IsUnconfirmed(appender, record.id_);
  });
  if (own) {
    Nudge();
  }
}

void Node::OnConfigurationApplied() {
  core::Info(core::Part::kConfig, "configuration version {} is in force",
             replica_.configuration_.version_);
  metrics_.SetKnown(replica_.configuration_.configuration_);
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
                 platform::OnAppendAnswer(appender, answer, loop_.Now(), random_);
                 if (answer.verdict_ != core::Verdict::kRan) {
                   core::Warning(core::Part::kPlatform, "append to {} has no answer: {}",
                                 appender.stream_, answer.reason_);
                 }
                 if (&appender == &jobs_appender_) {
                   ReadJobsAgain();
                 } else {
                   ReadConfigurationAgain();
                 }
               });
}

void Node::AppendAndWait(platform::Appender& appender, proto::Record record,
                         platform::Priority priority, RecordDone done) {
  const core::TimePoint now = loop_.Now();
  PendingRecords& pending = &appender == &jobs_appender_ ? pending_jobs_ : pending_configuration_;
  Await(pending, record, now + kWithdrawAfter, now + kAnswerAfter, std::move(done));
  platform::QueueRecord(appender, std::move(record), priority);
  AppendTo(appender);
}

void Node::StepPendingRecords() {
  const core::TimePoint now = loop_.Now();
  StepPending(
      pending_configuration_, configuration_appender_,
      [this] { return MakeConfigurationRecord(replica_.configuration_, random_); }, now);
  StepPending(
      pending_jobs_, jobs_appender_,
      [this, now] { return MakeRecord(decider_, replica_.jobs_, random_, now); }, now);
}

void Node::AskForState() {
  const std::optional<StateWish> wish = WishForState(replica_, membership_, loop_.Now());
  if (!wish.has_value() || asking_for_state_) {
    return;
  }
  asking_for_state_ = true;
  proto::PeerMessage message;
  *message.mutable_state_request() = wish->request_;
  peers_->Call(wish->peer_, std::move(message), loop_.Now() + kStateTimeout,
               [this](const proto::PeerMessage* reply) {
                 asking_for_state_ = false;
                 if (reply == nullptr || !reply->has_state_reply()) {
                   return;
                 }
                 const std::uint64_t version = replica_.configuration_.version_;
                 if (!TakeStateReply(replica_, reply->state_reply())) {
                   core::Warning(core::Part::kState, "state of node {} is not taken: {}",
                                 reply->from(), core::LastReason());
                 }
                 Settle(pending_configuration_, configuration_appender_, {},
                        replica_.configuration_.records_, replica_.configuration_loads_);
                 Settle(pending_jobs_, jobs_appender_, {}, replica_.jobs_.records_,
                        replica_.jobs_loads_);
                 FollowClock(decider_, replica_.jobs_, loop_.Now());
                 if (version != replica_.configuration_.version_) {
                   OnConfigurationApplied();
                 }
               });
}

void Node::AnswerStateRequest(const proto::PeerMessage& message) {
  proto::PeerMessage reply;
  *reply.mutable_state_reply() = MakeStateReply(replica_, message.state_request());
  peers_->Reply(message, std::move(reply));
}

}  // namespace laburnumledge::node
