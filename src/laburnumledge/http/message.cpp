#include "laburnumledge/http/message.hpp"

#include <strings.h>

#include <nlohmann/json.hpp>

namespace laburnumledge::http {

bool IsNamed(const Field& field, std::string_view name) noexcept {
  return field.name_.size() == name.size() &&
         strncasecmp(field.name_.data(), name.data(), name.size()) == 0;
}

std::optional<std::string_view> Find(const Fields& fields, std::string_view name) noexcept {
  for (const Field& field : fields) {
    if (IsNamed(field, name)) {
      return field.value_;
    }
  }
  return std::nullopt;
}

void Remove(Fields& fields, std::string_view name) {
  std::erase_if(fields, [name](const Field& field) { return IsNamed(field, name); });
}

Reply JsonReply(unsigned status, std::string body) {
  return Reply{.status_ = status,
               .headers_ = {{"Content-Type", "application/json"}},
               .body_ = std::move(body)};
}

Reply ProblemReply(unsigned status, core::Verdict verdict, std::string_view reason,
                   core::Milliseconds retry_after) {
  nlohmann::json body;
  body["status"] = status;
  body["verdict"] = core::ToString(verdict);
  body["reason"] = reason;
  if (retry_after.count() > 0) {
    body["retry_after_ms"] = retry_after.count();
  }
  Reply reply;
  reply.status_ = status;
  reply.headers_ = {{"Content-Type", "application/problem+json"},
                    {"Verdict", std::string(core::ToString(verdict))}};
  reply.body_ = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return reply;
}

}  // namespace laburnumledge::http
