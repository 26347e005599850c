#include "laburnumledge/platform/vm_list.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::platform {

namespace {

http::Response ResponseOf(unsigned status, const std::string& body) {
  return {.status_ = status, .headers_ = {{"ETag", "\"7\""}}, .body_ = body};
}

}  // namespace

TEST_CASE("a VM list is parsed with its ETag") {
  const auto answer = ParseVmListResponse(
      "", ResponseOf(200, R"({"vms":[{"name":"node-1","kind":"node","region":"iceland",)"
                          R"("zone":"rvk-a","address":"127.0.0.1:9000","state":"leaving"}]})"));
  REQUIRE(answer.has_value());
  CHECK(answer->tag_ == "\"7\"");
  REQUIRE(answer->list_.has_value());
  REQUIRE(answer->list_->vms_.size() == 1);
  CHECK(answer->list_->vms_[0].leaving_);
  CHECK(answer->list_->vms_[0].kind_ == VmKind::kNode);
}

TEST_CASE("an unchanged VM list keeps its ETag and has no body") {
  const auto answer = ParseVmListResponse("\"7\"", ResponseOf(304, ""));
  REQUIRE(answer.has_value());
  CHECK(answer->tag_ == "\"7\"");
  CHECK_FALSE(answer->list_.has_value());
}

TEST_CASE("status 304 without an ETag, error statuses and malformed lists are rejected") {
  CHECK_FALSE(ParseVmListResponse("", ResponseOf(304, "")).has_value());
  CHECK_FALSE(ParseVmListResponse("", ResponseOf(503, "")).has_value());
  CHECK_FALSE(
      ParseVmListResponse("", ResponseOf(200, R"({"vms":[{"name":"node-1"}]})")).has_value());
  CHECK(core::LastReason().find("malformed") != std::string::npos);
}

}  // namespace laburnumledge::platform
