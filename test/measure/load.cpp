#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cxxopts.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/core/verdict.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/loop/loop.hpp"

// Open-loop load: requests are sent at the times of a schedule, whatever became of earlier ones,
// and a request's time counts from its scheduled start. Afterwards the callers' history is checked
// against the instances' execution counts.

namespace laburnumledge::measure {

namespace {

using nlohmann::json;

constexpr core::Milliseconds kProbeInterval{100};
constexpr core::Milliseconds kFetchTimeout{10000};
constexpr core::Milliseconds kGrace{1000};
constexpr unsigned kOk = 200;

/** @brief Requests of one kind, sent at a mean rate with exponential gaps. */
struct Stream {
  std::string organisation_;
  std::string class_;
  double per_second_{};
  int work_ms_{};
  bool repeatable_{};
  core::Milliseconds deadline_{};
};

/** @brief What became of one identifier. */
struct Outcome {
  std::size_t stream_{};
  bool answered_{};
  bool whole_{};
  core::Verdict verdict_{core::Verdict::kMayHaveRun};
  double ms_{};
};

/** @brief Entry that the load goes to, in or out of rotation by its readiness. */
struct Entry {
  config::Address address_;
  bool ready_{true};
};

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(separator, begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

std::vector<Entry> ParseEntries(const std::string& text) {
  std::vector<Entry> entries;
  for (const std::string& part : Split(text, ',')) {
    if (const auto address = config::ParseAddress(part)) {
      entries.push_back({.address_ = *address});
    }
  }
  return entries;
}

Stream ParseStream(const std::string& text) {
  const std::vector<std::string> parts = Split(text, ',');
  return {.organisation_ = parts.at(0),
          .class_ = parts.at(1),
          .per_second_ = std::stod(parts.at(2)),
          .work_ms_ = std::stoi(parts.at(3)),
          .repeatable_ = parts.at(4) == "yes",
          .deadline_ = core::Milliseconds(std::stoi(parts.at(5)))};
}

class Load {
 public:
  Load(loop::Loop& loop, std::vector<Entry> entries, std::vector<Stream> streams, bool direct,
       double repeats, std::string prefix, std::uint64_t seed)
      : loop_(loop),
        client_(loop, 0),
        entries_(std::move(entries)),
        streams_(std::move(streams)),
        direct_(direct),
        repeats_(repeats),
        prefix_(std::move(prefix)),
        random_(core::MakeRandom(seed, "load")) {}

  void Run(core::Milliseconds length) {
    end_ = loop_.Now() + length;
    next_.assign(streams_.size(), loop_.Now());
    core::Milliseconds longest{};
    for (std::size_t i = 0; i < streams_.size(); ++i) {
      longest = std::max(longest, streams_[i].deadline_);
      ScheduleNext(i);
    }
    if (!direct_) {
      loop_.CallEvery(kProbeInterval, [this] { Probe(); });
    }
    loop_.CallAt(end_ + longest + kGrace, [this] { loop_.Stop(); });
    loop_.CallEvery(kProbeInterval, [this] {
      if (loop_.Now() > end_ + kGrace && open_ == 0) {
        loop_.Stop();
      }
    });
    loop_.Run();
  }

  [[nodiscard]] const std::map<std::string, Outcome>& Outcomes() const { return outcomes_; }
  [[nodiscard]] const std::vector<Stream>& Streams() const { return streams_; }
  /** @brief Identifiers that got an answer that is not their own. */
  [[nodiscard]] const std::vector<std::string>& Wrong() const { return wrong_; }
  [[nodiscard]] double WorstLatenessMs() const { return worst_lateness_ms_; }

 private:
  void ScheduleNext(std::size_t stream) {
    std::exponential_distribution<double> gap(streams_[stream].per_second_);
    next_[stream] += std::chrono::duration_cast<core::Clock::duration>(
        std::chrono::duration<double>(gap(random_)));
    if (next_[stream] < end_) {
      loop_.CallAt(next_[stream], [this, stream] {
        Begin(stream, next_[stream]);
        ScheduleNext(stream);
      });
    }
  }

  void Begin(std::size_t stream, core::TimePoint due) {
    const std::string id = fmt::format("{}{}-{}", prefix_, streams_[stream].class_, next_id_++);
    outcomes_[id] = {.stream_ = stream};
    worst_lateness_ms_ = std::max(
        worst_lateness_ms_, std::chrono::duration<double, std::milli>(loop_.Now() - due).count());
    Send(id, due, entries_.size());
    const bool repeat = std::uniform_real_distribution<double>(0, 1)(random_) < repeats_;
    if (repeat && !streams_[stream].repeatable_) {
      const core::Milliseconds later(std::uniform_int_distribution<int>(0, 50)(random_));
      loop_.CallAt(loop_.Now() + later, [this, id, due] { Send(id, due, entries_.size()); });
    }
  }

  std::size_t PickEntry() {
    for (std::size_t tries = 0; tries < entries_.size(); ++tries) {
      const std::size_t picked = rotation_++ % entries_.size();
      if (entries_[picked].ready_) {
        return picked;
      }
    }
    return rotation_++ % entries_.size();
  }

  void Send(const std::string& id, core::TimePoint due, std::size_t tries_left) {
    ++open_;
    const Stream& stream = streams_[outcomes_[id].stream_];
    const Entry& entry = entries_[PickEntry()];
    http::Call call;
    call.method_ = "POST";
    call.url_ = fmt::format("http://{}{}/work?ms={}", config::ToString(entry.address_),
                            direct_ ? "" : "/v1/requests/booking", stream.work_ms_);
    call.headers_ = {{"Request-Id", id},
                     {"Organisation", stream.organisation_},
                     {"Request-Class", stream.class_},
                     {"Repeatable", stream.repeatable_ ? "yes" : "no"},
                     {"Deadline-Ms", std::to_string(stream.deadline_.count())}};
    call.body_ = "body of " + id;
    call.deadline_ = due + stream.deadline_ + kGrace;
    client_.Send(std::move(call), [this, id, due, tries_left](const http::Response& response) {
      --open_;
      const bool never_sent = response.verdict_ == core::Verdict::kNotRun;
      if (never_sent && tries_left > 1) {
        Send(id, due, tries_left - 1);
        return;
      }
      Take(id, due, response);
    });
  }

  void Take(const std::string& id, core::TimePoint due, const http::Response& response) {
    Outcome& outcome = outcomes_[id];
    const auto text = http::Find(response.headers_, "Verdict").value_or(direct_ ? "ran" : "");
    const core::Verdict verdict = core::ParseVerdict(text).value_or(response.verdict_);
    const bool first = !outcome.answered_;
    outcome.answered_ = response.verdict_ == core::Verdict::kRan || outcome.answered_;
    const bool ran = response.status_ == kOk && verdict == core::Verdict::kRan;
    const bool whole = response.body_ == fmt::format("done {0}\nbody of {0}", id);
    if (ran && !whole) {
      wrong_.push_back(id);
    }
    if (first || (ran && outcome.verdict_ != core::Verdict::kRan)) {
      outcome.whole_ = ran && whole;
      outcome.verdict_ = verdict;
      outcome.ms_ = std::chrono::duration<double, std::milli>(loop_.Now() - due).count();
    } else if (outcome.verdict_ == core::Verdict::kNotRun && verdict != core::Verdict::kNotRun) {
      outcome.verdict_ = verdict;
    }
  }

  void Probe() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      http::Call call;
      call.url_ = fmt::format("http://{}/readyz", config::ToString(entries_[i].address_));
      call.deadline_ = loop_.Now() + kGrace;
      client_.Send(std::move(call), [this, i](const http::Response& response) {
        entries_[i].ready_ = response.status_ == kOk;
      });
    }
  }

