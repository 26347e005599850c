#include "laburnumledge/platform/json.hpp"

#include <cmath>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::platform {

namespace {

const nlohmann::json* Find(const nlohmann::json& object, const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

}  // namespace

std::optional<nlohmann::json> ParseObject(std::string_view text) {
  nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  if (object.is_discarded()) {
    return core::Fail("not JSON");
  }
  if (!object.is_object()) {
    return core::Fail("not a JSON object");
  }
  return object;
}

std::optional<std::string> Text(const nlohmann::json& object, const char* name) {
  const nlohmann::json* member = Find(object, name);
  if (member == nullptr || !member->is_string()) {
    return std::nullopt;
  }
  return member->get<std::string>();
}

std::optional<std::int64_t> Integer(const nlohmann::json& object, const char* name) {
  const nlohmann::json* member = Find(object, name);
  if (member == nullptr || !member->is_number()) {
    return std::nullopt;
  }
  if (member->is_number_float()) {
    constexpr double kLargestExact = 9007199254740992.0;
    const double value = member->get<double>();
    if (!(std::abs(value) <= kLargestExact)) {
      return std::nullopt;
    }
    return static_cast<std::int64_t>(value);
  }
  return member->get<std::int64_t>();
}

std::optional<std::uint64_t> Unsigned(const nlohmann::json& object, const char* name) {
  const std::optional<std::int64_t> value = Integer(object, name);
  if (!value.has_value() || *value < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(*value);
}

std::optional<double> Number(const nlohmann::json& object, const char* name) {
  const nlohmann::json* member = Find(object, name);
  if (member == nullptr || !member->is_number()) {
    return std::nullopt;
  }
  return member->get<double>();
}

bool Flag(const nlohmann::json& object, const char* name) {
  const nlohmann::json* member = Find(object, name);
  return member != nullptr && member->is_boolean() && member->get<bool>();
}

const nlohmann::json* Member(const nlohmann::json& object, const char* name) {
  const nlohmann::json* member = Find(object, name);
  return member != nullptr && member->is_structured() ? member : nullptr;
}

}  // namespace laburnumledge::platform
