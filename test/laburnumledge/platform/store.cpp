#include "laburnumledge/platform/store.hpp"

#include <doctest/doctest.h>

#include <string>

namespace laburnumledge::platform::internal {

namespace {

std::string Framed(const std::string& content) {
  return std::string(3, '\0') + static_cast<char>(content.size()) + content;
}

std::string Offsets(char end) { return std::string(7, '\0') + end + std::string(8, '\0'); }

}  // namespace

// Guards against a reader that stops following a stream because one record of another writer has no
// key, or is shorter than its key (operators' report on odd entries, LOST).
TEST_CASE("a record that can't be read doesn't hold back the records after it") {
  const std::string good = std::string("\x03") + "w-1" + "{}";
  const std::string body = Offsets(4) + Framed("") +
                           Framed(
                               "\x09"
                               "w-2") +
                           Framed(good);
  const auto result = ParseReadBody(body, 1);
  REQUIRE(result.has_value());
  REQUIRE(result->records_.size() == 1);
  CHECK(result->records_[0].offset_ == 3);
  CHECK(result->records_[0].record_.key_ == "w-1");
  CHECK(result->next_ == 4);
}

// Guards against a takeover that never gets past a page of the list with one odd item.
TEST_CASE("an item that can't be read doesn't hold back the rest of its page") {
  const auto result = ParseNewestBody(
      R"({"items":[{"key":"a","value":"e30=","offset":1},{"value":"e30="},17,
          {"key":"b","value":7},{"key":"c","value":"e30=","offset":3},{"key":"d","value":"%%"}],
          "has_more":true,"end_offset":9})");
  REQUIRE(result.has_value());
  REQUIRE(result->records_.size() == 3);
  CHECK(result->records_[0].record_.key_ == "a");
  CHECK(result->records_[1].record_.key_ == "b");  // Without a value, as a removed key.
  CHECK(result->records_[2].record_.key_ == "c");
  CHECK(result->last_key_ == "d");
}

}  // namespace laburnumledge::platform::internal
