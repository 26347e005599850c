#include "laburnumledge/config/reader.hpp"

#include <arpa/inet.h>
#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <unordered_set>

#include "laburnumledge/core/name.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::config {

std::string ToString(const Address& address) {
  return fmt::format("{}:{}", address.ip_, address.port_);
}

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return core::Fail("expected IP:PORT, found \"{}\"", text);
  }
  Address address;
  address.ip_ = text.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip_.c_str(), &parsed) != 1) {
    return core::Fail("expected an IPv4 number, found \"{}\"", address.ip_);
  }
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port_);
  if (error != std::errc() || end != port.data() + port.size()) {
    return core::Fail("expected a port from 0 to 65535, found \"{}\"", port);
  }
  return address;
}

}  // namespace laburnumledge::config

namespace laburnumledge::config::internal {

namespace {

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t change = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      row[j] = std::min({above + 1, row[j - 1] + 1, change});
      diagonal = above;
    }
  }
  return row[b.size()];
}

std::string Nearest(std::string_view name, const std::vector<std::string>& known) {
  constexpr std::size_t kLongestName = 64;
  name = name.substr(0, kLongestName);
  const auto nearest =
      std::min_element(known.begin(), known.end(), [&](const std::string& a, const std::string& b) {
        return EditDistance(name, a) < EditDistance(name, b);
      });
  return nearest == known.end() ? std::string() : *nearest;
}

}  // namespace

ObjectReader::ObjectReader(Errors& errors, const nlohmann::json& value, std::string path)
    : errors_(errors), path_(std::move(path)) {
  if (!value.is_object()) {
    errors_.Add(path_, fmt::format("expected an object, found {}", value.type_name()));
    return;
  }
  value_ = &value;
}

std::string ObjectReader::PathOf(std::string_view key) const {
  return fmt::format("{}/{}", path_, EscapeStep(key));
}

void ObjectReader::Fail(std::string_view key, std::string_view text) {
  errors_.Add(PathOf(key), text);
}

const nlohmann::json* ObjectReader::Get(const char* key, bool required) {
  known_.emplace_back(key);
  if (value_ == nullptr) {
    return nullptr;
  }
  const auto found = value_->find(key);
  if (found != value_->end()) {
    return &*found;
  }
  if (required) {
    Fail(key, "is missing");
  }
  return nullptr;
}

void ObjectReader::Text(const char* key, std::string& target, bool required) {
  const nlohmann::json* member = Get(key, required);
  if (member == nullptr) {
    return;
  }
  if (!member->is_string()) {
    Fail(key, fmt::format("expected a text, found {}", member->type_name()));
    return;
  }
  target = member->get<std::string>();
  if (required && target.empty()) {
    Fail(key, "expected a text that is not empty");
  }
}

void ObjectReader::Name(const char* key, std::string& target) {
  std::string text;
  Text(key, text, true);
  if (text.empty()) {
    return;
  }
  if (!core::IsName(text)) {
    Fail(key,
         fmt::format("expected 1 to {} letters, digits or any of - _ . :", core::kMaxNameBytes));
    return;
  }
  target = std::move(text);
}

void ObjectReader::ReadNumber(const char* key, std::uint64_t& target, std::uint64_t lowest,
                              std::uint64_t highest, bool required) {
  const nlohmann::json* member = Get(key, required);
  if (member == nullptr) {
    return;
  }
  const bool fits = member->is_number_unsigned() && member->get<std::uint64_t>() >= lowest &&
                    member->get<std::uint64_t>() <= highest;
  if (!fits) {
    Fail(key, fmt::format("expected a whole number from {} to {}, found {}", lowest, highest,
                          member->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace)));
    return;
  }
  target = member->get<std::uint64_t>();
}

void ObjectReader::Interval(const char* key, core::Milliseconds& target, bool required) {
  constexpr std::uint64_t kWeekMs = 7ULL * 24 * 3600 * 1000;
  auto ms = static_cast<std::uint64_t>(target.count());
  ReadNumber(key, ms, 1, kWeekMs, required);
  target = core::Milliseconds(ms);
}

void ObjectReader::Bool(const char* key, bool& target) {
  const nlohmann::json* member = Get(key, false);
  if (member == nullptr) {
    return;
  }
  if (!member->is_boolean()) {
    Fail(key, fmt::format("expected true or false, found {}", member->type_name()));
    return;
  }
  target = member->get<bool>();
}

void ObjectReader::AddressOf(const char* key, Address& target, bool required) {
  std::string text;
  Text(key, text, required);
  if (text.empty()) {
    return;
  }
  const std::optional<Address> address = ParseAddress(text);
  if (!address.has_value()) {
    Fail(key, core::LastReason());
    return;
  }
  target = *address;
}

void ObjectReader::Texts(const char* key, std::vector<std::string>& target) {
  std::unordered_set<std::string> seen;
  Each(key, false, [&](const nlohmann::json& member, const std::string& path) {
    if (!member.is_string()) {
      errors_.Add(path, fmt::format("expected a text, found {}", member.type_name()));
      return;
    }
    target.push_back(member.get<std::string>());
    if (!seen.insert(target.back()).second) {
      errors_.Add(path, fmt::format("\"{}\" stands twice in this list", target.back()));
    }
  });
}

const nlohmann::json* ObjectReader::List(const char* key, bool required) {
  const nlohmann::json* member = Get(key, required);
  if (member == nullptr) {
    return nullptr;
  }
  if (!member->is_array()) {
    Fail(key, fmt::format("expected a list, found {}", member->type_name()));
    return nullptr;
  }
  return member;
}

void ObjectReader::Finish() {
  if (value_ == nullptr) {
    return;
  }
  for (const auto& [key, member] : value_->items()) {
    if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
      Fail(key,
           fmt::format("is not known; the nearest known name is \"{}\"", Nearest(key, known_)));
    }
  }
}

}  // namespace laburnumledge::config::internal
