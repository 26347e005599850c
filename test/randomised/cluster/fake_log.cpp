#include "fake_log.hpp"

#include <utility>

namespace laburnumledge::cluster {

namespace {

constexpr std::size_t kReadLimit = 100;
constexpr core::Milliseconds kReadTimeout{2000};
constexpr core::Milliseconds kAppendTimeout{5000};
constexpr std::int64_t kSlowMs = 1500;
constexpr std::int64_t kQuickMs = 20;

bool IsDown(const FakeLog& log, core::TimePoint now) { return now < log.down_until_; }

core::Milliseconds Delay(const FakeLog& log, core::Random& random, core::TimePoint now) {
  return Between(random, 1, now < log.slow_until_ ? kSlowMs : kQuickMs);
}

platform::AppendAnswer NoAnswer() {
  return {.verdict_ = core::Verdict::kMayHaveRun, .offset_ = 0, .reason_ = "no answer"};
}

}  // namespace

void Append(FakeLog& log, const std::string& stream, std::string data, core::TimePoint now) {
  FakeStream& target = log.streams_[stream];
  target.appends_.push_back(
      {.entry_ = {.offset_ = target.next_++, .data_ = std::move(data)}, .at_ = now});
  log.on_append_(stream, target.appends_.back().entry_);
}

platform::ReadAnswer Read(FakeLog& log, const std::string& stream, std::uint64_t from,
                          core::TimePoint now) {
  FakeStream& target = log.streams_[stream];
  while (!target.appends_.empty() && now - target.appends_.front().at_ > log.retention_) {
    target.appends_.pop_front();
  }
  platform::ReadAnswer answer;
  answer.first_ = target.next_ - target.appends_.size();
  answer.next_ = target.next_;
  const std::uint64_t begin = std::max(from, answer.first_) - answer.first_;
  for (std::uint64_t i = begin; i < target.appends_.size() && answer.entries_.size() < kReadLimit;
       ++i) {
    answer.entries_.push_back(target.appends_[i].entry_);
  }
  return answer;
}

void SendRead(Timeline& timeline, FakeLog& log, core::Random& random, bool cut,
              const std::string& stream, std::uint64_t from,
              const platform::LogReadCallback& done) {
  const core::TimePoint sent = timeline.now_;
  const core::Milliseconds there = Delay(log, random, sent);
  const core::Milliseconds back = Delay(log, random, sent);
  if (cut || IsDown(log, sent) || there + back > kReadTimeout) {
    At(timeline, sent + kReadTimeout, [done] { done(std::nullopt); });
    return;
  }
  At(timeline, sent + there, [&timeline, &log, stream, from, back, done] {
    auto answer = Read(log, stream, from, timeline.now_);
    At(timeline, timeline.now_ + back,
       [done, answer = std::move(answer)]() mutable { done(std::move(answer)); });
  });
}

void SendAppend(Timeline& timeline, FakeLog& log, core::Random& random, bool cut,
                const std::string& stream, std::string data,
                const platform::LogAppendCallback& done) {
  const core::TimePoint sent = timeline.now_;
  const bool down = cut || IsDown(log, sent);
  if (down && Chance(random, 50)) {
    At(timeline, sent + core::Milliseconds(5),
       [done] { done({.verdict_ = core::Verdict::kNotRun, .offset_ = 0, .reason_ = "refused"}); });
    return;
  }
  const bool late = Chance(random, log.late_appends_);
  const bool lost = down || late || Chance(random, log.lost_answers_);
  const core::Milliseconds there = late ? Between(random, 5000, 20000) : Delay(log, random, sent);
  if (late) {
    log.late_until_ = std::max(log.late_until_, sent + there);
  }
  if (!down || late) {
    At(timeline, sent + there, [&timeline, &log, stream, data = std::move(data)]() mutable {
      Append(log, stream, std::move(data), timeline.now_);
    });
  }
  const core::TimePoint answered = sent + there + Delay(log, random, sent);
  At(timeline, lost ? sent + kAppendTimeout : answered, [done, lost] {
    done(lost ? NoAnswer() : platform::AppendAnswer{.verdict_ = core::Verdict::kRan});
  });
}

}  // namespace laburnumledge::cluster
