#include "laburnumledge/site/quota.hpp"

namespace laburnumledge::site {

std::optional<std::size_t> StepBeyondQuota(const ledger::Submission& submission,
                                           const Resources& quota) noexcept {
  for (std::size_t index = 0; index < submission.steps_.size(); ++index) {
    const ledger::Step& step = submission.steps_[index];
    if (!Fits(ledger::RequestedResources(step) * (step.gang_ ? step.count_ : 1), quota)) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace laburnumledge::site
