#include "key_world.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <array>

#include "laburnumledge/platform/documents.hpp"

namespace laburnumledge::entry {

namespace {

using platform::AppendOutcome;
using platform::KeyedRecord;
using platform::Stream;

constexpr std::size_t kNodes = 3;
constexpr std::uint32_t kJobs = 6;
constexpr const char* kBody = R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";
/** Longest delay of an answer of the store, in milliseconds. */
constexpr std::uint32_t kMaxDelay = 4;

std::string JobName(std::uint32_t number) { return fmt::format("{:016x}", 0x5c0e7a21U + number); }

platform::NewestResult NewestOf(const std::vector<KeyedRecord>& log) {
  std::map<std::string, platform::StoredRecord> newest;
  for (std::size_t offset = 0; offset < log.size(); ++offset) {
    newest[log[offset].key_] = {.offset_ = offset, .record_ = log[offset]};
  }
  platform::NewestResult result{.done_ = true, .end_ = log.size()};
  for (const auto& [key, record] : newest) {
    if (record.record_.value_.has_value()) {
      result.records_.push_back(record);
    }
  }
  return result;
}

platform::ReadResult ReadFrom(const std::vector<KeyedRecord>& log, std::uint64_t from) {
  platform::ReadResult result{.outcome_ = platform::ReadOutcome::kDone,
                              .end_ = log.size(),
                              .next_ = std::max<std::uint64_t>(from, log.size())};
  for (std::size_t offset = from; offset < log.size(); ++offset) {
    result.records_.push_back({.offset_ = offset, .record_ = log[offset]});
  }
  return result;
}

}  // namespace

KeyNode::KeyNode(KeyWorld& world, const std::string& name, bool adaptive)
    : world_(world), client_(world.loop_, 0) {
  InstallStore();
  server_ = http::Server::Start(world.loop_, {.ip_ = "127.0.0.1", .port_ = 0}, {},
                                [this](http::Request request, http::Respond respond) {
                                  calls_->Handle(std::move(request), std::move(respond));
                                });
  REQUIRE(server_ != nullptr);
  deployment_.node_ = name;
  deployment_.peers_ = config::Address{.ip_ = "127.0.0.1", .port_ = server_->Port()};
  deployment_.store_limits_.adaptive_appends_ = adaptive;
  rules_follower_.emplace(
      world.loop_, store_,
      control::FollowerOptions{.stream_ = Stream::kOperators, .interval_ = core::Milliseconds(10)},
      control::FollowerEvents{
          .loaded_ = [this](const auto& records) { ApplyConfigurations(records); },
          .added_ = [this](const auto& records) { ApplyConfigurations(records); },
          .caught_up_ = {}});
  jobs_follower_.emplace(
      world.loop_, store_,
      control::FollowerOptions{.stream_ = Stream::kJobs, .interval_ = core::Milliseconds(10)},
      control::FollowerEvents{.loaded_ = [this](const auto& records) { ApplyJobs(records, true); },
                              .added_ = [this](const auto& records) { ApplyJobs(records, false); },
                              .caught_up_ = {}});
  peers_.emplace(world.loop_, store_, client_, deployment_,
                 core::MakeRandom(world.random_(1U << 30U), "peers"));
  calls_.emplace(EntryContext{.loop_ = world.loop_,
                              .store_ = store_,
                              .deployment_ = deployment_,
                              .rules_ = rules_,
                              .jobs_ = jobs_,
                              .rules_follower_ = *rules_follower_,
                              .jobs_follower_ = *jobs_follower_,
                              .peers_ = *peers_});
  rules_follower_->Start();
  jobs_follower_->Start();
  peers_->Start();
}

void KeyNode::InstallStore() {
  loop::Loop& loop = world_.loop_;
  const auto delay = [this] { return core::Milliseconds(1 + world_.random_(kMaxDelay)); };
  store_.append_ = [this, &loop, delay](const platform::AppendCall& call,
                                        const platform::AppendCallback& done) {
    const bool lost = faults_.cut_ && world_.Chance(30);
    if (!faults_.cut_ || (lost && world_.Chance(50))) {
      std::vector<KeyedRecord>& log = world_.log_[call.stream_];
      log.insert(log.end(), call.records_.begin(), call.records_.end());
    }
    const AppendOutcome failed = lost ? AppendOutcome::kUnknown : AppendOutcome::kRefused;
    const AppendOutcome outcome = faults_.cut_ ? failed : AppendOutcome::kDone;
    loop.CallAt(loop.Now() + delay(), [done, outcome] { done({.outcome_ = outcome}); });
  };
  store_.read_ = [this, &loop, delay](const platform::ReadCall& call,
                                      const platform::ReadCallback& done) {
    platform::ReadResult result;
    if (!faults_.cut_ && faults_.late_rules_ && call.stream_ == Stream::kOperators) {
      result = {.outcome_ = platform::ReadOutcome::kDone, .end_ = call.from_, .next_ = call.from_};
    } else if (!faults_.cut_) {
      result = ReadFrom(world_.log_[call.stream_], call.from_);
    }
    loop.CallAt(loop.Now() + delay(), [done, result] { done(result); });
  };
  store_.newest_ = [this, &loop, delay](const platform::NewestCall& call,
                                        const platform::NewestCallback& done) {
    const platform::NewestResult result =
        faults_.cut_ ? platform::NewestResult{} : NewestOf(world_.log_[call.stream_]);
    loop.CallAt(loop.Now() + delay(), [done, result] { done(result); });
  };
}

/** Applies configurations as control::Node does. */
void KeyNode::ApplyConfigurations(const std::vector<platform::StoredRecord>& records) {
  for (const platform::StoredRecord& record : records) {
    auto configuration = platform::ParseConfiguration(*record.record_.value_);
    if (configuration.has_value() && configuration->version_ >= rules_.configuration_.version_) {
      site::ReplaceConfiguration(rules_, *std::move(configuration));
    }
  }
}

void KeyNode::ApplyJobs(const std::vector<platform::StoredRecord>& records, bool reloaded) {
  if (reloaded) {
    jobs_ = {};
  }
  for (const platform::StoredRecord& record : records) {
    REQUIRE(ledger::Apply(jobs_, record.record_.key_, record.record_.value_).has_value());
  }
}

KeyWorld::KeyWorld(std::uint64_t seed, bool adaptive)
    : random_(core::MakeRandom(seed, "keys")), adaptive_(adaptive) {
  nodes_.resize(kNodes);
  Publish(true, true);
  for (std::size_t index = 0; index < kNodes; ++index) {
    StartNode(index);
  }
}

void KeyWorld::StartNode(std::size_t index) {
  if (nodes_[index] != nullptr) {
    counts_.forwarded_ += static_cast<std::uint32_t>(nodes_[index]->calls_->Counts().forwarded_);
  }
  nodes_[index].reset();
  nodes_[index] = std::make_unique<KeyNode>(*this, fmt::format("node-{}", index), adaptive_);
}

void KeyWorld::Publish(bool with_key, bool may_be_public) {
  const bool is_public = may_be_public && Chance(30);
  version_ += 1 + random_(5);
  std::string tenants;
  current_.clear();
  for (int number = 0; number < 2; ++number) {
    // Entries that are no keys must not make a key of anything.
    std::string keys = Chance(50) ? R"("",7,null,["listed"])" : "7";
    for (std::uint32_t count = with_key ? 1 + random_(2) : 0; count > 0; --count) {
      const bool again = !key_list_.empty() && Chance(40);
      const std::string key = again
                                  ? key_list_[random_(static_cast<std::uint32_t>(key_list_.size()))]
                                  : fmt::format("key-{}", next_key_++);
      keys += fmt::format(",\"{}\"", key);
      current_.insert(key);
      if (held_.insert(key).second) {
        key_list_.push_back(key);
      }
    }
    tenants +=
        fmt::format(R"({}{{"name":"t{}","api_keys":[{}]}})", number == 0 ? "" : ",", number, keys);
  }
  ever_public_ = ever_public_ || is_public;
  texts_.push_back(fmt::format(
      R"({{"version":{},"routes":[{{"name":"closed","host":"a.example","path_prefix":"/s/",)"
      R"("service":"w"}},{{"name":"open","host":"a.example","path_prefix":"/o/","service":"w",)"
      R"("public":{}}}],"tenants":[{}]}})",
      version_, is_public, tenants));
  log_[Stream::kOperators].push_back({.key_ = "config", .value_ = texts_.back()});
}

/** Appends a record that is cut short, or an older version again; neither may come into force. */
void KeyWorld::PublishBroken() {
  std::string text = texts_[random_(static_cast<std::uint32_t>(texts_.size()))];
  if (Chance(50)) {
    text = fmt::format(R"({{"version":{},"tenants":[{{"api_keys":["never-0"]}}],"routes":[{{)",
                       version_ + 1);
  }
  log_[Stream::kOperators].push_back({.key_ = "config", .value_ = text});
}

void KeyWorld::Step() {
  KeyNode& node = *nodes_[random_(kNodes)];
  const std::uint32_t drawn = random_(100);
  if (drawn < 3) {
    Publish(Chance(80), true);
  } else if (drawn < 4) {
    PublishBroken();
  } else if (drawn < 7) {
    node.faults_.cut_ = !node.faults_.cut_;
  } else if (drawn < 9) {
    node.faults_.late_rules_ = !node.faults_.late_rules_;
  } else if (drawn < 10) {
    StartNode(random_(kNodes));
  } else {
    SendCall();
  }
}

void KeyWorld::SendCall() {
  static constexpr std::array<const char*, 3> kVerbs{"POST", "GET", "DELETE"};
  const std::string held = key_list_[random_(static_cast<std::uint32_t>(key_list_.size()))];
  const std::string foreign = fmt::format("never-{}", random_(3));
  http::Request request{.method_ = kVerbs[random_(kVerbs.size())]};
  request.path_ = (Chance(80) ? "/s/" : "/o/") + (Chance(95) ? JobName(random_(kJobs)) : "");
  request.target_ = request.path_;
  request.body_ = request.method_ == "POST" ? kBody : "";
  const auto authorize = [&request](const std::string& value) {
    request.headers_.push_back({"Authorization", value});
  };
  std::string key;
  switch (random_(10)) {
    case 0:
      break;
    case 1:
      authorize("");
      break;
    case 2:
      authorize(Chance(50) ? "Bearer" : "Bearer ");
      break;
    case 3:
      authorize("Basic " + held);
      break;
    case 4:
      key = foreign;
      authorize("Bearer " + foreign);
      authorize("Bearer " + held);
      break;
    case 5:
    case 6:
      key = foreign;
      authorize("Bearer " + foreign);
      break;
    case 7:
      key = "listed";
      authorize("Bearer listed");
      break;
    default:
      key = held;
      authorize("Bearer " + held);
  }
  Send(*nodes_[random_(kNodes)], std::move(request), key, [](unsigned) {});
}

void KeyWorld::Send(KeyNode& node, http::Request request, const std::string& key,
                    const std::function<void(unsigned)>& done) {
  request.headers_.push_back({"Host", "a.example"});
  request.headers_.push_back({"Deadline-Ms", "300"});
  const bool closed = request.path_.starts_with("/s/");
  const bool stored = std::any_of(log_[Stream::kJobs].begin(), log_[Stream::kJobs].end(),
                                  [&request](const KeyedRecord& record) {
                                    return request.path_.ends_with(record.key_.substr(1));
                                  });
  counts_.foreign_on_stored_ +=
      closed && stored && node.faults_.cut_ && !held_.contains(key) && request.method_ != "GET";
  const std::string call = fmt::format("{} {} key \"{}\"", request.method_, request.path_, key);
  node.calls_->Handle(std::move(request),
                      [this, key, closed, call, done](const http::Reply& reply) {
                        const bool allowed = held_.contains(key) || (!closed && ever_public_);
                        counts_.succeeded_ += reply.status_ < 300 ? 1 : 0;
                        counts_.unauthorized_ += reply.status_ == 401 ? 1 : 0;
                        if (reply.status_ < 300 && !allowed) {
                          violations_.push_back(call);
                        }
                        done(reply.status_);
                      });
}

}  // namespace laburnumledge::entry
