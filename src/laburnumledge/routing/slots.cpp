#include "laburnumledge/routing/slots.hpp"

#include <algorithm>

#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::routing {

std::vector<std::uint32_t> OwnedSlotNumbers(const config::Instance& instance, std::string_view self,
                                            const std::vector<std::string>& nodes) {
  std::vector<std::uint32_t> owned;
  for (std::uint32_t slot = 0; slot < instance.slots_; ++slot) {
    const std::string key = instance.name_ + "/" + std::to_string(slot);
    const std::size_t owner = core::RendezvousOwner(key, nodes);
    if (owner != core::kNoOwner && nodes[owner] == self) {
      owned.push_back(slot);
    }
  }
  return owned;
}

void TakeSlots(Target& target, const std::vector<std::uint32_t>& owned, core::TimePoint usable_at) {
  std::vector<OwnedSlot> slots;
  for (const std::uint32_t number : owned) {
    const auto known = std::find_if(target.slots_.begin(), target.slots_.end(),
                                    [&](const OwnedSlot& slot) { return slot.number_ == number; });
    const bool kept = known != target.slots_.end();
    slots.push_back({.number_ = number, .usable_at_ = kept ? known->usable_at_ : usable_at});
  }
  target.slots_ = std::move(slots);
}

std::uint32_t UsableSlots(const Target& target, core::TimePoint now) noexcept {
  const auto usable = std::count_if(target.slots_.begin(), target.slots_.end(),
                                    [&](const OwnedSlot& slot) { return slot.usable_at_ <= now; });
  const auto is_open = [&](core::TimePoint until) { return until > now; };
  const auto lent = std::count_if(target.lent_until_.begin(), target.lent_until_.end(), is_open);
  const auto borrowed =
      std::count_if(target.borrowed_until_.begin(), target.borrowed_until_.end(), is_open);
  return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(0, usable - lent) + borrowed);
}

bool LendSlot(Target& target, core::TimePoint until, core::TimePoint now) {
  ForgetOldLoans(target, now);
  if (!target.borrowed_until_.empty() || target.outstanding_ >= UsableSlots(target, now)) {
    return false;
  }
  target.lent_until_.push_back(until);
  return true;
}

void TakeBackSlot(Target& target) noexcept {
  if (!target.lent_until_.empty()) {
    target.lent_until_.erase(target.lent_until_.begin());
  }
}

void AddBorrowedSlot(Target& target, core::TimePoint until) {
  target.borrowed_until_.push_back(until);
}

bool GiveUpBorrowedSlot(Target& target, core::TimePoint now) noexcept {
  const bool idle = target.outstanding_ < UsableSlots(target, now);
  if (!idle || target.borrowed_until_.empty()) {
    return false;
  }
  target.borrowed_until_.erase(target.borrowed_until_.begin());
  return true;
}

void ForgetOldLoans(Target& target, core::TimePoint now) {
  const auto has_ended = [&](core::TimePoint until) { return until <= now; };
  std::erase_if(target.lent_until_, has_ended);
  std::erase_if(target.borrowed_until_, has_ended);
}

std::uint32_t ConnectionShare(std::uint32_t connections, std::size_t nodes) noexcept {
  const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(1, nodes));
  return std::max(1U, connections / count);
}

}  // namespace laburnumledge::routing
