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

/** @brief Answer to a conditional read of the list. */
struct VmListAnswer {
  std::string tag_;             ///< Names this version of the list; empty if the platform has none.
  std::optional<VmList> list_;  ///< Empty if it is the version that was named.
};

/** @brief Judges the platform's response. Empty with the last reason if it holds no list. */
[[nodiscard]] std::optional<VmListAnswer> ParseVmListResponse(const std::string& tag,
                                                              const http::Response& response);

/**
 * @brief Reads the list if it changed.
 * @param client Sends the call; must outlive it.
 * @param platform Address of the platform.
 * @param tag Tag of the version that the caller has; empty for none.
 * @param deadline When the call is given up.
 * @param done Gets the answer, or empty with the last reason.
 */
void ReadVmList(http::Client& client, const config::Address& platform, const std::string& tag,
                core::TimePoint deadline, std::function<void(std::optional<VmListAnswer>)> done);

}  // namespace laburnumledge::platform