  loop::Loop& loop_;
  http::Client client_;
  std::vector<Entry> entries_;
  std::vector<Stream> streams_;
  bool direct_{};
  double repeats_{};
  std::string prefix_;
  core::Random random_;
  core::TimePoint end_;
  std::vector<core::TimePoint> next_;
  std::uint64_t next_id_{1};
  std::size_t rotation_{};
  std::size_t open_{};
  double worst_lateness_ms_{};
  std::map<std::string, Outcome> outcomes_;
  std::vector<std::string> wrong_;
};

/** @brief What the instances say that they executed. */
struct Executions {
  std::map<std::string, std::uint32_t> counts_;
  std::uint32_t most_busy_{};
  std::uint32_t most_waiting_{};
  std::uint32_t most_connections_{};
  std::uint32_t unreadable_{};
};

Executions Fetch(const std::vector<Entry>& instances) {
  loop::Loop loop;
  http::Client client(loop, 1);
  Executions all;
  std::size_t open = instances.size();
  for (const Entry& instance : instances) {
    http::Call call;
    call.url_ = fmt::format("http://{}/executions", config::ToString(instance.address_));
    call.deadline_ = loop.Now() + kFetchTimeout;
    client.Send(std::move(call), [&](const http::Response& response) {
      const json body = json::parse(response.body_, nullptr, false);
      if (body.is_object()) {
        for (const auto& [id, count] : body["executions"].items()) {
          all.counts_[id] += count.get<std::uint32_t>();
        }
        all.most_busy_ = std::max(all.most_busy_, body.value("most_busy", 0U));
        all.most_waiting_ = std::max(all.most_waiting_, body.value("most_waiting", 0U));
        all.most_connections_ = std::max(all.most_connections_, body.value("most_connections", 0U));
      } else {
        ++all.unreadable_;
      }
      if (--open == 0) {
        loop.Stop();
      }
    });
  }
  if (open > 0) {
    loop.Run();
  }
  return all;
}

double Quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * part)];
}

