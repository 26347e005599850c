#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/document.hpp"
#include "laburnumledge/config/settings.hpp"

namespace laburnumledge::config::internal {

/** @brief Reads the members of one JSON object and reports those that are unknown. */
class ObjectReader {
 public:
  /**
   * @param errors Receives every error; must outlive the reader.
   * @param value The value; an error is added if it is no object.
   * @param path Place of the value, such as `/inventory/workers/3`.
   */
  ObjectReader(Errors& errors, const nlohmann::json& value, std::string path);

  /** @brief Reads a text. Left as it is if the member is missing and not required. */
  void Text(const char* key, std::string& target, bool required);

  /** @brief Reads a name that must be there; see core::IsName. */
  void Name(const char* key, std::string& target);

  /** @brief Reads a whole number between two bounds. */
  template <typename Integer>
  void Number(const char* key, Integer& target, std::uint64_t lowest, std::uint64_t highest,
              bool required) {
    std::uint64_t number = target;
    ReadNumber(key, number, lowest, highest, required);
    target = static_cast<Integer>(number);
  }

  /** @brief Reads a length of time in milliseconds. */
  void Interval(const char* key, core::Milliseconds& target, bool required);

  /** @brief Reads a truth value. */
  void Bool(const char* key, bool& target);

  /** @brief Reads `ip:port`. */
  void AddressOf(const char* key, Address& target, bool required);

  /** @brief Reads a list of texts, each of them once. */
  void Texts(const char* key, std::vector<std::string>& target);

  /** @brief Calls a function with each member of a list and its path. */
  template <typename Function>
  void Each(const char* key, bool required, Function function) {
    const nlohmann::json* list = List(key, required);
    if (list == nullptr) {
      return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
      function((*list)[i], PathOf(key) + "/" + std::to_string(i));
    }
  }

  /** @brief The member of a key, or null. */
  [[nodiscard]] const nlohmann::json* Get(const char* key, bool required);

  /** @brief Place of a member. */
  [[nodiscard]] std::string PathOf(std::string_view key) const;

  /** @brief Adds an error at a member. */
  void Fail(std::string_view key, std::string_view text);

  /** @brief Adds an error for each member that was not read. Call it last. */
  void Finish();

 private:
  const nlohmann::json* List(const char* key, bool required);
  void ReadNumber(const char* key, std::uint64_t& target, std::uint64_t lowest,
                  std::uint64_t highest, bool required);

  Errors& errors_;
  const nlohmann::json* value_{};
  std::string path_;
  std::vector<std::string> known_;
};

}  // namespace laburnumledge::config::internal
