// Stand-ins of the platform's store and of its workers, as PROTOCOL.md describes them.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "http.hpp"

namespace review {

using Json = nlohmann::json;

/** Line of the record of a case, with the time since its start. */
void Note(const std::string& line);

inline std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t value = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      value = value << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? kDigits[value >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

inline void AppendBigEndian(std::string& bytes, std::uint64_t value, int count) {
  for (int i = count - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>(value >> (8 * i) & 255U));
  }
}

/** The store: keyed topics of one partition. */
class Store {
 public:
  explicit Store(int port) : server_(port, [this](const Request& r) { return Handle(r); }) {
    server_.Start();
  }

  /** Writes as the operator or a worker does. An empty value removes the key. */
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Append(topics_[topic], key, value);
    changed_.notify_all();
  }

  [[nodiscard]] std::map<std::string, std::string> Newest(const std::string& topic) {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> values;
    for (const auto& [key, record] : topics_[topic].newest_) {
      values[key] = record.second;
    }
    return values;
  }

  /** Drops the history of a topic; the newest record of each key stays. */
  void Compact(const std::string& topic) {
    const std::lock_guard lock(mutex_);
    Topic& held = topics_[topic];
    held.first_ += held.log_.size();
    held.log_.clear();
  }

  [[nodiscard]] Server& Link() { return server_; }

 private:
  struct Writer {
    std::uint64_t epoch_{};
    std::uint64_t next_{};
    bool begun_{};
    std::map<std::uint64_t, std::string> answers_;
  };
  struct Topic {
    std::uint64_t first_{};
    std::vector<std::pair<std::string, std::string>> log_;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest_;
    std::map<std::string, Writer> writers_;
  };

  static std::uint64_t End(const Topic& topic) { return topic.first_ + topic.log_.size(); }

  static void Append(Topic& topic, const std::string& key, const std::string& value) {
    if (value.empty()) {
      topic.newest_.erase(key);
    } else {
      topic.newest_[key] = {End(topic), value};
    }
    topic.log_.emplace_back(key, value);
  }

  static std::string Query(const Request& request, const char* name) {
    const auto found = request.query_.find(name);
    return found == request.query_.end() ? "" : found->second;
  }

  static std::uint64_t Number(const Request& request, const char* name) {
    const std::string text = Query(request, name);
    return text.empty() ? 0 : std::stoull(text);
  }

  Reply Handle(const Request& request) {
    constexpr std::int64_t kAnswerMs = 4;
    SleepMs(kAnswerMs);
    if (request.path_ == "/-/log-append") {
      return AppendRecords(request);
    }
    if (request.path_ == "/-/log-read") {
      return Read(request);
    }
    return request.path_ == "/-/log-newest" ? Page(request) : Reply{.status_ = 404, .body_ = "{}"};
  }

