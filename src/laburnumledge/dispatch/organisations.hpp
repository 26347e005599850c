#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/resources.hpp"

namespace laburnumledge::dispatch {

struct Fleet;

/** @brief Position of an organisation in Organisations::all_; stable for a dispatcher's life. */
using OrganisationIndex = std::uint32_t;

/** @brief Index of work that belongs to no organisation: it has no quota. */
inline constexpr OrganisationIndex kNoOrganisation = 0;

/** @brief Limits of one organisation by the newest configuration. */
struct OrganisationLimits {
  std::string name_;
  site::Resources quota_{site::kUnlimited};  ///< Maximum of its runs on all workers together.
  std::int64_t guaranteed_gpus_{};           ///< For its urgent jobs.
  std::uint32_t weight_{};                   ///< Share while the fleet is full; 0 if not given.
};

/**
 * @brief Organisations whose work the dispatcher has seen or that are configured.
 *
 * Organisations are never removed, so that runs keep their index; the number is bounded by the
 * names that configurations have had during a term. Not thread safe.
 */
struct Organisations {
  std::vector<OrganisationLimits> all_{1};
  std::map<std::string, OrganisationIndex, std::less<>> index_by_name_{{"", kNoOrganisation}};
  bool has_quotas_{};      ///< An organisation has a quota.
  bool has_weights_{};     ///< An organisation has a weight.
  bool has_guarantees_{};  ///< An organisation has guaranteed GPUs.
};

/** @brief Index of an organisation; adds it, without limits, if it is not known. */
[[nodiscard]] OrganisationIndex FindOrAddOrganisation(Organisations& organisations,
                                                      std::string_view name);

/** @brief Takes the limits of all organisations from a configuration. Organisations that it does
 * not name have none. */
void ReplaceLimits(Organisations& organisations, const site::Configuration& configuration);

/** @brief Resources in use by one organisation. A run counts from the decision to start it until
 * its worker has listed its end or its lease has expired for certain. */
struct OrganisationUse {
  site::Resources assigned_;   ///< Counted against the capacity of workers; makes up the share.
  site::Resources requested_;  ///< What the tasks ask for; counts against the quota.
  site::Resources stopping_;   ///< Part of `requested_` that is being stopped.
};

/** @brief GPUs that are guaranteed to all organisations together. */
[[nodiscard]] std::int64_t GuaranteedGpus(const Organisations& organisations) noexcept;

/** @brief Whether an organisation's use, which includes a start's needs, keeps the quota in every
 * kind of resource that the start needs. A kind that was overdrawn before by a lower quota does not
 * keep a start from running that needs none of it. */
[[nodiscard]] bool FitsQuota(const site::Resources& needs, const site::Resources& used,
                             const site::Resources& quota) noexcept;

/** @brief Resources in use by organisation index. Linear in the number of runs; without quotas and
 * weights all are zero, as nothing reads them. */
[[nodiscard]] std::vector<OrganisationUse> MeasureOrganisationUse(
    const Organisations& organisations, const Fleet& fleet);

}  // namespace laburnumledge::dispatch
