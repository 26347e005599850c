#include "laburnumledge/dispatch/organisations.hpp"

#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

OrganisationIndex FindOrAddOrganisation(Organisations& organisations, std::string_view name) {
  const auto found = organisations.index_by_name_.find(name);
  if (found != organisations.index_by_name_.end()) {
    return found->second;
  }
  const auto index = static_cast<OrganisationIndex>(organisations.all_.size());
  organisations.all_.push_back({.name_ = std::string(name)});
  organisations.index_by_name_.emplace(name, index);
  return index;
}

void ReplaceLimits(Organisations& organisations, const site::Configuration& configuration) {
  organisations.has_quotas_ = false;
  organisations.has_weights_ = false;
  organisations.has_guarantees_ = false;
  for (OrganisationLimits& limits : organisations.all_) {
    limits = {.name_ = limits.name_};
  }
  for (const site::Organisation& organisation : configuration.organisations_) {
    const OrganisationIndex index = FindOrAddOrganisation(organisations, organisation.name_);
    if (index == kNoOrganisation) {
      continue;
    }
    organisations.all_[index] = {.name_ = organisation.name_,
                                 .quota_ = organisation.quota_,
                                 .guaranteed_gpus_ = organisation.guaranteed_gpus_,
                                 .weight_ = organisation.weight_};
    organisations.has_quotas_ =
        organisations.has_quotas_ || organisation.quota_ != site::kUnlimited;
    organisations.has_weights_ = organisations.has_weights_ || organisation.weight_ > 0;
    organisations.has_guarantees_ =
        organisations.has_guarantees_ || organisation.guaranteed_gpus_ > 0;
  }
}

std::int64_t GuaranteedGpus(const Organisations& organisations) noexcept {
  std::int64_t gpus = 0;
  for (const OrganisationLimits& limits : organisations.all_) {
    gpus += limits.guaranteed_gpus_;
  }
  return gpus;
}

bool FitsQuota(const site::Resources& needs, const site::Resources& used,
               const site::Resources& quota) noexcept {
  const auto fits = [](std::int64_t needed, std::int64_t in_use, std::int64_t limit) {
    return needed == 0 || in_use <= limit;
  };
  return fits(needs.cpu_millis_, used.cpu_millis_, quota.cpu_millis_) &&
         fits(needs.memory_mb_, used.memory_mb_, quota.memory_mb_) &&
         fits(needs.gpus_, used.gpus_, quota.gpus_);
}

std::vector<OrganisationUse> MeasureOrganisationUse(const Organisations& organisations,
                                                    const Fleet& fleet) {
  std::vector<OrganisationUse> use(organisations.all_.size());
  if (!organisations.has_quotas_ && !organisations.has_weights_) {
    return use;
  }
  for (const auto& [id, worker] : fleet.workers_) {
    for (const auto& [run, assigned] : worker.assigned_runs_) {
      OrganisationUse& organisation = use[assigned.organisation_];
      organisation.assigned_ += assigned.needs_;
      organisation.requested_ += RequestedResources(assigned);
      if (internal::IsBeingStopped(assigned)) {
        organisation.stopping_ += RequestedResources(assigned);
      }
    }
  }
  return use;
}

}  // namespace laburnumledge::dispatch