  Reply AppendRecords(const Request& request) {
    const std::lock_guard lock(mutex_);
    Topic& topic = topics_[Query(request, "topic")];
    if (!Query(request, "at").empty() && Number(request, "at") != End(topic)) {
      return {.status_ = 412, .body_ = Json{{"end_offset", End(topic)}}.dump()};
    }
    Writer* writer = nullptr;
    if (!Query(request, "producer").empty()) {
      writer = &topic.writers_[Query(request, "producer")];
      const std::uint64_t epoch = Number(request, "epoch");
      const std::uint64_t sequence = Number(request, "seq");
      if (epoch < writer->epoch_) {
        return {.status_ = 409, .body_ = R"({"reason":"fenced"})"};
      }
      if (epoch > writer->epoch_ || !writer->begun_) {
        *writer = {.epoch_ = epoch, .next_ = sequence, .begun_ = true, .answers_ = {}};
      }
      const auto answered = writer->answers_.find(sequence);
      if (answered != writer->answers_.end()) {
        return {.status_ = 200, .body_ = answered->second};
      }
      if (sequence != writer->next_) {
        return {.status_ = 409, .body_ = Json{{"reason", "seq"}, {"seq", writer->next_}}.dump()};
      }
      ++writer->next_;
    }
    const std::uint64_t first = End(topic);
    const std::string& body = request.body_;
    for (std::size_t at = 0; at + 4 < body.size();) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        length = length << 8U | static_cast<unsigned char>(body[at + i]);
      }
      const std::size_t key_bytes = static_cast<unsigned char>(body[at + 4]);
      Append(topic, body.substr(at + 5, key_bytes),
             body.substr(at + 5 + key_bytes, length - 1 - key_bytes));
      at += 4 + length;
    }
    const std::string answer = Json{{"offset", first}, {"end_offset", End(topic)}}.dump();
    if (writer != nullptr) {
      constexpr std::size_t kRememberedAppends = 5;
      writer->answers_[writer->next_ - 1] = answer;
      if (writer->answers_.size() > kRememberedAppends) {
        writer->answers_.erase(writer->answers_.begin());
      }
    }
    changed_.notify_all();
    return {.status_ = 200, .body_ = answer};
  }

  Reply Read(const Request& request) {
    const std::string name = Query(request, "topic");
    const std::uint64_t from = Number(request, "from");
    const std::size_t most =
        (Number(request, "max_kb") == 0 ? 1024 : Number(request, "max_kb")) * 1024;
    const auto until = Clock::now() + std::chrono::milliseconds(Number(request, "wait_ms"));
    std::unique_lock lock(mutex_);
    Topic& topic = topics_[name];
    changed_.wait_until(lock, until, [&] { return End(topic) > from; });
    if (from < topic.first_) {
      return {.status_ = 410, .body_ = Json{{"first_offset", topic.first_}}.dump()};
    }
    std::string bytes;
    AppendBigEndian(bytes, End(topic), 8);
    AppendBigEndian(bytes, topic.first_, 8);
    for (std::uint64_t offset = from; offset < End(topic) && bytes.size() < most; ++offset) {
      const auto& [key, value] = topic.log_[offset - topic.first_];
      AppendBigEndian(bytes, 1 + key.size() + value.size(), 4);
      bytes.push_back(static_cast<char>(key.size()));
      bytes += key + value;
    }
    return {.status_ = 200, .body_ = bytes};
  }

  Reply Page(const Request& request) {
    constexpr std::size_t kMaxItems = 500;
    constexpr std::size_t kMaxBytes = 1000000;
    const std::lock_guard lock(mutex_);
    const Topic& topic = topics_[Query(request, "topic")];
    const std::string after = Query(request, "after");
    auto entry = after.empty() ? topic.newest_.begin() : topic.newest_.upper_bound(after);
    // Written by hand: pages of large topics are read often. Keys hold no characters to escape.
    std::string items;
    std::size_t count = 0;
    std::size_t bytes = 0;
    for (; entry != topic.newest_.end() && count < kMaxItems && bytes < kMaxBytes; ++entry) {
      bytes += entry->first.size() + entry->second.second.size();
      items += (count++ == 0 ? "" : ",");
      items += R"({"key":")" + entry->first + R"(","value":")" + Base64(entry->second.second) +
               R"(","offset":)" + std::to_string(entry->second.first) + "}";
    }
    return {.status_ = 200,
            .body_ = R"({"items":[)" + items + R"(],"has_more":)" +
                     (entry == topic.newest_.end() ? "false" : "true") + R"(,"end_offset":)" +
                     std::to_string(End(topic)) + "}"};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  Server server_;
};

/** What happened to a run on a worker. */
struct RunEvent {
  std::int64_t at_{};
  std::string worker_;
  std::string task_;
  std::uint64_t run_{};
  std::string what_;  ///< "start", how the run ended, or "noted": its end was acknowledged.
};

/** What all workers have seen. */
class RunBook {
 public:
  void Add(const std::string& worker, const std::string& task, std::uint64_t run,
           const std::string& what) {
    {
      const std::lock_guard lock(mutex_);
      events_.push_back({NowMs(), worker, task, run, what});
    }
    Note("worker " + worker + ": " + task + " run " + std::to_string(run) + " " + what);
  }

