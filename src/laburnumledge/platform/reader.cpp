#include "laburnumledge/platform/reader.hpp"

#include <utility>

namespace laburnumledge::platform {

std::vector<LogEntry> AcceptReadAnswer(Reader& reader, ReadAnswer answer, core::TimePoint sent) {
  reader.failures_ = 0;
  reader.first_ = answer.first_;
  if (answer.first_ > reader.next_) {
    reader.gap_ = true;
    reader.at_tail_ = false;
    return {};
  }
  std::vector<LogEntry> entries;
  for (LogEntry& entry : answer.entries_) {
    if (entry.offset_ == reader.next_) {
      ++reader.next_;
      entries.push_back(std::move(entry));
    }
  }
  if (reader.next_ >= answer.next_ && !reader.loading_) {
    reader.at_tail_ = true;
    reader.fresh_at_ = sent;
  }
  return entries;
}

void BeginLoading(Reader& reader) noexcept {
  reader.next_ = reader.first_;
  reader.gap_ = false;
  reader.at_tail_ = false;
  reader.loading_ = true;
}

void EndLoading(Reader& reader, std::uint64_t next) noexcept {
  reader.next_ = next;
  reader.gap_ = false;
  reader.at_tail_ = false;
  reader.loading_ = false;
}

void RecordReadFailure(Reader& reader) noexcept { ++reader.failures_; }

}  // namespace laburnumledge::platform
