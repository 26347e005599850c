#pragma once

#include <optional>
#include <string_view>

namespace laburnumledge::core {

/** @brief What is known of whether a request or a job has run. */
enum class Verdict : unsigned char {
  kNotRun,      ///< It has not run and will not run.
  kMayHaveRun,  ///< It may have run, or may run still.
  kRan,         ///< It has run, and its whole answer is known.
};

/**
 * @brief Decides whether the same work may be sent again.
 * @param verdict What is known of the earlier attempt.
 * @param repeatable Whether the caller marked the work as repeatable (idempotent).
 * @return True if another attempt can't break the at-most-once guarantee.
 */
[[nodiscard]] constexpr bool MayRetry(Verdict verdict, bool repeatable) noexcept {
  return verdict == Verdict::kNotRun || (verdict == Verdict::kMayHaveRun && repeatable);
}

/** @brief Name of a verdict as callers see it: `not-run`, `may-have-run` or `ran`. */
[[nodiscard]] std::string_view ToString(Verdict verdict) noexcept;

/** @brief Inverse of ToString. */
[[nodiscard]] std::optional<Verdict> ParseVerdict(std::string_view text) noexcept;

}  // namespace laburnumledge::core
