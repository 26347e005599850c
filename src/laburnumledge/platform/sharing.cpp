#include "laburnumledge/platform/sharing.hpp"

#include <algorithm>

#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/platform/json.hpp"

namespace laburnumledge::platform {

std::optional<site::InterferenceMode> ParseInterferenceMode(const nlohmann::json& settings) {
  using site::InterferenceMode;
  if (!settings.contains("interference")) {
    const nlohmann::json* contracts = Member(settings, "contracts");
    const bool shares =
        contracts != nullptr && contracts->is_array() &&
        std::find(contracts->begin(), contracts->end(), "sharing") != contracts->end();
    return shares ? InterferenceMode::kAvoid : InterferenceMode::kOff;
  }
  const std::optional<std::string> mode = Text(settings, "interference");
  if (mode == "off") {
    return InterferenceMode::kOff;
  }
  if (mode == "observe") {
    return InterferenceMode::kObserve;
  }
  if (mode == "avoid") {
    return InterferenceMode::kAvoid;
  }
  return core::Fail("\"interference\" must be \"off\", \"observe\" or \"avoid\"");
}

}  // namespace laburnumledge::platform
