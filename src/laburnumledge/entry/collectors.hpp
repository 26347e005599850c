#pragma once

#include <string>
#include <vector>

namespace laburnumledge::entry {

/**
 * @brief Chooses the node that commits the job records of all while appends are slow.
 *
 * The collector is the node of highest rendezvous weight, so that nodes that know the same others
 * choose the same one, and all choose the same next one when it does not answer. It is one node at
 * a time: each more keeps one more append in the partition's queue. With the leader's writer beside
 * them, two collectors took up to 1,233 ms for an acknowledgement, one took 917 ms.
 * @param self Name of this node.
 * @param others Names of the other nodes that answer, in any order.
 * @return Name of the collector; `self` if that is this node.
 */
[[nodiscard]] std::string ChooseCollector(const std::string& self,
                                          const std::vector<std::string>& others);

}  // namespace laburnumledge::entry
