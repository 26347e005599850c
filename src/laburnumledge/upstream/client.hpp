#pragma once

#include <functional>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/routing/router.hpp"

namespace laburnumledge::upstream {

/** @brief A caller's request on its way to an instance. */
struct Forward {
  std::string id_;
  std::string organisation_;
  std::string class_;
  std::string method_;
  std::string path_;  ///< Begins with a slash; may hold a query.
  std::string content_type_;
  std::string body_;
  core::TimePoint deadline_;
};

/** @brief What became of one attempt. */
struct Answer {
  routing::Ending ending_{routing::Ending::kBroken};
  core::Verdict verdict_{core::Verdict::kMayHaveRun};
  unsigned status_{};
  std::string content_type_;
  std::string body_;
  std::string reason_;
};

/**
 * @brief Judges an instance's response: whole, its own, and what it says of having run.
 * @param request_id Identifier that the answer must carry back.
 * @param response What the client received.
 */
[[nodiscard]] Answer Judge(const std::string& request_id, http::Response response);

/** @brief Sends one attempt. The function is called once. */
http::CallId Send(http::Client& client, const Forward& forward, const routing::Dispatch& dispatch,
                  std::function<void(Answer)> done);

}  // namespace laburnumledge::upstream
