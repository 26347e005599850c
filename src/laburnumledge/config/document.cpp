#include "laburnumledge/config/document.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace laburnumledge::config::internal {

namespace {

using nlohmann::json;

/** @brief Where the lexer stands in the text. */
struct Cursor {
  std::size_t line_{1};
  char last_{};
};

/** @brief Iterator over the text's bytes that moves a cursor along. */
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* at, Cursor* cursor) noexcept : at_(at), cursor_(cursor) {}

  reference operator*() const noexcept { return *at_; }

  CountingIterator& operator++() noexcept {
    cursor_->last_ = *at_;
    cursor_->line_ += *at_ == '\n' ? 1 : 0;
    ++at_;
    return *this;
  }

  CountingIterator operator++(int) noexcept {
    CountingIterator before = *this;
    ++*this;
    return before;
  }

  bool operator==(const CountingIterator& other) const noexcept { return at_ == other.at_; }
  bool operator!=(const CountingIterator& other) const noexcept { return at_ != other.at_; }

 private:
  const char* at_;
  Cursor* cursor_;
};

/** @brief Object or list that the scan is inside of. */
struct Level {
  bool is_list_{};
  std::size_t index_{};
  std::string key_;
  std::set<std::string, std::less<>> keys_;
};

std::string PlainMessage(std::string_view message) {
  const std::size_t bracket = message.find("] ");
  return std::string(bracket == std::string_view::npos ? message : message.substr(bracket + 2));
}

/** @brief One pass over a document: nesting, members that stand twice, lines of wanted paths. */
class Scan final : public json::json_sax_t {
 public:
  Scan(const Cursor& cursor, Errors& errors) : cursor_(cursor), errors_(errors) {}

  void Want(const std::set<std::string>* wanted) noexcept { wanted_ = wanted; }
  [[nodiscard]] const std::map<std::string, std::size_t>& Lines() const noexcept { return lines_; }

