#include "laburnumledge/operators/command_line.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace laburnumledge::operators {

namespace {

int Run(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "laburnumledge");
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  return RunCommandLine(static_cast<int>(pointers.size()), pointers.data());
}

constexpr int kOk = static_cast<int>(ExitCode::kOk);
constexpr int kUsage = static_cast<int>(ExitCode::kUsage);
constexpr int kBadInput = static_cast<int>(ExitCode::kBadInput);
constexpr int kUnreachable = static_cast<int>(ExitCode::kUnreachable);

}  // namespace

TEST_CASE("Every command has a help text") {
  CHECK(Run({"--help"}) == kOk);
  for (const char* name : {"serve", "check", "publish", "zone", "status", "job", "request"}) {
    CAPTURE(name);
    CHECK(Run({name, "--help"}) == kOk);
  }
}

TEST_CASE("An invalid command line exits with kUsage") {
  CHECK(Run({}) == kUsage);
  CHECK(Run({"unknown"}) == kUsage);
  CHECK(Run({"check"}) == kUsage);
  CHECK(Run({"check", "a", "b"}) == kUsage);
  CHECK(Run({"status", "--unknown"}) == kUsage);
  CHECK(Run({"status", "--node", "host:80"}) == kUsage);
  CHECK(Run({"publish", "file", "--node", "127.0.0.1:1"}) == kUsage);
  CHECK(Run({"publish", "file", "--replaces", "-1", "--node", "127.0.0.1:1"}) == kUsage);
  CHECK(Run({"zone", "sideways", "a", "--node", "127.0.0.1:1"}) == kUsage);
  CHECK(Run({"job", "submit", "only-id", "--node", "127.0.0.1:1"}) == kUsage);
  CHECK(Run({"job", "where", "--node", "127.0.0.1:1"}) == kUsage);
  CHECK(Run({"job", "where", "/dev/null", "--node", "127.0.0.1:1"}) == kUsage);
  CHECK(Run({"request", "s/p", "--node", "127.0.0.1:1"}) == kUsage);
}

TEST_CASE("An invalid or unreadable file exits with kBadInput") {
  CHECK(Run({"check", "/nonexistent"}) == kBadInput);
  CHECK(Run({"serve", "/nonexistent"}) == kBadInput);
  CHECK(Run({"job", "submit", "a b", "/dev/null", "--node", "127.0.0.1:1"}) == kBadInput);
  CHECK(Run({"job", "where", "/dev/null", "--route", "r", "--node", "127.0.0.1:1"}) == kBadInput);
}

TEST_CASE("A node that refuses the connection makes a command exit with kUnreachable") {
  CHECK(Run({"status", "--node", "127.0.0.1:1"}) == kUnreachable);
  CHECK(Run({"zone", "out", "a", "--node", "127.0.0.1:1"}) == kUnreachable);
  CHECK(Run({"request", "s/p", "--organisation", "o", "--class", "c", "--node", "127.0.0.1:1"}) ==
        kUnreachable);
}

}  // namespace laburnumledge::operators
