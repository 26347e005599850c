#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::standin {

/** @brief One stream of the log. */
struct Stream {
  std::uint64_t first_{};
  std::deque<std::string> records_;
};

/** @brief Switches of the log's faults. */
struct LogFaults {
  bool down_{};
  core::Milliseconds slow_{};     ///< Delay of each answer.
  std::uint32_t lose_answers_{};  ///< Appends that take effect and are not answered.
};

/** @brief VM as the list shows it. */
struct ListedVm {
  std::string kind_;
  std::string region_;
  std::string zone_;
  std::string address_;
  std::string state_{"live"};
};

/** @brief The platform: append-only log, lagging VM list. */
class Platform {
 public:
  explicit Platform(loop::Loop& loop) : loop_(loop) {}

  /** @brief Lists every instance of a configuration. */
  void ListInstances(const config::Configuration& configuration);

  /** @brief Answers a request. */
  void Handle(const http::Request& request, const http::Respond& respond);

  std::function<std::string(const std::string& job)> audit_;  ///< What happened to a job.

 private:
  void HandleStream(const http::Request& request, const http::Respond& respond);
  void Append(Stream& stream, const http::Request& request, const http::Respond& respond);
  void Read(const Stream& stream, const http::Request& request, const http::Respond& respond);
  void Answer(const http::Respond& respond, http::Reply reply);
  void SetFaults(const http::Request& request, const http::Respond& respond);
  void ChangeVm(const http::Request& request, const http::Respond& respond);
  void ListVms(const http::Request& request, const http::Respond& respond) const;
  [[nodiscard]] std::string VmText() const;

  loop::Loop& loop_;
  std::map<std::string, Stream> streams_;
  std::uint64_t retained_{1000000};
  std::uint64_t appends_{};
  LogFaults faults_;
  std::map<std::string, ListedVm> vms_;
  std::vector<http::Respond> unanswered_;
};

}  // namespace laburnumledge::standin
