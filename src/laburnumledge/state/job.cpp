#include "laburnumledge/state/job.hpp"

#include <array>

namespace laburnumledge::state {

namespace {

constexpr std::array<std::string_view, 5> kPhaseNames = {"queued", "placed", "started", "stopping",
                                                         "finished"};
constexpr std::array<std::string_view, 5> kOutcomeNames = {"succeeded", "failed", "cancelled",
                                                           "may-have-run", "refused"};

}  // namespace

std::string_view ToString(Phase phase) noexcept { return kPhaseNames[static_cast<size_t>(phase)]; }

std::string_view ToString(Outcome outcome) noexcept {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

}  // namespace laburnumledge::state
