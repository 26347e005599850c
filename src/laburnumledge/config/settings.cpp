#include "laburnumledge/config/settings.hpp"

#include <fmt/ranges.h>

#include "laburnumledge/config/reader.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::config {

namespace {

using internal::Errors;
using internal::ObjectReader;

constexpr std::uint64_t kMaxBytes = 1ULL << 30U;
constexpr std::uint64_t kMaxCount = 1ULL << 20U;

Seed ParseSeed(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Seed seed;
  reader.Text("name", seed.name_, true);
  reader.AddressOf("peers", seed.peer_, true);
  reader.Finish();
  return seed;
}

void ReadLimits(ObjectReader& reader, Settings& settings) {
  reader.Number("max_body_bytes", settings.max_body_bytes_, 1, kMaxBytes, false);
  reader.Number("max_header_bytes", settings.max_header_bytes_, 256, kMaxCount, false);
  reader.Number("max_connections", settings.max_connections_, 1, kMaxCount, false);
  reader.Number("max_queued_requests", settings.max_queued_requests_, 1, kMaxCount, false);
  reader.Number("appends_per_second", settings.appends_per_second_, 1, 1000, false);
}

void ReadIntervals(ObjectReader& reader, Settings& settings) {
  reader.Interval("log_poll_interval_ms", settings.log_poll_interval_, false);
  reader.Interval("vm_list_interval_ms", settings.vm_list_interval_, false);
  reader.Interval("heartbeat_interval_ms", settings.heartbeat_interval_, false);
  reader.Interval("peer_timeout_ms", settings.peer_timeout_, false);
  reader.Interval("exchange_interval_ms", settings.exchange_interval_, false);
  reader.Interval("lease_length_ms", settings.lease_length_, false);
  reader.Interval("request_timeout_ms", settings.request_timeout_, false);
  reader.Interval("shutdown_notice_ms", settings.shutdown_notice_, false);
  reader.Interval("shutdown_limit_ms", settings.shutdown_limit_, false);
}

}  // namespace

std::optional<Settings> ParseSettings(std::string_view text, std::string_view file) {
  Errors errors{.file_ = std::string(file), .lines_ = {}};
  const std::optional<nlohmann::json> document = internal::ParseJson(text, errors);
  Settings settings;
  if (document.has_value()) {
    ObjectReader reader(errors, *document, "");
    reader.Text("name", settings.name_, true);
    reader.Text("region", settings.region_, true);
    reader.Text("zone", settings.zone_, true);
    reader.AddressOf("callers", settings.callers_, true);
    reader.AddressOf("peers", settings.peers_, true);
    reader.AddressOf("platform", settings.platform_, true);
    reader.Text("log_level", settings.log_level_, false);
    if (!core::ParseLevel(settings.log_level_).has_value()) {
      reader.Fail("log_level", "expected debug, info, warning or error");
    }
    reader.Each("seeds", false, [&](const nlohmann::json& value, const std::string& path) {
      settings.seeds_.push_back(ParseSeed(errors, value, path));
    });
    ReadLimits(reader, settings);
    ReadIntervals(reader, settings);
    reader.Finish();
  }
  if (!errors.lines_.empty()) {
    return core::Fail("{}", fmt::join(errors.lines_, "\n"));
  }
  return settings;
}

}  // namespace laburnumledge::config
