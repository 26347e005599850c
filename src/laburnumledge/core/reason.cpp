#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::core {

namespace {

thread_local std::string last_reason;

}  // namespace

const std::string& LastReason() noexcept { return last_reason; }

void SetLastReason(std::string reason) noexcept { last_reason = std::move(reason); }

}  // namespace laburnumledge::core
