#include "laburnumledge/operators/job_history.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace laburnumledge::operators {

namespace {

/** Prefixes of the events that affect every job. */
constexpr std::string_view kGlobalEventPrefixes[] = {
    "term.", "takeover.", "store.lost", "store.reg", "configuration.", "zone.", "log.", "node."};

bool BeginsWith(std::string_view text, std::string_view start) noexcept {
  return text.substr(0, start.size()) == start;
}

/** Parses the digits at a position of a text; -1 if there are none. */
int NumberAt(std::string_view text, std::size_t place, std::size_t digits) noexcept {
  int value = -1;
  if (text.size() >= place + digits) {
    std::from_chars(text.data() + place, text.data() + place + digits, value);
  }
  return value;
}

/** Parses a log timestamp, such as 2026-01-24T17:21:14.075Z. */
std::optional<LogTime> ParseTime(std::string_view text) {
  constexpr std::size_t kLength = 24;
  if (text.size() != kLength) {
    return std::nullopt;
  }
  const std::chrono::year_month_day day{
      std::chrono::year(NumberAt(text, 0, 4)),
      std::chrono::month(static_cast<unsigned>(std::max(0, NumberAt(text, 5, 2)))),
      std::chrono::day(static_cast<unsigned>(std::max(0, NumberAt(text, 8, 2))))};
  if (!day.ok()) {
    return std::nullopt;
  }
  return LogTime{std::chrono::sys_days{day}} + std::chrono::hours(NumberAt(text, 11, 2)) +
         std::chrono::minutes(NumberAt(text, 14, 2)) + std::chrono::seconds(NumberAt(text, 17, 2)) +
         core::Milliseconds(NumberAt(text, 20, 3));
}

std::string ToText(LogTime time) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::hh_mm_ss clock(time - day);
  return fmt::format("{:02}:{:02}:{:02}.{:03}", clock.hours().count(), clock.minutes().count(),
                     clock.seconds().count(), clock.subseconds().count());
}

