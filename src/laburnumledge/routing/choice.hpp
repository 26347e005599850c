#pragma once

#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/routing/request.hpp"
#include "laburnumledge/routing/target.hpp"

namespace laburnumledge::routing {

/** @brief Chooses among instances that all have a free slot; the list is not empty. */
using Choose = Target* (*)(const std::vector<Target*>& free, core::Random& random);

/** @brief The instance that is expected to end one more request first. */
[[nodiscard]] Target* ChooseLeastWork(const std::vector<Target*>& free, core::Random& random);

/** @brief Whether an instance may get requests at all: zone, VM list and its own word. */
[[nodiscard]] bool IsMember(const Target& target) noexcept;

/** @brief Requests that an instance may have from this node at once now. */
[[nodiscard]] std::uint32_t CurrentLimit(const Target& target, double typical,
                                         core::TimePoint now) noexcept;

/**
 * @brief Instances of a service with a free slot.
 * @param targets Every instance of the service.
 * @param now Current time.
 * @return Those that may get a request. Instances ejected for failures are left out, unless they
 * are more than a third of the service: then the ones ejected longest ago are tried all the same.
 */
[[nodiscard]] std::vector<Target*> FreeTargets(const std::vector<Target*>& targets,
                                               core::TimePoint now);

/** @brief What an attempt that ended tells of its instance. */
struct Lesson {
  Ending ending_{};
  bool used_idle_{};      ///< It may have used a connection that was idle.
  double time_ratio_{1};  ///< Time taken against the mean of its organisation and class.
};

/** @brief Learns from an attempt that ended. */
void LearnFromEnding(Target& target, const Lesson& lesson, core::TimePoint now);

/** @brief Takes over what the newest VM list says of an instance. */
void LearnFromList(Target& target, bool live, bool leaving, core::TimePoint now) noexcept;

}  // namespace laburnumledge::routing
