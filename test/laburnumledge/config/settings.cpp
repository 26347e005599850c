#include "laburnumledge/config/settings.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::config {

namespace {

std::string WithMember(const std::string& member) {
  return "{\"name\":\"n\",\"region\":\"r\",\"zone\":\"z\",\"callers\":\"127.0.0.1:8080\",\n"
         "\"peers\":\"127.0.0.1:7000\",\"platform\":\"127.0.0.1:9000\"" +
         member + "}";
}

std::string ReasonFor(const std::string& member) {
  return ParseSettings(WithMember(member), "node.json").has_value() ? "" : core::LastReason();
}

bool Refuses(const std::string& member, const std::string& expected) {
  return ReasonFor(member).find(expected) != std::string::npos;
}

}  // namespace

TEST_CASE("Settings with the required members alone hold") { CHECK(ReasonFor("").empty()); }

TEST_CASE("Intervals that contradict each other are refused") {
  CHECK(Refuses(",\n\"lease_length_ms\":1999",
                "node.json:3: /lease_length_ms: is 1999 ms, expected at least 4 times"));
  CHECK(ReasonFor(",\"lease_length_ms\":2000").empty());
  CHECK(Refuses(",\"peer_timeout_ms\":1000", "/peer_timeout_ms: is 1000 ms"));
  CHECK(Refuses(",\"log_poll_interval_ms\":1001", "/log_poll_interval_ms: is 1001 ms"));
  CHECK(Refuses(",\"shutdown_limit_ms\":100", "/shutdown_limit_ms: is 100 ms"));
}

TEST_CASE("An address or a seed that stands twice is refused") {
  CHECK(
      Refuses(",\"seeds\":[{\"name\":\"a\",\"peers\":\"10.0.0.1:1\"},"
              "{\"name\":\"a\",\"peers\":\"10.0.0.2:1\"}]",
              "/seeds/1/name: \"a\" is used twice"));
  CHECK(
      Refuses(",\"seeds\":[{\"name\":\"a\",\"peers\":\"10.0.0.1:1\"},"
              "{\"name\":\"b\",\"peers\":\"10.0.0.1:1\"}]",
              "/seeds/1/peers: 10.0.0.1:1 is used twice"));
}

TEST_CASE("Numbers out of bounds and unknown levels are refused") {
  CHECK(Refuses(",\"max_body_bytes\":0", "expected a whole number from 1 to"));
  CHECK(Refuses(",\"max_connections\":99999999999999999999", "expected a whole number"));
  CHECK(Refuses(",\"log_level\":\"loud\"", "expected debug, info, warning or error"));
}

TEST_CASE("Addresses are IPv4 numbers with a port") {
  CHECK(ParseAddress("10.1.2.3:65535").has_value());
  for (const char* text : {"10.1.2.3", "10.1.2.3:65536", "10.1.2.3:", "host:1", ":1", "1.2.3:4"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseAddress(text).has_value());
  }
}

}  // namespace laburnumledge::config
