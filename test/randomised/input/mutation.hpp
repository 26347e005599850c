#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumledge::input {

/** @brief One change of a text. */
struct Edit {
  std::size_t position_{};
  std::size_t length_{};  ///< Bytes that are taken out.
  std::size_t piece_{};   ///< Which piece is put in.
};

/** @brief Applies edits one after the other; positions wrap around. */
[[nodiscard]] std::string Mutate(std::string_view text, const std::vector<Edit>& edits);

/** @brief A configuration that holds. */
[[nodiscard]] std::string_view WholeConfiguration();

/** @brief Settings that hold. */
[[nodiscard]] std::string_view WholeSettings();

/** @brief A job that holds. */
[[nodiscard]] std::string_view WholeJob();

/**
 * @brief Runs a property on random edits.
 *
 * LABURNUMLEDGE_RUNS and LABURNUMLEDGE_SEED replace the fixed number of runs and seed of all
 * properties; the seed is printed on failure.
 *
 * @param name What the property says.
 * @param property Called with edits; fails by throwing, as RC_ASSERT does.
 * @return Whether it held in every run.
 */
[[nodiscard]] bool Holds(const std::string& name,
                         const std::function<void(const std::vector<Edit>&)>& property);

}  // namespace laburnumledge::input
