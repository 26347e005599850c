#include "mutation.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace laburnumledge::input {

namespace {

constexpr std::size_t kMaxPosition = 4096;
constexpr const char* kDefaultRuns = "4000";
constexpr std::size_t kMaxLength = 24;

const std::array<std::string, 36>& Pieces() {
  static const std::array<std::string, 36> pieces = {"",
                                                     "{",
                                                     "}",
                                                     "[",
                                                     "]",
                                                     ",",
                                                     ":",
                                                     "\"",
                                                     "null",
                                                     "true",
                                                     "-1",
                                                     "0",
                                                     "1",
                                                     "64",
                                                     "65",
                                                     "1e400",
                                                     "0.5",
                                                     "99999999999999999999",
                                                     "18446744073709551616",
                                                     "-9223372036854775809",
                                                     "\"\"",
                                                     "\"a\"",
                                                     "\"b\"",
                                                     "\"\\ud800\"",
                                                     "\"\xff\xfe\"",
                                                     "\xc3\x28",
                                                     "// x\n",
                                                     "/* ",
                                                     "\\",
                                                     std::string(1, '\0'),
                                                     std::string(200, '['),
                                                     std::string(3000, 'a'),
                                                     "\"name\":\"a\",",
                                                     "\"10.0.0.1:80\"",
                                                     "\"zones\":[\"a\"],",
                                                     "\n"};
  return pieces;
}

std::string FromEnvironment(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

rc::Gen<Edit> AnyEdit() {
  return rc::gen::build<Edit>(
      rc::gen::set(&Edit::position_, rc::gen::inRange<std::size_t>(0, kMaxPosition)),
      rc::gen::set(&Edit::length_, rc::gen::inRange<std::size_t>(0, kMaxLength)),
      rc::gen::set(&Edit::piece_, rc::gen::inRange<std::size_t>(0, Pieces().size())));
}

}  // namespace

std::string Mutate(std::string_view text, const std::vector<Edit>& edits) {
  std::string changed(text);
  for (const Edit& edit : edits) {
    const std::size_t position = edit.position_ % (changed.size() + 1);
    const std::size_t length = std::min(edit.length_, changed.size() - position);
    changed.replace(position, length, Pieces()[edit.piece_]);
  }
  return changed;
}

std::string_view WholeConfiguration() {
  return R"({"inventory": {
 "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
 "racks": [{"name": "a-1", "zone": "a"}, {"name": "b-1", "zone": "b"}],
 "workers": [
  {"name": "w-1", "rack": "a-1", "address": "10.0.0.1:80", "accelerators": 8, "cores": 64, "memory_mb": 1024},
  {"name": "w-2", "rack": "b-1", "address": "10.0.0.2:80", "accelerators": 8, "cores": 64, "memory_mb": 1024}],
 "instances": [{"name": "i-1", "service": "s", "zone": "b", "address": "10.0.0.3:80", "slots": 8}],
 "vms": [{"name": "vm-1", "zone": "a", "address": "10.0.0.4:7000"}]},
"rules": {
 "organisations": [{"name": "o", "quota_accelerators": 16, "zones": ["a"],
  "guarantees": [{"cell": "quad", "count": 1, "zones": ["a"]}]}],
 "services": [{"name": "s", "classes": [{"name": "counter", "interactive": true}]}],
 "loan_notice_ms": 30000}}
)";
}

std::string_view WholeSettings() {
  return R"({"name": "n", "region": "r", "zone": "a", "callers": "127.0.0.1:8080",
 "peers": "127.0.0.1:7000", "platform": "127.0.0.1:9000", "log_level": "info",
 "seeds": [{"name": "m", "peers": "127.0.0.1:7001"}], "max_body_bytes": 1000,
 "lease_length_ms": 20000, "exchange_interval_ms": 500, "peer_timeout_ms": 3000}
)";
}

std::string_view WholeJob() {
  return R"({"organisation": "o", "kind": "k", "urgent": false, "tasks": 4, "accelerators": 8,
 "cores": 16, "memory_mb": 100, "adjacency": "rack", "zones": ["a"], "repeatable": true,
 "checkpointable": true, "declared_runtime_ms": 1000, "command": "c"}
)";
}

bool Holds(const std::string& name, const std::function<void(const std::vector<Edit>&)>& property) {
  const std::string parameters =
      "seed=" + FromEnvironment("LABURNUMLEDGE_SEED", "1") +
      " max_success=" + FromEnvironment("LABURNUMLEDGE_RUNS", kDefaultRuns);
  setenv("RC_PARAMS", parameters.c_str(), 1);
  return rc::check(name, [&] {
    property(*rc::gen::resize(20, rc::gen::container<std::vector<Edit>>(AnyEdit())));
  });
}

}  // namespace laburnumledge::input
