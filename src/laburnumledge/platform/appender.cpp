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

void SendAgain(Appender& appender) {
  for (auto id = appender.sent_.rbegin(); id != appender.sent_.rend(); ++id) {
    const auto found = appender.unseen_.find(*id);
    if (found != appender.unseen_.end()) {
      appender.waiting_[found->second.priority_].push_front(*id);
    }
  }
  appender.sent_.clear();
}

void FillBatch(Appender& appender, proto::RecordBatch& batch) {
  std::size_t bytes = 0;
  for (auto& [priority, ids] : appender.waiting_) {
    while (!ids.empty() && appender.sent_.size() < kMaxBatchRecords && bytes < kMaxBatchBytes) {
      const auto found = appender.unseen_.find(ids.front());
      if (found != appender.unseen_.end()) {
        found->second.may_have_landed_ = true;
        *batch.add_records() = found->second.record_;
        bytes += found->second.record_.ByteSizeLong();
        appender.sent_.push_back(ids.front());
      }
      ids.pop_front();
    }
  }
}

}  // namespace

void Submit(Appender& appender, proto::Record record, Priority priority) {
  const std::string id = record.id();
  appender.unseen_[id] = {.record_ = std::move(record), .priority_ = priority};
  appender.waiting_[priority].push_back(id);
}

std::optional<std::string> NextAppend(Appender& appender, core::TimePoint now) {
  if (appender.under_way_ || appender.in_doubt_ || now < appender.next_append_) {
    return std::nullopt;
  }
  proto::RecordBatch batch;
  FillBatch(appender, batch);
  if (batch.records().empty()) {
    return std::nullopt;
  }
  appender.under_way_ = true;
  appender.next_append_ = now + appender.spacing_;
  return batch.SerializeAsString();
}

void OnAnswer(Appender& appender, const AppendAnswer& answer, core::TimePoint now,
              core::Random& random) {
  appender.under_way_ = false;
  if (answer.verdict_ == core::Verdict::kRan) {
    appender.failures_ = 0;
    appender.sent_.clear();
    return;
  }
  ++appender.failures_;
  appender.next_append_ = now + BackOff(appender.failures_, random);
  if (answer.verdict_ == core::Verdict::kNotRun) {
    for (const std::string& id : appender.sent_) {
      const auto found = appender.unseen_.find(id);
      if (found != appender.unseen_.end()) {
        found->second.may_have_landed_ = false;
      }
    }
    SendAgain(appender);
    return;
  }
  appender.in_doubt_ = true;
  appender.doubt_since_ = now;
}

void OnSeen(Appender& appender, const std::string& id) { appender.unseen_.erase(id); }

std::vector<std::string> OnLoaded(Appender& appender,
                                  const std::function<bool(const std::string&)>& known) {
  std::vector<std::string> seen;
  for (const auto& [id, record] : appender.unseen_) {
    const auto& sent = appender.sent_;
    if (known(id)) {
      seen.push_back(id);
    } else if (record.may_have_landed_ && std::find(sent.begin(), sent.end(), id) == sent.end()) {
      appender.waiting_[record.priority_].push_back(id);
    }
  }
  for (const std::string& id : seen) {
    appender.unseen_.erase(id);
  }
  return seen;
}

void OnTail(Appender& appender, core::TimePoint sent) {
  if (!appender.in_doubt_ || sent < appender.doubt_since_) {
    return;
  }
  appender.in_doubt_ = false;
  SendAgain(appender);
}

bool IsUnseen(const Appender& appender, const std::string& id) {
  return appender.unseen_.contains(id);
}

core::Verdict Withdraw(Appender& appender, const std::string& id) {
  const auto found = appender.unseen_.find(id);
  if (found == appender.unseen_.end() || found->second.may_have_landed_) {
    return core::Verdict::kMayHaveRun;
  }
  auto& ids = appender.waiting_[found->second.priority_];
  std::erase(ids, id);
  appender.unseen_.erase(found);
  return core::Verdict::kNotRun;
}

}  // namespace laburnumledge::platform
