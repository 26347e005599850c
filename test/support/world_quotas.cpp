#include <fmt/core.h>

#include <algorithm>

#include "support/world.hpp"

namespace laburnumledge::support {

namespace {

/** How long an earlier configuration may be in force after another one was published. */
constexpr core::Milliseconds kBothInForce{3000};

}  // namespace

/** Publishes other quotas through the store; the nodes read them up to 1.5 s later. The quotas can
 * be too small for a gang, but not once it is calm. */
void World::PublishQuotas(bool calm) {
  constexpr std::uint32_t kLargestGangGpus = 16;
  PublishedQuotas published{.published_ = std::max(now_, outage_until_), .organisations_ = {}};
  for (std::uint32_t number = 0; number < kOrganisations; ++number) {
    site::Organisation organisation{
        .name_ = fmt::format("o{}", number), .guaranteed_gpus_ = 4, .weight_ = number};
    organisation.quota_.gpus_ =
        static_cast<std::int64_t>(calm ? kLargestGangGpus : 4 + random_(kLargestGangGpus));
    organisation.quota_.cpu_millis_ = 10000 * static_cast<std::int64_t>(calm ? 8 : 2 + random_(8));
    published.organisations_.push_back(std::move(organisation));
  }
  quotas_.push_back(published);
  Schedule(published.published_ + RandomDuration(5, 1500),
           [this, version = quotas_.size(), organisations = published.organisations_] {
             if (version < rules_.configuration_.version_) {
               return;
             }
             rules_.configuration_.version_ = version;
             rules_.configuration_.organisations_ = organisations;
             if (leader_ != nullptr) {
               leader_->dispatcher_->SetRules(rules_);
               Pump(leader_);
             }
           });
}

site::Resources World::HighestQuota(const std::string& name) const {
  site::Resources highest;
  for (std::size_t version = 0; version < quotas_.size(); ++version) {
    const bool outdated =
        version + 1 < quotas_.size() && now_ > quotas_[version + 1].published_ + kBothInForce;
    for (const site::Organisation& organisation : quotas_[version].organisations_) {
      if (!outdated && organisation.name_ == name) {
        highest.cpu_millis_ = std::max(highest.cpu_millis_, organisation.quota_.cpu_millis_);
        highest.memory_mb_ = std::max(highest.memory_mb_, organisation.quota_.memory_mb_);
        highest.gpus_ = std::max(highest.gpus_, organisation.quota_.gpus_);
      }
    }
  }
  return highest;
}

}  // namespace laburnumledge::support
