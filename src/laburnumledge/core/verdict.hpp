#pragma once

#include <optional>
#include <string_view>

namespace laburnumledge::core {

/** @brief What is known about the execution of a request or a job. */
enum class Verdict : unsigned char {
  kNotRun,      ///< The work has not run and will not run.
  kMayHaveRun,  ///< The work may have run, or may still run.
  kRan,         ///< The work has run, and its complete answer is known.
};

/**
 * @brief Whether a request or a job may be sent again.
 * @param verdict What is known about the earlier attempt.
 * @param repeatable Whether the client marked the work as idempotent.
 * @return True if another attempt can't break the at-most-once guarantee.
 */
[[nodiscard]] constexpr bool MayRetry(Verdict verdict, bool repeatable) noexcept {
  return verdict == Verdict::kNotRun || (verdict == Verdict::kMayHaveRun && repeatable);
}

/** @brief Name of a verdict in the API: `not-run`, `may-have-run` or `ran`. */
[[nodiscard]] std::string_view ToString(Verdict verdict) noexcept;

/** @brief Parses a name that ToString returns; empty for any other text. */
[[nodiscard]] std::optional<Verdict> ParseVerdict(std::string_view text) noexcept;

}  // namespace laburnumledge::core
