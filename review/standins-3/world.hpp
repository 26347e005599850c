#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "standin/keyed_store.hpp"

// A small deployment for the cases of the third review: the platform's store, minions and clients in
// this process, and nodes as processes of the deploy file's program.

namespace review {

namespace core = laburnumledge::core;
namespace http = laburnumledge::http;
namespace standin = laburnumledge::standin;
using Json = nlohmann::json;
using Ms = core::Milliseconds;

/** @brief Bounds of the small site `sites/stofn-sched.toml`, as its settings give them. */
struct Bounds {
  static constexpr Ms kContact{3000};
  static constexpr Ms kFinish{14000};
  static constexpr Ms kLongestLease{6000};
  static constexpr Ms kStopGrace{400};
  static constexpr Ms kGangWait{3000};
  static constexpr Ms kHeartbeat{1500};
  static constexpr Ms kCancel{3000};
};

/** @brief Resources of a task or of a minion. */
struct Amount {
  std::int64_t cpu_{};
  std::int64_t mem_mb_{};
  std::int64_t gpus_{};
};

/** @brief What the world knows of a step that a client has submitted. */
struct StepSpec {
  std::uint32_t count_{};
  Amount needs_;
  bool fills_{};
  bool lasting_{};
  bool gang_{};
};

/** @brief A run of a task on a minion. */
struct Run {
  std::uint64_t number_{};
  core::TimePoint began_;
  core::TimePoint ends_{core::TimePoint::max()};   ///< End as done.
  core::TimePoint stops_{core::TimePoint::max()};  ///< End of a stop.
  bool breaks_{};                                  ///< Another member of its gang has ended.
  bool waits_{};                                   ///< For the other members of its gang.
};

class World;

/** @brief A minion, as PROTOCOL.md describes it; it starts whatever it is told to. */
class Minion {
 public:
  Minion(World& world, int number, Amount capacity);

  /** @brief Reports `draining`, and leaves after some time with all that still runs. */
  void Drain(Ms notice);
  /** @brief Ends without a word. Its entry goes after three heartbeats. */
  void Crash();
  [[nodiscard]] bool IsUp() const noexcept { return server_ != nullptr; }
  [[nodiscard]] bool IsDraining() const noexcept { return draining_; }

  std::string id_;
  std::string zone_;
  std::string rack_;
  Amount capacity_;
  std::map<std::string, Run> runs_;

 private:
  friend class World;
  struct Waiter {
    std::uint64_t last_seen_{};
    http::Respond respond_;
  };
  [[nodiscard]] std::int64_t Clock() const;
  void Beat();
  void Tick();
  void End(const std::string& task, const char* how);
  void Wake();
  [[nodiscard]] http::Reply Lists(std::uint64_t last_seen) const;
  void Handle(const http::Request& request, const http::Respond& respond);
  http::Reply Start(const Json& body);
  http::Reply Stop(const Json& body);
  void Hold(const Json& body, const http::Respond& respond);

  World& world_;
  std::unique_ptr<http::Server> server_;
  core::TimePoint started_;
  std::int64_t born_{};
  std::uint64_t beats_{};
  std::uint64_t fence_{};
  std::int64_t lease_deadline_{};
  bool draining_{};
  core::TimePoint leaves_{};
  std::map<std::string, std::uint64_t> highest_;
  std::vector<Json> finished_;
  std::uint64_t ends_{};
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t next_waiter_{1};
};

/** @brief A node: a process of the program that the deploy file names. */
struct Node {
  std::string name_;
  int pid_{};
  std::uint16_t front_{};
  std::uint64_t peak_mb_{};   ///< Highest memory in use that was seen.
  int killed_for_memory_{};
  bool stops_{};  ///< It was told to end.
};

/** @brief All parts of the deployment, the record of what was seen, and the checks. */
class World {
 public:
  /** @param directory Temporary folder for settings and logs. @param record File of the record. */
  World(std::string directory, const std::string& record);
  ~World();

  void AddMinions(int count, Amount capacity);
  Node& StartNode();
  void Kill(Node& node);
  /** @brief Starts the program of a node again, with the same settings. */
  void Restart(Node& node);
  /** @brief Stops a node as the platform does for planned work; it doesn't come back. */
  void Terminate(Node& node);
  /** @brief The first order to start a task gets no answer and is carried out late. */
  void LeaveUnanswered(const std::string& task) { unanswered_ = task; }
  /** @brief Number of orders to minions so far. */
  [[nodiscard]] std::size_t Orders() const noexcept { return orders_; }
  /** @brief Kills each process that exceeds a node's memory, as the platform does, and starts it
   * again. */
  void LimitMemory();
  [[nodiscard]] std::size_t Starts() const noexcept { return starts_; }
  [[nodiscard]] Node* Leader();

