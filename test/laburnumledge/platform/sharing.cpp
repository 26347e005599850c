#include "laburnumledge/platform/sharing.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::platform {

TEST_CASE("interference is off without the contract, and a value that is unknown is an error") {
  // Guards against deployments that are served differently without having asked for it.
  using site::InterferenceMode;
  const auto parse = [](const char* text) {
    return ParseInterferenceMode(nlohmann::json::parse(text));
  };
  CHECK(parse(R"({})") == InterferenceMode::kOff);
  CHECK(parse(R"({"contracts":["jobs"]})") == InterferenceMode::kOff);
  CHECK(parse(R"({"contracts":"sharing"})") == InterferenceMode::kOff);
  CHECK(parse(R"({"contracts":["jobs","sharing"]})") == InterferenceMode::kAvoid);
  CHECK(parse(R"({"contracts":["sharing"],"interference":"off"})") == InterferenceMode::kOff);
  CHECK(parse(R"({"interference":"observe"})") == InterferenceMode::kObserve);
  CHECK(parse(R"({"interference":"avoid"})") == InterferenceMode::kAvoid);
  CHECK_FALSE(parse(R"({"interference":"always"})").has_value());
  CHECK_FALSE(parse(R"({"interference":1})").has_value());
}

}  // namespace laburnumledge::platform
