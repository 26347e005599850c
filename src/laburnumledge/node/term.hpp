#pragma once

#include <string>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/node/decider.hpp"
#include "laburnumledge/node/replica.hpp"
#include "laburnumledge/peer/membership.hpp"

namespace laburnumledge::node {

/** @brief What a node looks at to decide whether it takes or keeps its region's term. */
struct TermView {
  const Replica& replica_;
  const peer::Membership& membership_;
  const std::vector<std::string>& candidates_;  ///< Sorted; see Candidates.
  core::TimePoint started_;                     ///< Start of this process.
  core::Milliseconds peer_timeout_;
};

/**
 * @brief Nodes that may have roles: live, not draining, in a zone that is in.
 *
 * If no zone of a live node is in, all of them may: somebody has to stop the work there.
 *
 * @param membership Live view.
 * @param zone Zone of this node.
 * @param draining Whether this node shuts down.
 * @param zones_out Zones that are out.
 * @param now Current time.
 */
[[nodiscard]] std::vector<std::string> Candidates(const peer::Membership& membership,
                                                  const std::string& zone, bool draining,
                                                  const std::vector<std::string>& zones_out,
                                                  core::TimePoint now);

/**
 * @brief Whether this node should claim the next term now.
 *
 * The holder must be silent both among the peers and in the log, so that a node that hears no
 * other node does not take the term away from a holder that works.
 */
[[nodiscard]] bool ClaimIsDue(const TermView& view, core::TimePoint now);

/** @brief Whether the holder should show in the log that it lives: some peer may not hear it. */
[[nodiscard]] bool KeepIsDue(const TermView& view, core::TimePoint now);

/** @brief Whether the holder should give its term up. */
[[nodiscard]] bool ReleaseIsDue(const TermView& view);

/** @brief Record that claims the next term. */
[[nodiscard]] proto::Record MakeClaim(const Decider& decider, const state::State& state,
                                      core::Random& random, core::TimePoint now);

}  // namespace laburnumledge::node
