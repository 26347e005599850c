#include "laburnumledge/platform/reader.hpp"

#include <utility>

namespace laburnumledge::platform {

std::vector<Entry> Accept(Reader& reader, ReadAnswer answer, core::TimePoint sent) {
  reader.failures_ = 0;
  if (answer.first_ > reader.next_) {
    reader.gap_ = true;
    return {};
  }
  std::vector<Entry> entries;
  for (Entry& entry : answer.entries_) {
    if (entry.offset_ == reader.next_) {
      ++reader.next_;
      entries.push_back(std::move(entry));
    }
  }
  if (reader.next_ >= answer.next_) {
    reader.at_tail_ = true;
    reader.fresh_at_ = sent;
  }
  return entries;
}

void Reject(Reader& reader) noexcept { ++reader.failures_; }

}  // namespace laburnumledge::platform
