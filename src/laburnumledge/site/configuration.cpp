#include "laburnumledge/site/configuration.hpp"

#include <utility>

namespace laburnumledge::site {

void ReplaceConfiguration(Rules& rules, Configuration configuration) {
  rules.configuration_ = std::move(configuration);
  rules.route_by_name_.clear();
  rules.organisation_by_key_.clear();
  const std::vector<Route>& routes = rules.configuration_.routes_;
  for (std::size_t index = 0; index < routes.size(); ++index) {
    rules.route_by_name_.emplace(routes[index].name_, index);
  }
  for (const Organisation& organisation : rules.configuration_.organisations_) {
    for (const std::string& key : organisation.keys_) {
      rules.organisation_by_key_.emplace(key, organisation.name_);
    }
  }
}

const Route* FindRoute(const Rules& rules, std::string_view host, std::string_view path) noexcept {
  const Route* best = nullptr;
  for (const Route& route : rules.configuration_.routes_) {
    const bool matches = route.host_ == host && path.starts_with(route.path_prefix_);
    if (matches && (best == nullptr || best->path_prefix_.size() < route.path_prefix_.size())) {
      best = &route;
    }
  }
  return best;
}

const Route* FindRoute(const Rules& rules, std::string_view name) noexcept {
  const auto found = rules.route_by_name_.find(name);
  return found == rules.route_by_name_.end() ? nullptr
                                             : &rules.configuration_.routes_[found->second];
}

const std::string* FindOrganisation(const Rules& rules, std::string_view key) noexcept {
  const auto found = rules.organisation_by_key_.find(key);
  return found == rules.organisation_by_key_.end() ? nullptr : &found->second;
}

}  // namespace laburnumledge::site