  [[nodiscard]] std::vector<RunEvent> Events() {
    const std::lock_guard lock(mutex_);
    return events_;
  }

 private:
  std::mutex mutex_;
  std::vector<RunEvent> events_;
};

struct WorkerOptions {
  std::string id_;
  std::string kind_;
  std::string rack_;
  std::string zone_;
  std::chrono::hours uptime_{};  ///< For how long its first lifetime has lasted already.
};

/** A worker. A task's `spec` is the time in ms for which it works. "A fails N B": its first N runs
 * fail after A ms, later ones work for B ms. */
class Worker {
 public:
  Worker(Store& store, RunBook& book, int port, WorkerOptions options)
      : store_(store),
        book_(book),
        options_(std::move(options)),
        server_(port, [this](const Request& request) { return Handle(request); }) {
    Boot(options_.uptime_);
    std::thread([this] { Tick(); }).detach();
  }

  /** Begins a lifetime: nothing runs, no fencing token is known, all counts begin anew. */
  void Boot(std::chrono::milliseconds uptime = {}) {
    {
      const std::lock_guard lock(mutex_);
      up_ = true;
      ++life_;
      started_ = Clock::now() - uptime;
      born_ = WallMs() - uptime.count();
      beats_ = 0;
    }
    server_.Start();
    Beat();
    Note("worker " + options_.id_ + ": up");
    std::thread([this] {
      constexpr std::int64_t kDeliveryMs = 5;
      SleepMs(kDeliveryMs);
      const std::lock_guard lock(mutex_);
      if (const std::optional<Json> body = std::exchange(delayed_start_, std::nullopt)) {
        Note("worker " + options_.id_ + ": the delayed start arrives");
        Execute(*body);
      }
    }).detach();
  }

  /** Ends the process: connections are reset, and all that ran has ended. */
  void Crash() {
    server_.Stop();
    const std::lock_guard lock(mutex_);
    up_ = false;
    ++life_;
    for (const auto& [task, run] : runs_) {
      book_.Add(options_.id_, task, run.number_, "crashed");
    }
    runs_.clear();
    highest_.clear();
    finished_.clear();
    lapses_before_.clear();
    ends_ = 0;
    fence_ = 0;
    lease_end_ = 0;
    changed_.notify_all();
    Note("worker " + options_.id_ + ": down");
  }

  /** Leaves the next start unanswered. It is carried out when the worker starts again. */
  void DelayNextStart(bool delay = true) { delay_next_start_ = delay; }

  [[nodiscard]] bool HoldsStart() {
    const std::lock_guard lock(mutex_);
    return delayed_start_.has_value();
  }

  void Cut(bool cut) {
    server_.cut_ = cut;
    Note("worker " + options_.id_ + (cut ? ": cut off" : ": reached again"));
  }

  /** For how long the newest lease call has been open; -1 if none is. */
  [[nodiscard]] std::int64_t LeaseCallOpenMs() {
    const std::lock_guard lock(mutex_);
    return open_holds_ == 0 ? -1 : NowMs() - hold_at_;
  }

  [[nodiscard]] std::size_t Running() {
    const std::lock_guard lock(mutex_);
    return runs_.size();
  }

  [[nodiscard]] bool RunsTask(const std::string& task) {
    const std::lock_guard lock(mutex_);
    return runs_.contains(task);
  }

  [[nodiscard]] bool Runs(const std::string& job) {
    const std::lock_guard lock(mutex_);
    const auto found = runs_.lower_bound(job + ".");
    return found != runs_.end() && found->first.starts_with(job + ".");
  }

  [[nodiscard]] std::size_t Unacknowledged() {
    const std::lock_guard lock(mutex_);
    return finished_.size();
  }

  [[nodiscard]] std::uint64_t Ends() {
    const std::lock_guard lock(mutex_);
    return ends_;
  }

  [[nodiscard]] const std::string& Id() const { return options_.id_; }

 private:
  struct Run {
    std::uint64_t number_{};
    Clock::time_point began_;
    std::int64_t work_ms_{};
    bool fails_{};
  };

