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

/** @brief Role of a VM. */
enum class VmKind : unsigned char { kNode, kInstance };

/** @brief One VM of the platform's list. The list lags behind the actual state. */
struct Vm {
  std::string name_;
  VmKind kind_{VmKind::kNode};
  std::string region_;
  std::string zone_;
  config::Address address_;  ///< Node: address for peers. Instance: HTTP address.
  bool leaving_{};
};

/** @brief The platform's list of live and leaving VMs. */
struct VmList {
  std::vector<Vm> vms_;
};

/** @brief Parses the body of the list. Empty with core::LastReason set if it is malformed. */
[[nodiscard]] std::optional<VmList> ParseVmList(std::string_view body);

/** @brief Answer to a conditional read of the list. */
struct VmListAnswer {
  std::string tag_;  ///< ETag of this version of the list; empty if the platform sent none.
  std::optional<VmList> list_;  ///< Empty if the list has not changed since the given tag.
};

/** @brief Parses the response to a conditional read. Empty with core::LastReason set on failure. */
[[nodiscard]] std::optional<VmListAnswer> ParseVmListResponse(const std::string& tag,
                                                              const http::Response& response);

/**
 * @brief Reads the list if it has changed.
 * @param client Must outlive the call.
 * @param platform Address of the platform.
 * @param tag ETag of the version that is known already; empty for none.
 * @param deadline When the call times out.
 * @param done Receives the answer, or empty with core::LastReason set.
 */
void ReadVmList(http::Client& client, const config::Address& platform, const std::string& tag,
                core::TimePoint deadline, std::function<void(std::optional<VmListAnswer>)> done);

}  // namespace laburnumledge::platform
