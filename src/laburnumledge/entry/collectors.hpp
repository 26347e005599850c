#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace laburnumledge::entry {

/** @brief Number of nodes that commit the submissions of all while appends are slow: two, so that
 * the loss of one stops no submission. */
inline constexpr std::size_t kCollectors = 2;

/**
 * @brief Chooses the node that commits a job's record while appends are slow.
 *
 * The collectors are the nodes of highest rendezvous weight, so that nodes that know the same
 * others choose the same ones, and the loss of a node changes no other choice. Jobs are spread over
 * them.
 * @param self Name of this node.
 * @param others Names of the other nodes that answer, in any order.
 * @param job Identifier of the job.
 * @return Name of the collector; `self` if this node is one, or knows no other.
 */
[[nodiscard]] std::string ChooseCollector(const std::string& self,
                                          const std::vector<std::string>& others,
                                          std::string_view job);

}  // namespace laburnumledge::entry
