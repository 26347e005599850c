#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/routing/target.hpp"

namespace laburnumledge::routing {

/** @brief Numbers of an instance's slots that rendezvous hashing gives to a node. */
[[nodiscard]] std::vector<std::uint32_t> OwnedSlotNumbers(const config::Instance& instance,
                                                          std::string_view self,
                                                          const std::vector<std::string>& nodes);

/**
 * @brief Takes over a new division of an instance's slots.
 * @param target The instance.
 * @param owned Numbers of the slots that this node owns now.
 * @param usable_at When a slot that was not owned before may be used: its last owner may not have
 * heard of the change before.
 */
void TakeSlots(Target& target, const std::vector<std::uint32_t>& owned, core::TimePoint usable_at);

/** @brief Slots that this node may use now: owned, out of quarantine, not lent, and borrowed. */
[[nodiscard]] std::uint32_t UsableSlots(const Target& target, core::TimePoint now) noexcept;

/**
 * @brief Lends a free slot of an instance to a peer.
 * @return False if none is free. A borrowed slot is never lent on.
 */
[[nodiscard]] bool LendSlot(Target& target, core::TimePoint until, core::TimePoint now);

/** @brief Takes back a slot that was lent. */
void TakeBackSlot(Target& target) noexcept;

/** @brief Notes a slot that a peer lent to this node. */
void AddBorrowedSlot(Target& target, core::TimePoint until);

/**
 * @brief Gives up one borrowed slot that no request uses.
 * @return False if there is none.
 */
[[nodiscard]] bool GiveUpBorrowedSlot(Target& target, core::TimePoint now) noexcept;

/** @brief Forgets loans that have ended. */
void ForgetOldLoans(Target& target, core::TimePoint now);

/** @brief Connections that one of a number of nodes may hold to an instance. */
[[nodiscard]] std::uint32_t ConnectionShare(std::uint32_t connections, std::size_t nodes) noexcept;

}  // namespace laburnumledge::routing
