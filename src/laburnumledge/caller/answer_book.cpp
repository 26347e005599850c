#include "laburnumledge/caller/answer_book.hpp"

#include <utility>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::caller {

namespace {

constexpr unsigned kConflict = 409;
constexpr std::size_t kMaxWaiting = 16;

void Drop(AnswerBook& book, const routing::IdKey& key) {
  const auto found = book.taken_.find(key);
  book.by_end_.erase({found->second.forget_at_, key});
  if (found->second.reply_.has_value()) {
    book.kept_bytes_ -= found->second.reply_->body_.size();
  }
  book.taken_.erase(found);
}

void ForgetEnded(AnswerBook& book, core::TimePoint now) {
  while (!book.by_end_.empty() && book.by_end_.begin()->first <= now) {
    Drop(book, book.by_end_.begin()->second);
  }
}

}  // namespace

std::uint64_t Fingerprint(std::string_view method, std::string_view target,
                          std::string_view body) noexcept {
  return core::Hash(body, core::Hash(target, core::Hash(method)));
}

bool AnswerRepeat(AnswerBook& book, const routing::IdKey& key, std::uint64_t fingerprint,
                  const http::Respond& respond, core::TimePoint now) {
  ForgetEnded(book, now);
  const auto found = book.taken_.find(key);
  if (found == book.taken_.end()) {
    return false;
  }
  TakenRequest& taken = found->second;
  if (taken.fingerprint_ != fingerprint) {
    respond(RepeatRefusal("this Request-Id was used for another request"));
  } else if (taken.under_way_ && taken.waiting_.size() < kMaxWaiting) {
    taken.waiting_.push_back(respond);
  } else if (taken.reply_.has_value()) {
    respond(*taken.reply_);
  } else {
    respond(RepeatRefusal("this request was sent before and its answer was not kept"));
  }
  return true;
}

void TakeRequest(AnswerBook& book, const routing::IdKey& key, std::uint64_t fingerprint,
                 std::uint64_t token, core::TimePoint forget_at) {
  TakenRequest taken{.fingerprint_ = fingerprint, .token_ = token, .forget_at_ = forget_at};
  const bool added = book.taken_.emplace(key, std::move(taken)).second;
  LABURNUMLEDGE_ASSERT(added, "a request that is not repeatable is taken once");
  book.by_end_.emplace(forget_at, key);
}

void WaitForOwner(AnswerBook& book, const routing::IdKey& key) {
  const auto found = book.taken_.find(key);
  if (found != book.taken_.end()) {
    found->second.waits_for_owner_ = true;
  }
}

bool WaitsForOwner(const AnswerBook& book, const routing::IdKey& key) {
  const auto found = book.taken_.find(key);
  return found != book.taken_.end() && found->second.under_way_ && found->second.waits_for_owner_;
}

void EndRequest(AnswerBook& book, const routing::IdKey& key, bool not_run,
                const http::Reply& reply) {
  const auto found = book.taken_.find(key);
  if (found == book.taken_.end()) {
    return;
  }
  TakenRequest& taken = found->second;
  const std::vector<http::Respond> waiting = std::move(taken.waiting_);
  taken.waiting_.clear();
  taken.under_way_ = false;
  const std::size_t bytes = reply.body_.size();
  if (not_run) {
    Drop(book, key);
  } else if (bytes <= book.max_answer_bytes_ && book.kept_bytes_ + bytes <= book.max_kept_bytes_) {
    taken.reply_ = reply;
    book.kept_bytes_ += bytes;
  }
  for (const http::Respond& respond : waiting) {
    respond(reply);
  }
}

http::Reply RepeatRefusal(std::string_view reason) {
  return http::ProblemReply(kConflict, core::Verdict::kMayHaveRun, reason);
}

}  // namespace laburnumledge::caller
