#include "laburnumledge/platform/appender.hpp"

#include <algorithm>
#include <utility>

namespace laburnumledge::platform {

namespace {

constexpr std::size_t kMaxBatchBytes = 256U << 10U;
constexpr std::size_t kMaxBatchRecords = 256;
constexpr core::Milliseconds kFirstBackOff{100};
constexpr std::uint32_t kMaxBackOffSteps = 5;

core::Milliseconds BackOff(std::uint32_t failures, core::Random& random) {
  const std::uint32_t steps = std::min(failures, kMaxBackOffSteps);
  const auto longest = static_cast<std::uint64_t>(kFirstBackOff.count()) << steps;
  return core::Milliseconds(longest / 2 + random() % (longest / 2 + 1));
}

void RequeueSentRecords(Appender& appender) {
  for (auto id = appender.sent_ids_.rbegin(); id != appender.sent_ids_.rend(); ++id) {
    const auto found = appender.unconfirmed_.find(*id);
    if (found != appender.unconfirmed_.end()) {
      appender.queued_ids_[found->second.priority_].push_front(*id);
    }
  }
  appender.sent_ids_.clear();
}

void FillBatch(Appender& appender, proto::RecordBatch& batch) {
  std::size_t bytes = 0;
  for (auto& [priority, ids] : appender.queued_ids_) {
    while (!ids.empty() && appender.sent_ids_.size() < kMaxBatchRecords && bytes < kMaxBatchBytes) {
      const auto found = appender.unconfirmed_.find(ids.front());
      if (found != appender.unconfirmed_.end()) {
        found->second.may_be_in_log_ = true;
        *batch.add_records() = found->second.record_;
        bytes += found->second.record_.ByteSizeLong();
        appender.sent_ids_.push_back(ids.front());
      }
      ids.pop_front();
    }
  }
}

}  // namespace

void QueueRecord(Appender& appender, proto::Record record, Priority priority) {
  const std::string id = record.id();
  appender.unconfirmed_[id] = {.record_ = std::move(record), .priority_ = priority};
  appender.queued_ids_[priority].push_back(id);
}

std::optional<std::string> NextAppend(Appender& appender, core::TimePoint now) {
  if (appender.in_flight_ || appender.in_doubt_ || now < appender.next_append_) {
    return std::nullopt;
  }
  proto::RecordBatch batch;
  FillBatch(appender, batch);
  if (batch.records().empty()) {
    return std::nullopt;
  }
  appender.in_flight_ = true;
  appender.next_append_ = now + appender.spacing_;
  return batch.SerializeAsString();
}

void OnAppendAnswer(Appender& appender, const AppendAnswer& answer, core::TimePoint now,
                    core::Random& random) {
  appender.in_flight_ = false;
  if (answer.verdict_ == core::Verdict::kRan) {
    appender.failures_ = 0;
    appender.sent_ids_.clear();
    return;
  }
  ++appender.failures_;
  appender.next_append_ = now + BackOff(appender.failures_, random);
  if (answer.verdict_ == core::Verdict::kNotRun) {
    for (const std::string& id : appender.sent_ids_) {
      const auto found = appender.unconfirmed_.find(id);
      if (found != appender.unconfirmed_.end()) {
        found->second.may_be_in_log_ = false;
      }
    }
    RequeueSentRecords(appender);
    return;
  }
  for (const std::string& id : appender.sent_ids_) {
    const auto found = appender.unconfirmed_.find(id);
    if (found != appender.unconfirmed_.end()) {
      found->second.was_in_doubt_ = true;
    }
  }
  appender.in_doubt_ = true;
  appender.in_doubt_since_ = now;
}

void OnRecordRead(Appender& appender, const std::string& id) { appender.unconfirmed_.erase(id); }

std::vector<std::string> OnStateLoaded(Appender& appender,
                                       const std::function<bool(const std::string&)>& known) {
  std::vector<std::string> seen;
  for (const auto& [id, record] : appender.unconfirmed_) {
    const auto& sent = appender.sent_ids_;
    if (known(id)) {
      seen.push_back(id);
    } else if (record.may_be_in_log_ && std::find(sent.begin(), sent.end(), id) == sent.end()) {
      appender.queued_ids_[record.priority_].push_back(id);
    }
  }
  for (const std::string& id : seen) {
    appender.unconfirmed_.erase(id);
  }
  return seen;
}

void OnTailReached(Appender& appender, core::TimePoint sent) {
  if (!appender.in_doubt_ || sent < appender.in_doubt_since_) {
    return;
  }
  appender.in_doubt_ = false;
  RequeueSentRecords(appender);
}

bool IsUnconfirmed(const Appender& appender, const std::string& id) {
  return appender.unconfirmed_.contains(id);
}

core::Verdict WithdrawRecord(Appender& appender, const std::string& id) {
  const auto found = appender.unconfirmed_.find(id);
  if (found == appender.unconfirmed_.end() || found->second.may_be_in_log_ ||
      found->second.was_in_doubt_) {
    return core::Verdict::kMayHaveRun;
  }
  auto& ids = appender.queued_ids_[found->second.priority_];
  std::erase(ids, id);
  appender.unconfirmed_.erase(found);
  return core::Verdict::kNotRun;
}

}  // namespace laburnumledge::platform
