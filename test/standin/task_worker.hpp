#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "keyed_store.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::standin {

/** @brief What happened to runs on all stand-in workers; judged as it happens. */
struct RunBook {
  std::map<std::string, int> running_;              ///< By task.
  std::map<std::string, int> done_;                 ///< By task.
  std::set<std::string> noted_;                     ///< Tasks whose end as done was taken note of.
  std::map<std::string, std::uint64_t> restarted_;  ///< Newest run after an end as done, by task.
  std::vector<std::string> broken_;                 ///< Rules that were broken.
};

/** @brief Stand-in for a worker of the platform: runs, leases, fences, ends. */
class TaskWorker {
 public:
  /** @param run_time How long a task runs. */
  TaskWorker(loop::Loop& loop, KeyedStore& store, RunBook& book, std::string id,
             std::string address, std::string zone, std::string rack, core::Milliseconds run_time);

  /** @brief Answers one call of the platform's protocol. */
  void Handle(const http::Request& request, const http::Respond& respond);

 private:
  struct Run {
    std::string task_;
    std::uint64_t number_{};
    int gpus_{};
    core::TimePoint began_{};
    core::TimePoint ends_{};
  };
  struct Waiter {
    std::uint64_t last_seen_{};
    http::Respond respond_;
  };

  void Beat();
  void Restart(const nlohmann::json& kind);
  void CheckRoute(const std::string& task);
  void Advance();
  void End(const std::string& task, const char* how);
  void Forget(std::uint64_t last_seen);
  [[nodiscard]] std::int64_t Clock() const;
  [[nodiscard]] http::Reply Start(const nlohmann::json& body);
  [[nodiscard]] http::Reply Stop(const nlohmann::json& body);
  void Hold(const nlohmann::json& body, const http::Respond& respond);
  [[nodiscard]] http::Reply Lists(std::uint64_t last_seen) const;
  void WakeWaiters();

  loop::Loop& loop_;
  KeyedStore& store_;
  RunBook& book_;
  std::string id_;
  std::string address_;
  std::string zone_;
  std::string rack_;
  std::string service_{"grinding"};
  std::string label_{"a"};
  core::Milliseconds run_time_;
  core::TimePoint started_;
  std::int64_t born_{};
  std::uint64_t beats_{};
  std::uint64_t fence_{};
  std::int64_t lease_deadline_{};
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint64_t> highest_;
  std::vector<nlohmann::json> finished_;
  std::uint64_t ends_{};
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t next_waiter_{1};
};

}  // namespace laburnumledge::standin
