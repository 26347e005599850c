#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumledge::config::internal {

/** @brief Deepest nesting of objects and lists that a document may have. */
inline constexpr std::size_t kMaxDepth = 32;

/** @brief Most errors that are reported of one document. */
inline constexpr std::size_t kMaxErrors = 50;

/** @brief One error of a document. */
struct DocumentError {
  std::string path_;    ///< JSON pointer; empty for the whole document.
  std::string text_;    ///< What was expected, and what was found.
  std::size_t line_{};  ///< 0 if it is to be found by the path.
};

/** @brief Errors of one file, each with its place. */
struct Errors {
  std::string file_;
  std::vector<DocumentError> found_;
  std::size_t left_out_{};  ///< Errors beyond the limit.

  /** @brief Adds an error at a path of the document. */
  void Add(std::string_view path, std::string_view text, std::size_t line = 0);

  /** @brief Whether there is none. */
  [[nodiscard]] bool Empty() const noexcept { return found_.empty(); }
};

/** @brief A member's name as one step of a JSON pointer. */
[[nodiscard]] std::string EscapeStep(std::string_view name);

/**
 * @brief Parses JSON with comments; refuses deep nesting and members that stand twice.
 * @param text The document.
 * @param errors Receives what does not hold.
 * @return The document, or empty with at least one error added.
 */
[[nodiscard]] std::optional<nlohmann::json> ParseJson(std::string_view text, Errors& errors);

/**
 * @brief Every error, one a line: file, line, path and text, in the order of the lines.
 * @param errors The errors.
 * @param text The document that they were found in.
 */
[[nodiscard]] std::string DescribeErrors(const Errors& errors, std::string_view text);

/**
 * @brief Finds the lines of places in a document.
 * @param text The document; JSON with comments.
 * @param paths JSON pointers.
 * @return Line of each path, counted from 1; of its nearest parent if it does not exist.
 */
[[nodiscard]] std::map<std::string, std::size_t> FindLines(std::string_view text,
                                                           const std::set<std::string>& paths);

}  // namespace laburnumledge::config::internal