  bool null() override { return Scalar(); }
  bool boolean(bool /*value*/) override { return Scalar(); }
  bool number_integer(number_integer_t /*value*/) override { return Number(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return Number(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override {
    return Number();
  }
  bool string(string_t& /*value*/) override { return Scalar(); }
  bool binary(binary_t& /*value*/) override { return Scalar(); }
  bool start_object(std::size_t /*size*/) override { return Open(false); }
  bool start_array(std::size_t /*size*/) override { return Open(true); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    Level& level = levels_.back();
    level.key_ = name;
    Note(cursor_.line_);
    if (wanted_ == nullptr && !level.keys_.insert(name).second) {
      errors_.Add(Path(), "stands twice in this object", cursor_.line_);
    }
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const json::exception& error) override {
    errors_.Add("", PlainMessage(error.what()), LineOfLookahead());
    return false;
  }

 private:
  [[nodiscard]] std::size_t LineOfLookahead() const noexcept {
    return cursor_.line_ - (cursor_.last_ == '\n' ? 1 : 0);
  }

  [[nodiscard]] std::string Path() const {
    std::string path;
    for (const Level& level : levels_) {
      path += '/';
      path += level.is_list_ ? std::to_string(level.index_) : EscapeStep(level.key_);
    }
    return path;
  }

  void Note(std::size_t line) {
    if (wanted_ == nullptr) {
      return;
    }
    std::string path = Path();
    if (wanted_->contains(path)) {
      lines_.emplace(std::move(path), line);
    }
  }

  void Begin(std::size_t line) {
    if (levels_.empty() || levels_.back().is_list_) {
      Note(line);
    }
  }

  void End() noexcept {
    if (!levels_.empty() && levels_.back().is_list_) {
      ++levels_.back().index_;
    }
  }

  bool Scalar() {
    Begin(cursor_.line_);
    End();
    return true;
  }

  bool Number() {
    Begin(LineOfLookahead());
    End();
    return true;
  }

  bool Open(bool is_list) {
    Begin(cursor_.line_);
    if (levels_.size() == kMaxDepth) {
      errors_.Add(Path(), fmt::format("is nested more than {} levels deep", kMaxDepth),
                  cursor_.line_);
      return false;
    }
    levels_.push_back({.is_list_ = is_list, .index_ = 0, .key_ = {}, .keys_ = {}});
    return true;
  }

  bool Close() {
    levels_.pop_back();
    End();
    return true;
  }

  const Cursor& cursor_;
  Errors& errors_;
  const std::set<std::string>* wanted_{};
  std::vector<Level> levels_;
  std::map<std::string, std::size_t> lines_;
};

bool RunScan(std::string_view text, Cursor& cursor, Scan& scan) {
  const CountingIterator first(text.data(), &cursor);
  const CountingIterator last(text.data() + text.size(), &cursor);
  return json::sax_parse(first, last, &scan, json::input_format_t::json, true, true);
}

std::string Parent(const std::string& path) { return path.substr(0, path.rfind('/')); }

}  // namespace

void Errors::Add(std::string_view path, std::string_view text, std::size_t line) {
  if (found_.size() == kMaxErrors) {
    ++left_out_;
    return;
  }
  found_.push_back({.path_ = std::string(path), .text_ = std::string(text), .line_ = line});
}

std::string EscapeStep(std::string_view name) {
  std::string step;
  for (const char byte : name) {
    if (byte == '~') {
      step += "~0";
    } else if (byte == '/') {
      step += "~1";
    } else {
      step += byte;
    }
  }
  return step;
}

std::optional<json> ParseJson(std::string_view text, Errors& errors) {
  Cursor cursor;
  Scan scan(cursor, errors);
  if (!RunScan(text, cursor, scan) || !errors.Empty()) {
    return std::nullopt;
  }
  json document = json::parse(text, nullptr, false, true);
  if (document.is_discarded()) {
    errors.Add("", "is no JSON");
    return std::nullopt;
  }
  return document;
}

std::map<std::string, std::size_t> FindLines(std::string_view text,
                                             const std::set<std::string>& paths) {
  std::set<std::string> wanted = {""};
  for (std::string path : paths) {
    while (!path.empty() && wanted.insert(path).second) {
      path = Parent(path);
    }
  }
  Cursor cursor;
  Errors ignored;
  Scan scan(cursor, ignored);
  scan.Want(&wanted);
  RunScan(text, cursor, scan);
  std::map<std::string, std::size_t> lines;
  for (const std::string& path : paths) {
    std::string place = path;
    while (!place.empty() && !scan.Lines().contains(place)) {
      place = Parent(place);
    }
    const auto found = scan.Lines().find(place);
    lines[path] = found == scan.Lines().end() ? 1 : found->second;
  }
  return lines;
}

std::string DescribeErrors(const Errors& errors, std::string_view text) {
  std::set<std::string> paths;
  for (const DocumentError& error : errors.found_) {
    if (error.line_ == 0) {
      paths.insert(error.path_);
    }
  }
  const std::map<std::string, std::size_t> lines =
      paths.empty() ? std::map<std::string, std::size_t>() : FindLines(text, paths);
  std::vector<DocumentError> sorted = errors.found_;
  for (DocumentError& error : sorted) {
    error.line_ = error.line_ == 0 ? lines.at(error.path_) : error.line_;
  }
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const DocumentError& a, const DocumentError& b) { return a.line_ < b.line_; });
  std::string description;
  for (const DocumentError& error : sorted) {
    description += description.empty() ? "" : "\n";
    description += fmt::format("{}:{}: {}: {}", errors.file_, error.line_,
                               error.path_.empty() ? "/" : error.path_, error.text_);
  }
  if (errors.left_out_ > 0) {
    description += fmt::format("\n{}: {} more errors", errors.file_, errors.left_out_);
  }
  return description;
}

}  // namespace laburnumledge::config::internal