  static constexpr std::int64_t kMaxHoldMs = 6000;
  static constexpr std::int64_t kHeartbeatMs = 1500;
  static constexpr std::int64_t kSilenceMs = 3000;
  static constexpr std::size_t kMaxEndsListed = 500;

  [[nodiscard]] std::int64_t ClockMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started_).count() +
           1;
  }

  static std::int64_t WorkedMs(const Run& run) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - run.began_).count();
  }

  void Beat() {
    const std::lock_guard lock(mutex_);
    if (up_) {
      const Json entry = {{"service", "stubbur"},
                          {"address", "127.0.0.1:" + std::to_string(server_.Port())},
                          {"zone", options_.zone_},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", "ready"},
                          {"cold_left_ms", 0},
                          {"seq", ++beats_},
                          {"born", born_},
                          {"clock_ms", ClockMs()},
                          {"labels", {options_.kind_, options_.rack_}},
                          {"capacity", {{"cpu", 128000}, {"mem_mb", 262144}, {"gpus", 8}}}};
      store_.Put("keyed.servers", options_.id_, entry.dump());
    }
  }

  void Tick() {
    for (std::int64_t next_beat = NowMs() + kHeartbeatMs;; SleepMs(5)) {
      if (NowMs() >= next_beat) {
        next_beat += kHeartbeatMs;
        Beat();
      }
      const std::lock_guard lock(mutex_);
      const bool lapsed = ClockMs() > lease_end_;
      lapses_ += lapsed && !was_lapsed_ ? 1 : 0;
      was_lapsed_ = lapsed;
      std::vector<std::string> over;
      for (const auto& [task, run] : runs_) {
        if (lapsed || WorkedMs(run) >= run.work_ms_) {
          over.push_back(task);
        }
      }
      for (const std::string& task : over) {
        End(task, lapsed ? "lapsed" : runs_.at(task).fails_ ? "failed" : "done");
      }
    }
  }

  void End(const std::string& task, const std::string& how) {
    const Run run = runs_.at(task);
    runs_.erase(task);
    finished_.push_back(Json::array({++ends_, task, run.number_, how, ""}));
    lapses_before_.push_back(lapses_);
    book_.Add(options_.id_, task, run.number_, how);
    changed_.notify_all();
  }

  Reply Handle(const Request& request) {
    const Json body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
      return {.status_ = 400, .body_ = "{}"};
    }
    std::unique_lock lock(mutex_);
    if (!up_) {
      return {.status_ = 0, .body_ = {}};
    }
    const auto expected = request.headers_.find("expect-instance");
    if (expected != request.headers_.end() && expected->second != options_.id_) {
      return {.status_ = 421, .body_ = "{}"};
    }
    if (request.path_ == "/-/run-start" && delay_next_start_.exchange(false)) {
      Note("worker " + options_.id_ + ": start of " + body.at("task").get<std::string>() + " run " +
           body.at("run").dump() + " gets no answer");
      delayed_start_ = body;
      lock.unlock();
      SleepMs(kSilenceMs);
      return {.status_ = 0, .body_ = {}};
    }
    const std::uint64_t fence = body.value("fencing_token", std::uint64_t{0});
    if (request.path_ == "/-/run-start") {
      return Execute(body);
    }
    if (fence < fence_) {
      return Refusal("fence");
    }
    fence_ = fence;
    if (request.path_ == "/-/run-stop") {
      return Stop(body);
    }
    return request.path_ == "/-/hold" ? Hold(body, lock) : Reply{.status_ = 404, .body_ = "{}"};
  }

  [[nodiscard]] Reply Refusal(const char* reason) const {
    return {.status_ = 409, .body_ = Json{{"clock_ms", ClockMs()}, {"reason", reason}}.dump()};
  }

  [[nodiscard]] Reply Success() const {
    return {.status_ = 200, .body_ = Json{{"clock_ms", ClockMs()}}.dump()};
  }

  void Extend(std::int64_t deadline) {
    lease_end_ = std::max(lease_end_, std::min(deadline, ClockMs() + kMaxHoldMs));
  }

  /** Carries out a start unless a call with a higher fencing token has come before. */
  Reply Execute(const Json& body) {
    const std::uint64_t fence = body.value("fencing_token", std::uint64_t{0});
    if (fence < fence_) {
      return Refusal("fence");
    }
    fence_ = fence;
    return Start(body);
  }

  Reply Start(const Json& body) {
    const std::string task = body.at("task");
    const std::uint64_t run = body.at("run");
    const std::int64_t deadline = body.at("deadline_ms");
    const auto present = runs_.find(task);
    if (present != runs_.end() && present->second.number_ == run) {
      return Success();
    }
    if (deadline < ClockMs()) {
      return Refusal("late");
    }
    Extend(deadline);
    if (highest_[task] >= run) {
      return Refusal("old");
    }
    highest_[task] = run;
    const std::string spec = body.at("spec");
    const std::size_t word = spec.find(" fails ");
    std::size_t digits = 0;
    const std::string failures = word == std::string::npos ? "0 0" : spec.substr(word + 7);
    const bool fails = run <= std::stoull(failures, &digits);
    runs_[task] = {
        .number_ = run,
        .began_ = Clock::now(),
        .work_ms_ = std::stoll(fails || word == std::string::npos ? spec : failures.substr(digits)),
        .fails_ = fails};
    book_.Add(options_.id_, task, run, "start");
    return Success();
  }

  Reply Stop(const Json& body) {
    const std::string task = body.at("task");
    const std::uint64_t run = body.at("run");
    highest_[task] = std::max(highest_[task], run);
    const auto present = runs_.find(task);
    if (present != runs_.end() && present->second.number_ == run) {
      End(task, "stopped");
    }
    return Success();
  }

  Reply Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
    const std::uint64_t last_seen = body.at("last_seen");
    Extend(body.value("deadline_ms", std::int64_t{0}));
    while (!finished_.empty() && finished_.front()[0].get<std::uint64_t>() <= last_seen) {
      const bool lapsed = lapses_before_.front() != lapses_;
      book_.Add(options_.id_, finished_.front()[1], finished_.front()[2],
                lapsed ? "noted, its lease has lapsed since" : "noted");
      finished_.pop_front();
      lapses_before_.pop_front();
    }
    const int life = life_;
    const auto until =
        Clock::now() + std::chrono::milliseconds(body.value("wait_ms", std::int64_t{0}));
    ++open_holds_;
    hold_at_ = NowMs();
    changed_.wait_until(lock, until, [&] { return life != life_ || !finished_.empty(); });
    --open_holds_;
    if (life != life_) {
      return {.status_ = 0, .body_ = {}};
    }
    Json running = Json::array();
    for (const auto& [task, run] : runs_) {
      const std::int64_t percent = 100 * WorkedMs(run) / std::max<std::int64_t>(1, run.work_ms_);
      running.push_back(
          Json::array({task, run.number_, "", std::min<std::int64_t>(99, percent), 500}));
    }
    Json finished = Json::array();
    for (std::size_t i = 0; i < std::min(kMaxEndsListed, finished_.size()); ++i) {
      finished.push_back(finished_[i]);
    }
    return {.status_ = 200,
            .body_ = Json{{"clock_ms", ClockMs()},
                          {"born", born_},
                          {"running", running},
                          {"finished", finished}}
                         .dump()};
  }

  Store& store_;
  RunBook& book_;
  WorkerOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool up_{};
  int life_{};
  Clock::time_point started_;
  std::int64_t born_{};
  std::uint64_t beats_{};
  std::uint64_t fence_{};
  std::uint64_t ends_{};
  std::int64_t lease_end_{};
  int open_holds_{};
  std::int64_t hold_at_{};
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint64_t> highest_;
  std::deque<Json> finished_;
  std::deque<int>
      lapses_before_;  ///< Of each end in `finished_`, the lapses of the lease before it.
  int lapses_{};
  bool was_lapsed_{true};
  std::atomic<bool> delay_next_start_{};
  std::optional<Json> delayed_start_;
  Server server_;
};

}  // namespace review
