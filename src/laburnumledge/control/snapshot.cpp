#include "laburnumledge/control/snapshot.hpp"

#include <algorithm>
#include <utility>

namespace laburnumledge::control {

namespace {

void Merge(Snapshot& snapshot, std::vector<platform::StoredRecord> records) {
  for (platform::StoredRecord& record : records) {
    snapshot.end_ = std::max(snapshot.end_, record.offset_ + 1);
    const auto [known, added] = snapshot.newest_.try_emplace(record.record_.key_);
    if (added || known->second.offset_ <= record.offset_) {
      known->second = std::move(record);
    }
  }
}

}  // namespace

Snapshot BeginSnapshot(platform::NewestResult page) {
  Snapshot snapshot{.next_ = page.end_, .end_ = page.end_, .newest_ = {}};
  Merge(snapshot, std::move(page.records_));
  return snapshot;
}

void AddPage(Snapshot& snapshot, platform::NewestResult page) {
  snapshot.end_ = std::max(snapshot.end_, page.end_);
  Merge(snapshot, std::move(page.records_));
}

void AddRead(Snapshot& snapshot, const platform::ReadResult& read) {
  snapshot.next_ = std::max(snapshot.next_, read.next_);
  Merge(snapshot, read.records_);
  if (read.next_ >= read.end_) {
    snapshot.end_ = snapshot.next_;
  }
}

bool IsComplete(const Snapshot& snapshot) noexcept { return snapshot.next_ >= snapshot.end_; }

std::vector<platform::StoredRecord> TakeRecords(Snapshot snapshot) {
  std::vector<platform::StoredRecord> records;
  auto newest = std::move(snapshot.newest_);
  for (auto& [key, record] : newest) {
    if (record.record_.value_.has_value()) {
      records.push_back(std::move(record));
    }
  }
  return records;
}

}  // namespace laburnumledge::control
