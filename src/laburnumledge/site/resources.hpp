#pragma once

#include <algorithm>
#include <cstdint>

namespace laburnumledge::site {

/** @brief Amount of resources: a worker's capacity or a task's request. */
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

/** @brief Amount that a number of equal tasks need together. */
[[nodiscard]] constexpr Resources operator*(const Resources& each, std::uint32_t count) noexcept {
  return {.cpu_millis_ = each.cpu_millis_ * count,
          .memory_mb_ = each.memory_mb_ * count,
          .gpus_ = each.gpus_ * count};
}

/** @brief Smaller of two amounts, for each kind of resource. */
[[nodiscard]] constexpr Resources ElementwiseMin(const Resources& left,
                                                 const Resources& right) noexcept {
  return {.cpu_millis_ = std::min(left.cpu_millis_, right.cpu_millis_),
          .memory_mb_ = std::min(left.memory_mb_, right.memory_mb_),
          .gpus_ = std::min(left.gpus_, right.gpus_)};
}

/** @brief Whether the free resources satisfy every part of a request. */
[[nodiscard]] constexpr bool Fits(const Resources& needed, const Resources& available) noexcept {
  return needed.cpu_millis_ <= available.cpu_millis_ && needed.memory_mb_ <= available.memory_mb_ &&
         needed.gpus_ <= available.gpus_;
}

/** @brief Amount that stands for no limit: more than any fleet has, and far from an overflow when
 * amounts are added. */
inline constexpr std::int64_t kUnlimitedAmount = std::int64_t{1} << 50U;
inline constexpr Resources kUnlimited{
    .cpu_millis_ = kUnlimitedAmount, .memory_mb_ = kUnlimitedAmount, .gpus_ = kUnlimitedAmount};

/** @brief Cores whose lost work costs as much as that of one GPU, by the platform's prices. */
inline constexpr std::int64_t kCoresPerGpu = 8;

/** @brief Scalar size of an amount in cores, with kCoresPerGpu for each GPU. Ignores memory. */
[[nodiscard]] constexpr double WeightInCores(const Resources& amount) noexcept {
  constexpr double kMillisPerCore = 1000.0;
  return static_cast<double>(amount.cpu_millis_) / kMillisPerCore +
         static_cast<double>(amount.gpus_ * kCoresPerGpu);
}

}  // namespace laburnumledge::site