  /** @brief Calls a function some time after the start. */
  void At(Ms time, std::function<void()> function);
  /** @brief Calls a function once right after the leader's next renewal was stored. */
  void AfterRenewal(std::function<void()> function);

  /** @brief Submits a job at a node, and again until it is accepted. */
  void Submit(const std::string& id, const std::string& spec, const Json& steps, int node,
              const Json& schedule = Json::object());
  void Cancel(const std::string& id, int node);
  /** @brief Asks a node for a job's state and records the answer. */
  void Show(const std::string& id, int node);

  /** @brief Notes an impairment, or planned work, from now on or until now. */
  void BeginImpairment(const std::string& what);
  void EndImpairment();

  void Note(const std::string& line);
  void Broken(const std::string& line);
  /** @brief Runs until Finish; returns the script's exit code. */
  int Run();
  void Finish();
  void GiveUp(const std::string& why);

  // Seen by minions.
  void JoinGang(const std::string& task, std::uint64_t run, Ms work);
  void LeaveGang(const std::string& task, std::uint64_t run);
  void OnStart(Minion& minion, const std::string& task, std::uint64_t run);
  void OnEnd(Minion& minion, const std::string& task, std::uint64_t run, const char* how);

  /** @brief Only counts the starts of a job with very many tasks. */
  void CountOnly(const std::string& job) { quiet_ = job; }
  [[nodiscard]] core::TimePoint Now() const { return loop_.Now(); }
  [[nodiscard]] Minion* HostOf(const std::string& task);
  [[nodiscard]] bool IsAccepted(const std::string& id) const { return accepted_.contains(id); }
  [[nodiscard]] const StepSpec* FindStep(const std::string& task) const;
  [[nodiscard]] bool IsDone(const std::string& job) const;

  /** @brief Checks the last part of LOST for a job that doesn't last: called often from the end of
   * the traffic and `finish_s` on. */
  void CheckIdleJob(const std::string& job);
  /** @brief The same for the first step, of one task, of a job that repeats.
   * @param due Number of its times that are due. */
  void CheckIdleTimes(const std::string& job, int due);
  /** @brief Checks the part of LOST for each task that lasts: called often at any time. */
  void CheckLastingTasks();

  laburnumledge::loop::Loop loop_;
  standin::KeyedStore store_;
  std::vector<std::unique_ptr<Minion>> minions_;
  std::vector<std::unique_ptr<Node>> nodes_;

 private:
  friend class Minion;
  void WriteSettings(const Node& node, std::uint16_t ready, std::uint16_t peers,
                     const std::string& path) const;
  void Spawn(Node& node);
  void SendSubmission(const std::string& id, int node);
  [[nodiscard]] int CountFits(const StepSpec& step) const;
  [[nodiscard]] bool IsUnderHalf() const;
  [[nodiscard]] Amount Used(const Minion& minion) const;
  [[nodiscard]] bool IsCalm(Ms span) const;

  std::string directory_;
  std::FILE* record_;
  core::TimePoint started_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<http::Server> store_server_;
  std::function<void()> after_renewal_;
  /** Members of a run of a gang that are present, by `JOB.K.STEP/RUN`. */
  std::map<std::string, std::vector<std::string>> gangs_;
  std::map<std::string, std::vector<StepSpec>> jobs_;
  std::map<std::string, std::string> bodies_;
  std::map<std::string, bool> accepted_;
  std::map<std::string, bool> done_;                 ///< By task.
  std::map<std::string, core::TimePoint> last_end_;  ///< Of a task without a run.
  std::map<std::string, core::TimePoint> idle_since_;
  std::vector<std::pair<core::TimePoint, core::TimePoint>> impairments_;
  std::uint64_t version_{3};
  std::size_t starts_{};
  std::size_t orders_{};
  std::string unanswered_;
  std::string quiet_;  ///< Job whose starts and ends are counted, and not recorded one by one.
  bool broken_{};
  bool gave_up_{};
};

}  // namespace review
