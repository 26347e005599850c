#pragma once

#include <string>
#include <string_view>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/state/job.hpp"

namespace laburnumledge::caller {

/**
 * @brief Tells why a job can never run under a configuration.
 *
 * Zones that are out count as in: they may come back.
 *
 * @param configuration The configuration in force.
 * @param region Region that the job is submitted to.
 * @param spec What the caller asks for.
 * @return Empty text if nothing speaks against the job.
 */
[[nodiscard]] std::string WhyNotAdmitted(const config::Configuration& configuration,
                                         std::string_view region, const state::JobSpec& spec);

}  // namespace laburnumledge::caller
