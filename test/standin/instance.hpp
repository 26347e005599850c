#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "front.hpp"
#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::standin {

/** @brief Switches of an instance's faults. */
struct InstanceFaults {
  core::Milliseconds slow_{};  ///< Added to each execution.
  bool silent_{};              ///< Takes requests and never answers.
  bool leaving_{};             ///< Refuses everything as not run and leaving.
  std::uint32_t crossed_{};    ///< Answers that carry another request's identifier.
  std::uint32_t late_{};       ///< Answers that come after the execution by late_by_.
  core::Milliseconds late_by_{};
};

/** @brief An instance of a service: 8 slots, executions counted by request identifier. */
class StandinInstance {
 public:
  StandinInstance(loop::Loop& loop, config::Instance spec);

  /** @brief Answers a request. */
  void Handle(http::Request request, http::Respond respond);

  /** @brief Sets where the faults in the bytes are brought about. */
  void SetFront(Front* front) noexcept { front_ = front; }

 private:
  struct Execution {
    http::Request request_;
    http::Respond respond_;
  };

  void StartNext();
  void Finish(const Execution& execution);
  void SetFaults(const http::Request& request, const http::Respond& respond);
  [[nodiscard]] std::string CountsText() const;

  loop::Loop& loop_;
  config::Instance spec_;
  InstanceFaults faults_;
  Front* front_{};
  std::deque<Execution> queue_;
  std::uint32_t busy_{};
  std::uint32_t most_busy_{};
  std::uint32_t most_waiting_{};
  std::map<std::string, std::uint32_t> executions_;
  std::vector<http::Respond> unanswered_;
};

}  // namespace laburnumledge::standin
