// The cases. Each returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
#pragma once

#include "site.hpp"

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

using Case = std::function<int(Site&, bool)>;

const std::map<std::string, Case>& Cases();

}  // namespace review
