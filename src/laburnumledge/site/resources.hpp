#pragma once

#include <cstdint>

namespace laburnumledge::site {

/** @brief Amount of what a worker has or a task needs. */
struct Resources {
  std::int64_t cpu_millis_{};  ///< Thousandths of a core.
  std::int64_t memory_mb_{};
  std::int64_t gpus_{};

  [[nodiscard]] bool operator==(const Resources&) const noexcept = default;

  constexpr Resources& operator+=(const Resources& other) noexcept {
    cpu_millis_ += other.cpu_millis_;
    memory_mb_ += other.memory_mb_;
    gpus_ += other.gpus_;
    return *this;
  }
  constexpr Resources& operator-=(const Resources& other) noexcept {
    cpu_millis_ -= other.cpu_millis_;
    memory_mb_ -= other.memory_mb_;
    gpus_ -= other.gpus_;
    return *this;
  }
};

/** @brief Sum of two amounts. */
[[nodiscard]] constexpr Resources operator+(Resources left, const Resources& right) noexcept {
  return left += right;
}

/** @brief Difference of two amounts; may be negative. */
[[nodiscard]] constexpr Resources operator-(Resources left, const Resources& right) noexcept {
  return left -= right;
}

/** @brief Whether every part of an amount is within another. */
[[nodiscard]] constexpr bool Fits(const Resources& needed, const Resources& room) noexcept {
  return needed.cpu_millis_ <= room.cpu_millis_ && needed.memory_mb_ <= room.memory_mb_ &&
         needed.gpus_ <= room.gpus_;
}

/** @brief Cores that one GPU counts as when work is weighed. Source: the platform's price of lost
 * work. */
inline constexpr std::int64_t kCoresPerGpu = 8;

/** @brief Weight of an amount in cores. */
[[nodiscard]] constexpr double WeightInCores(const Resources& amount) noexcept {
  constexpr double kMillisPerCore = 1000.0;
  return static_cast<double>(amount.cpu_millis_) / kMillisPerCore +
         static_cast<double>(amount.gpus_ * kCoresPerGpu);
}

}  // namespace laburnumledge::site
