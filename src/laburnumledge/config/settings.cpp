#include "laburnumledge/config/settings.hpp"

#include <fmt/core.h>

#include <unordered_set>

#include "laburnumledge/config/reader.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::config {

namespace {

using internal::Errors;
using internal::ObjectReader;

constexpr std::uint64_t kMaxBytes = 1ULL << 30U;
constexpr int kExchangesInLease = 4;
constexpr int kHeartbeatsInTimeout = 3;
constexpr core::Milliseconds kLongestLogPoll{1000};
constexpr std::uint64_t kMaxCount = 1ULL << 20U;

Seed ParseSeed(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Seed seed;
  reader.Name("name", seed.name_);
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

void Compare(Errors& errors, const char* key, core::Milliseconds value, bool holds,
             std::string_view expected) {
  if (!holds) {
    errors.Add(fmt::format("/{}", key),
               fmt::format("is {} ms, expected {}", value.count(), expected));
  }
}

void CheckIntervals(Errors& errors, const Settings& settings) {
  Compare(errors, "lease_length_ms", settings.lease_length_,
          settings.lease_length_ >= kExchangesInLease * settings.exchange_interval_,
          fmt::format("at least {} times exchange_interval_ms", kExchangesInLease));
  Compare(errors, "peer_timeout_ms", settings.peer_timeout_,
          settings.peer_timeout_ >= kHeartbeatsInTimeout * settings.heartbeat_interval_,
          fmt::format("at least {} times heartbeat_interval_ms", kHeartbeatsInTimeout));
  Compare(errors, "log_poll_interval_ms", settings.log_poll_interval_,
          settings.log_poll_interval_ <= kLongestLogPoll,
          fmt::format("at most {}", kLongestLogPoll.count()));
  Compare(errors, "shutdown_limit_ms", settings.shutdown_limit_,
          settings.shutdown_limit_ >= settings.shutdown_notice_, "at least shutdown_notice_ms");
}

void CheckAddresses(Errors& errors, const Settings& settings) {
  const auto same = [](const Address& a, const Address& b) { return a.port_ != 0 && a == b; };
  if (same(settings.callers_, settings.peers_)) {
    errors.Add("/peers", "is the address of callers too");
  }
  if (same(settings.callers_, settings.platform_) || same(settings.peers_, settings.platform_)) {
    errors.Add("/platform", "is an address of this node");
  }
  std::unordered_set<std::string> names;
  std::unordered_set<std::string> addresses;
  for (std::size_t i = 0; i < settings.seeds_.size(); ++i) {
    const Seed& seed = settings.seeds_[i];
    if (!seed.name_.empty() && !names.insert(seed.name_).second) {
      errors.Add(fmt::format("/seeds/{}/name", i), fmt::format("\"{}\" is used twice", seed.name_));
    }
    if (seed.peer_.port_ != 0 && !addresses.insert(ToString(seed.peer_)).second) {
      errors.Add(fmt::format("/seeds/{}/peers", i),
                 fmt::format("{} is used twice", ToString(seed.peer_)));
    }
  }
}

}  // namespace

std::optional<Settings> ParseSettings(std::string_view text, std::string_view file) {
  Errors errors{.file_ = std::string(file), .found_ = {}, .left_out_ = 0};
  const std::optional<nlohmann::json> document = internal::ParseJson(text, errors);
  Settings settings;
  if (document.has_value()) {
    ObjectReader reader(errors, *document, "");
    reader.Name("name", settings.name_);
    reader.Name("region", settings.region_);
    reader.Name("zone", settings.zone_);
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
    CheckIntervals(errors, settings);
    CheckAddresses(errors, settings);
  }
  if (!errors.Empty()) {
    return core::Fail("{}", internal::DescribeErrors(errors, text));
  }
  return settings;
}

}  // namespace laburnumledge::config
