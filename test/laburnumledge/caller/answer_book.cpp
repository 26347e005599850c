#include "laburnumledge/caller/answer_book.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::caller {

namespace {

const core::TimePoint kNow{};
const core::TimePoint kEnd = kNow + std::chrono::seconds(60);
const routing::IdKey kKey = routing::MakeIdKey("stofn", "r-1");

/** @brief Collects what a repeat is answered. */
struct Caller {
  std::vector<http::Reply> replies_;

  http::Respond Respond() {
    return [this](http::Reply reply) { replies_.push_back(std::move(reply)); };
  }
};

}  // namespace

TEST_CASE("A repeat of a request under way gets the same answer, a later one the kept answer") {
  AnswerBook book;
  Caller caller;
  CHECK_FALSE(AnswerRepeat(book, kKey, 1, caller.Respond(), kNow));
  TakeRequest(book, kKey, 1, 7, kEnd);
  CHECK(AnswerRepeat(book, kKey, 1, caller.Respond(), kNow));
  CHECK(caller.replies_.empty());
  EndRequest(book, kKey, false, {.body_ = "done"});
  CHECK(AnswerRepeat(book, kKey, 1, caller.Respond(), kNow));
  REQUIRE(caller.replies_.size() == 2);
  CHECK(caller.replies_[0].body_ == "done");
  CHECK(caller.replies_[1].body_ == "done");
  CHECK_FALSE(AnswerRepeat(book, kKey, 1, caller.Respond(), kEnd));
}

TEST_CASE("Another request with the same identifier never gets the first one's answer") {
  AnswerBook book;
  Caller caller;
  TakeRequest(book, kKey, 1, 7, kEnd);
  EndRequest(book, kKey, false, {.body_ = "done"});
  CHECK(AnswerRepeat(book, kKey, 2, caller.Respond(), kNow));
  CHECK(caller.replies_.at(0).status_ == 409);
  CHECK(http::Find(caller.replies_[0].headers_, "Verdict") == "may-have-run");
}

TEST_CASE("A request that did not run is forgotten; a large answer is not kept") {
  AnswerBook book;
  Caller caller;
  TakeRequest(book, kKey, 1, 7, kEnd);
  EndRequest(book, kKey, true, {});
  CHECK_FALSE(AnswerRepeat(book, kKey, 1, caller.Respond(), kNow));
  TakeRequest(book, kKey, 1, 8, kEnd);
  EndRequest(book, kKey, false, {.body_ = std::string(book.max_answer_bytes_ + 1, 'x')});
  CHECK(AnswerRepeat(book, kKey, 1, caller.Respond(), kNow));
  CHECK(caller.replies_.at(0).status_ == 409);
  CHECK(book.kept_bytes_ == 0);
}

}  // namespace laburnumledge::caller