std::string TextField(const nlohmann::json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t NumberField(const nlohmann::json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

/** Identifier of the job that a line names, directly or by a task; empty if none. */
std::string JobOf(const LogLine& line) {
  const std::string job = TextField(line.fields_, "job");
  const std::string task = TextField(line.fields_, "task");
  return job.empty() ? task.substr(0, task.find('.')) : job;
}

bool ConcernsJob(const LogLine& line, const std::string& job) {
  return JobOf(line) == job || TextField(line.fields_, "in_favour_of") == job;
}

/** Records a gap if line numbers are skipped. A new process restarts at 1, which is no gap. */
void RecordLineNumber(Logs& logs, const LogLine& line) {
  Logs::Position& position = logs.positions_[line.node_];
  const bool numbering_continues = position.number_ > 0 && line.number_ > position.number_;
  if (numbering_continues && line.number_ > position.number_ + 1) {
    logs.gaps_.push_back({.node_ = line.node_,
                          .after_ = position.time_,
                          .before_ = line.time_,
                          .lines_ = line.number_ - position.number_ - 1});
  }
  position.number_ = line.number_;
  position.time_ = line.time_;
}

bool ByTime(const LogLine& left, const LogLine& right) {
  return std::tie(left.time_, left.node_, left.number_) <
         std::tie(right.time_, right.node_, right.number_);
}

/** Sorts lines of leaders by term, then time, and merges them with the other lines by time. */
std::vector<LogLine> OrderByTermAndTime(std::vector<LogLine> lines) {
  const auto rest = std::stable_partition(lines.begin(), lines.end(),
                                          [](const LogLine& line) { return line.term_ > 0; });
  std::sort(lines.begin(), rest, [](const LogLine& left, const LogLine& right) {
    return left.term_ != right.term_ ? left.term_ < right.term_ : ByTime(left, right);
  });
  std::sort(rest, lines.end(), ByTime);
  std::vector<LogLine> merged;
  std::merge(std::make_move_iterator(lines.begin()), std::make_move_iterator(rest),
             std::make_move_iterator(rest), std::make_move_iterator(lines.end()),
             std::back_inserter(merged), ByTime);
  return merged;
}

bool IsGlobalEvent(const LogLine& line) {
  return std::any_of(std::begin(kGlobalEventPrefixes), std::end(kGlobalEventPrefixes),
                     [&](std::string_view start) { return BeginsWith(line.event_, start); });
}

std::string FieldsToText(const nlohmann::json& fields) {
  std::string text;
  for (const auto& [name, value] : fields.items()) {
    text +=
        fmt::format(" {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

std::string LineToText(const LogLine& line, LogTime begin, std::string_view mark) {
  const auto elapsed = std::chrono::duration<double>(line.time_ - begin).count();
  return fmt::format("{} {:>9.3f} {} {:>4} {:<20} {}{}\n", mark, elapsed, ToText(line.time_),
                     line.term_ == 0 ? "-" : std::to_string(line.term_), line.node_, line.event_,
                     FieldsToText(line.fields_));
}

nlohmann::json LineToJson(const LogLine& line) {
  nlohmann::json json = line.fields_;
  json["time_ms"] = line.time_.time_since_epoch().count();
  json["node"] = line.node_;
  json["line"] = line.number_;
  json["event"] = line.event_;
  if (line.term_ > 0) {
    json["term"] = line.term_;
  }
  return json;
}

}  // namespace

void AddLine(Logs& logs, std::string_view text) {
  const std::size_t brace = text.find('{');
  if (brace == std::string_view::npos) {
    logs.unreadable_ += text.empty() ? 0 : 1;
    return;
  }
  text.remove_prefix(brace);
  nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
  const std::optional<LogTime> time =
      json.is_object() ? ParseTime(TextField(json, "time")) : std::nullopt;
  LogLine line{.time_ = time.value_or(LogTime{}),
               .node_ = json.is_object() ? TextField(json, "node") : "",
               .number_ = json.is_object() ? NumberField(json, "line") : 0,
               .event_ = json.is_object() ? TextField(json, "event") : ""};
  if (!time.has_value() || line.event_.empty()) {
    ++logs.unreadable_;
    return;
  }
  RecordLineNumber(logs, line);
  Logs::Position& position = logs.positions_[line.node_];
  if (line.event_ == "term.taken") {
    position.term_ = NumberField(json, "term");
  } else if (line.event_ == "node.started") {
    position.term_ = 0;
  }
  line.term_ = position.term_;
  if (line.event_ == "term.lost") {
    position.term_ = 0;
  }
  for (const char* name : {"time", "node", "line", "event", "level"}) {
    json.erase(name);
  }
  line.fields_ = std::move(json);
  logs.lines_.push_back(std::move(line));
}

JobHistory BuildJobHistory(const Logs& logs, const std::string& job) {
  JobHistory history{.job_ = job, .unreadable_ = logs.unreadable_};
  std::set<std::string> workers;
  for (const LogLine& line : logs.lines_) {
    if (ConcernsJob(line, job)) {
      history.lines_.push_back(line);
      workers.insert(TextField(line.fields_, "worker"));
    }
  }
  workers.erase("");
  history.lines_ = OrderByTermAndTime(std::move(history.lines_));
  if (history.lines_.empty()) {
    history.gaps_ = logs.gaps_;
    return history;
  }
  const auto ends = std::minmax_element(history.lines_.begin(), history.lines_.end(), ByTime);
  const LogTime first = ends.first->time_;
  const LogTime last = ends.second->time_;
  for (const LogLine& line : logs.lines_) {
    const bool meanwhile = line.time_ >= first && line.time_ <= last;
    const bool of_worker =
        JobOf(line).empty() && workers.contains(TextField(line.fields_, "worker"));
    if (meanwhile && !ConcernsJob(line, job) && (of_worker || IsGlobalEvent(line))) {
      history.context_.push_back(line);
    }
  }
  std::sort(history.context_.begin(), history.context_.end(), ByTime);
  std::copy_if(logs.gaps_.begin(), logs.gaps_.end(), std::back_inserter(history.gaps_),
               [&](const LogGap& gap) { return gap.before_ >= first && gap.after_ <= last; });
  for (const LogLine& line : history.lines_) {
    const std::string reason = TextField(line.fields_, "reason");
    const std::string state = TextField(line.fields_, "to");
    history.last_reason_ = reason.empty() ? history.last_reason_ : line.event_ + ": " + reason;
    history.state_ = line.event_ == "job.state" ? state : history.state_;
  }
  return history;
}

std::string ToText(const JobHistory& history) {
  if (history.lines_.empty()) {
    return fmt::format("no line of job {} in these logs; {} lines could not be read\n",
                       history.job_, history.unreadable_);
  }
  const LogTime begin = history.lines_.front().time_;
  std::string text =
      fmt::format("job {}: {}\n", history.job_,
                  history.state_.empty() ? "no state in these logs" : history.state_);
  auto context = history.context_.begin();
  for (const LogLine& line : history.lines_) {
    for (; context != history.context_.end() && context->time_ < line.time_; ++context) {
      text += LineToText(*context, begin, "|");
    }
    text += LineToText(line, begin, " ");
  }
  for (; context != history.context_.end(); ++context) {
    text += LineToText(*context, begin, "|");
  }
  for (const LogGap& gap : history.gaps_) {
    text += fmt::format("missing: {} lines of {} between {} and {}\n", gap.lines_, gap.node_,
                        ToText(gap.after_), ToText(gap.before_));
  }
  if (history.unreadable_ > 0) {
    text += fmt::format("unreadable: {} lines\n", history.unreadable_);
  }
  text += fmt::format("last reason: {}\n",
                      history.last_reason_.empty() ? "none was given" : history.last_reason_);
  return text;
}

nlohmann::json ToJson(const JobHistory& history) {
  nlohmann::json json{{"job", history.job_},
                      {"state", history.state_},
                      {"last_reason", history.last_reason_},
                      {"unreadable_lines", history.unreadable_},
                      {"lines", nlohmann::json::array()},
                      {"context", nlohmann::json::array()},
                      {"missing", nlohmann::json::array()}};
  for (const LogLine& line : history.lines_) {
    json["lines"].push_back(LineToJson(line));
  }
  for (const LogLine& line : history.context_) {
    json["context"].push_back(LineToJson(line));
  }
  for (const LogGap& gap : history.gaps_) {
    json["missing"].push_back({{"node", gap.node_},
                               {"after_ms", gap.after_.time_since_epoch().count()},
                               {"before_ms", gap.before_.time_since_epoch().count()},
                               {"lines", gap.lines_}});
  }
  return json;
}

}  // namespace laburnumledge::operators
