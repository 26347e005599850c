#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/client.hpp"

namespace laburnumledge::platform {

/** @brief What a VM of the list is. */
enum class VmKind : unsigned char { kNode, kInstance };

/** @brief One VM of the platform's list, which lags. */
struct Vm {
  std::string name_;
  VmKind kind_{VmKind::kNode};
  std::string region_;
  std::string zone_;
  config::Address address_;  ///< Of a node: its peers' address. Of an instance: its HTTP address.
  bool leaving_{};
};

/** @brief The platform's list of live and leaving VMs. */
struct VmList {
  std::vector<Vm> vms_;
};

/** @brief Parses the platform's answer. Empty with the last reason if it is malformed. */
[[nodiscard]] std::optional<VmList> ParseVmList(std::string_view body);

/** @brief Reads the list. The function gets it, or empty with the last reason. */
void ReadVmList(http::Client& client, const config::Address& platform, core::TimePoint deadline,
                std::function<void(std::optional<VmList>)> done);

}  // namespace laburnumledge::platform