json StreamReport(const Load& load, std::size_t stream) {
  std::vector<double> times;
  std::uint32_t sent = 0;
  std::uint32_t refused = 0;
  std::uint32_t uncertain = 0;
  std::uint32_t unanswered = 0;
  for (const auto& [id, outcome] : load.Outcomes()) {
    if (outcome.stream_ != stream) {
      continue;
    }
    ++sent;
    if (outcome.whole_) {
      times.push_back(outcome.ms_);
    } else if (!outcome.answered_) {
      ++unanswered;
    } else if (outcome.verdict_ == core::Verdict::kNotRun) {
      ++refused;
    } else {
      ++uncertain;
    }
  }
  std::sort(times.begin(), times.end());
  const Stream& spec = load.Streams()[stream];
  return {{"organisation", spec.organisation_}, {"class", spec.class_},
          {"repeatable", spec.repeatable_},     {"sent", sent},
          {"answered", times.size()},           {"not_run", refused},
          {"may_have_run", uncertain},          {"no_answer", unanswered},
          {"p50_ms", Quantile(times, 0.5)},     {"p90_ms", Quantile(times, 0.9)},
          {"p99_ms", Quantile(times, 0.99)},    {"max_ms", Quantile(times, 1)}};
}

/** Counts what must never be, over callers' history and the instances' counts. */
json CheckHistory(const Load& load, const Executions& executions) {
  std::vector<std::string> doubled;
  std::vector<std::string> lost;
  std::vector<std::string> untrue_refusals;
  for (const auto& [id, outcome] : load.Outcomes()) {
    const auto found = executions.counts_.find(id);
    const std::uint32_t count = found == executions.counts_.end() ? 0 : found->second;
    const bool repeatable = load.Streams()[outcome.stream_].repeatable_;
    if (!repeatable && count > 1) {
      doubled.push_back(id);
    }
    if (outcome.whole_ && count == 0) {
      lost.push_back(id);
    }
    if (outcome.answered_ && outcome.verdict_ == core::Verdict::kNotRun && count > 0) {
      untrue_refusals.push_back(id);
    }
  }
  return {{"doubled", doubled},
          {"answered_without_execution", lost},
          {"untrue_not_run", untrue_refusals},
          {"not_own_answer", load.Wrong()}};
}

int Run(const cxxopts::ParseResult& options) {
  std::vector<Stream> streams;
  for (const std::string& text : Split(options["streams"].as<std::string>(), ';')) {
    streams.push_back(ParseStream(text));
  }
  const bool direct = options["direct"].as<bool>();
  loop::Loop loop;
  Load load(loop, ParseEntries(options["entries"].as<std::string>()), std::move(streams), direct,
            options["repeats"].as<double>(), options["prefix"].as<std::string>(),
            options["seed"].as<std::uint64_t>());
  load.Run(core::Milliseconds(options["seconds"].as<int>() * 1000));
  json report;
  for (std::size_t i = 0; i < load.Streams().size(); ++i) {
    report["streams"].push_back(StreamReport(load, i));
  }
  report["worst_lateness_ms"] = load.WorstLatenessMs();
  bool holds = true;
  if (options.count("instances") > 0) {
    const Executions executions = Fetch(ParseEntries(options["instances"].as<std::string>()));
    report["history"] = CheckHistory(load, executions);
    report["instances"] = {{"most_busy", executions.most_busy_},
                           {"most_waiting", executions.most_waiting_},
                           {"most_connections", executions.most_connections_},
                           {"unreadable", executions.unreadable_}};
    for (const auto& [name, ids] : report["history"].items()) {
      holds = holds && ids.empty();
    }
    holds = holds && executions.unreadable_ == 0;
  }
  report["history_holds"] = holds;
  fmt::print("{}\n", report.flatten().dump(1));
  return holds ? 0 : 1;
}

}  // namespace

}  // namespace laburnumledge::measure

int main(int argc, char** argv) {
  cxxopts::Options options("measure_load", "Open-loop load with a report and a history check");
  options.add_options()("entries", "ip:port,...: nodes, or instances with --direct",
                        cxxopts::value<std::string>())(
      "instances", "ip:port,...: instances whose counts are checked",
      cxxopts::value<std::string>())(
      "streams", "ORGANISATION,CLASS,PER_SECOND,WORK_MS,REPEATABLE,DEADLINE_MS;...",
      cxxopts::value<std::string>())("seconds", "length",
                                     cxxopts::value<int>()->default_value("5"))(
      "repeats", "part of the non-repeatable requests that is repeated at another node",
      cxxopts::value<double>()->default_value("0"))(
      "prefix", "begin of every Request-Id", cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "direct", "call instances without a node", cxxopts::value<bool>()->default_value("false"));
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return laburnumledge::measure::Run(options.parse(argc, argv));
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n{}\n", error.what(), options.help());
    return 2;
  }
}
