#include "laburnumledge/entry/peers.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/control/follower.hpp"
#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/core/verdict.hpp"
#include "laburnumledge/entry/collectors.hpp"
#include "laburnumledge/platform/callers.hpp"

namespace laburnumledge::entry {

namespace {

using core::EventPriority;
using core::Level;
using platform::AppendOutcome;

/** Interval at which the addresses of the nodes are read; nodes are replaced rarely. */
constexpr core::Milliseconds kRefreshInterval{5000};
/** Timeout of the append that publishes or deletes this node's address, and time to its retry. */
constexpr core::Milliseconds kAnnounceTimeout{1000};
constexpr core::Milliseconds kAnnounceRetryInterval{500};
/** How long a node that did not answer gets no calls: about as long as the platform keeps an
 * unreachable node out of rotation. */
constexpr core::Milliseconds kExclusionTime{3000};
constexpr int kMaxPeersTried = 2;

constexpr std::string_view kForwardedHeader = "Forwarded";
/** Path of a notice that appends are slow, and its timeout: a later one would tell nothing new. */
constexpr std::string_view kSlowNoticePath = "/-/slow-appends";
constexpr core::Milliseconds kNoticeTimeout{500};
constexpr std::string_view kVersionHeader = "Configuration-Version";

struct Peer {
  config::Address address_;
  core::TimePoint excluded_until_{};
};

std::uint64_t VersionOf(const http::Fields& headers) noexcept {
  const std::string_view text = http::Find(headers, kVersionHeader).value_or("");
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

}  // namespace

struct Peers::Implementation : std::enable_shared_from_this<Peers::Implementation> {
  loop::Loop& loop_;
  const platform::Store& store_;
  http::Client& client_;
  const site::Deployment& deployment_;
  core::Random random_;
  std::map<std::string, Peer> peers_;
  control::Follower follower_;
  bool withdrawn_{};
  loop::Handle timer_{};

  Implementation(loop::Loop& loop, const platform::Store& store, http::Client& client,
                 const site::Deployment& deployment, core::Random random)
      : loop_(loop),
        store_(store),
        client_(client),
        deployment_(deployment),
        random_(random),
        follower_(loop, store,
                  {.stream_ = platform::Stream::kNodes, .wait_ = {}, .interval_ = kRefreshInterval},
                  {.loaded_ =
                       [this](const auto& records) {
                         peers_.clear();
                         ApplyRecords(records);
                       },
                   .added_ = [this](const auto& records) { ApplyRecords(records); },
                   .caught_up_ = {}}) {}

  void ApplyRecords(const std::vector<platform::StoredRecord>& records);
  void Announce();
  std::optional<std::string> ChoosePeer(core::TimePoint now);
  [[nodiscard]] http::Call MakeCall(const http::Request& request, std::uint64_t version) const;
  void ForwardToPeer(const http::Call& call, const ForwardLimits& limits, int attempts_left,
                     bool unanswered, const ForwardCallback& done);
  void Send(const std::string& node, const http::Call& call, const ForwardLimits& limits,
            const ForwardCallback& done);
  void OnNoAnswer(const std::string& node, const config::Address& address, std::string_view target,
                  const http::Response& response);
};

void Peers::Implementation::ApplyRecords(const std::vector<platform::StoredRecord>& records) {
  for (const platform::StoredRecord& record : records) {
    const std::string& name = record.record_.key_;
    if (name == deployment_.node_) {
      continue;
    }
    if (!record.record_.value_.has_value()) {
      peers_.erase(name);
      continue;
    }
    const std::optional<config::Address> address = config::ParseAddress(*record.record_.value_);
    if (address.has_value()) {
      peers_[name].address_ = *address;
    } else {
      core::LogEvent(Level::kError, EventPriority::kHigh, "store.record_unreadable",
                     {{"stream", "nodes"}, {"key", name}, {"reason", core::LastReason()}});
    }
  }
}

void Peers::Implementation::Announce() {
  std::vector<platform::KeyedRecord> records;
  records.push_back({.key_ = deployment_.node_, .value_ = std::nullopt});
  if (!withdrawn_) {
    records.front().value_ = config::ToString(*deployment_.peers_);
  }
  store_.append_(
      {.stream_ = platform::Stream::kNodes,
       .records_ = std::move(records),
       .expected_end_ = std::nullopt,
       .writer_ = std::nullopt,
       .deadline_ = loop_.Now() + kAnnounceTimeout},
      [weak = weak_from_this(), withdrawn = withdrawn_](const platform::AppendResult& result) {
        const auto self = weak.lock();
        if (self == nullptr || result.outcome_ == AppendOutcome::kDone ||
            withdrawn != self->withdrawn_) {
          return;
        }
        self->timer_ = self->loop_.CallAt(self->loop_.Now() + kAnnounceRetryInterval, [weak] {
          if (const auto held = weak.lock()) {
            held->Announce();
          }
        });
      });
}

std::optional<std::string> Peers::Implementation::ChoosePeer(core::TimePoint now) {
  std::vector<std::string> candidates;
  for (const auto& [name, peer] : peers_) {
    if (peer.excluded_until_ <= now) {
      candidates.push_back(name);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random_(static_cast<std::uint32_t>(candidates.size()))];
}

void Peers::Implementation::ForwardToPeer(const http::Call& call, const ForwardLimits& limits,
                                          int attempts_left, bool unanswered,
                                          const ForwardCallback& done) {
  const core::TimePoint now = loop_.Now();
  const std::optional<std::string> node =
      attempts_left > 0 && now < limits.deadline_ ? ChoosePeer(now) : std::nullopt;
  if (!node.has_value()) {
    loop_.CallSoon(
        [done, unanswered] { done({.reply_ = std::nullopt, .may_have_run_ = unanswered}); });
    return;
  }
  Send(*node, call, limits,
       [weak = weak_from_this(), call, limits, attempts_left, unanswered,
        done](ForwardResult result) {
         result.may_have_run_ = result.may_have_run_ || unanswered;
         const auto self = weak.lock();
         if (result.reply_.has_value()) {
           done(std::move(result));
         } else if (self != nullptr) {
           self->ForwardToPeer(call, limits, attempts_left - 1, result.may_have_run_, done);
         }
       });
}

/** Gives a node no calls for a while. */
void Peers::Implementation::OnNoAnswer(const std::string& node, const config::Address& address,
                                       std::string_view target, const http::Response& response) {
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "peer.no_answer",
                 {{"peer", node},
                  {"target", target},
                  {"verdict", core::ToString(response.verdict_)},
                  {"sends", response.sends_},
                  {"reason", response.reason_}});
  for (auto& [name, asked] : peers_) {
    if (asked.address_ == address) {
      asked.excluded_until_ = loop_.Now() + kExclusionTime;
    }
  }
}

void Peers::Implementation::Send(const std::string& node, const http::Call& call,
                                 const ForwardLimits& limits, const ForwardCallback& done) {
  const config::Address address = peers_.at(node).address_;
  http::Call forwarded = call;
  forwarded.url_ = fmt::format("http://{}{}", config::ToString(address), call.url_);
  forwarded.deadline_ = limits.peer_timeout_.count() == 0
                            ? limits.deadline_
                            : std::min(limits.deadline_, loop_.Now() + limits.peer_timeout_);
  client_.Send(std::move(forwarded), [weak = weak_from_this(), done, node, address,
                                      target = call.url_](const http::Response& response) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    if (response.status_ != 0) {
      PeerReply reply{.reply_ = http::JsonReply(response.status_, response.body_),
                      .version_ = VersionOf(response.headers_),
                      .node_ = node,
                      .sends_ = response.sends_};
      if (const auto retry = http::Find(response.headers_, "Retry-After")) {
        reply.reply_.headers_.push_back({"Retry-After", std::string(*retry)});
      }
      done({.reply_ = std::move(reply), .may_have_run_ = false});
      return;
    }
    self->OnNoAnswer(node, address, target, response);
    done({.reply_ = std::nullopt, .may_have_run_ = response.verdict_ != core::Verdict::kNotRun});
  });
}

http::Call Peers::Implementation::MakeCall(const http::Request& request,
                                           std::uint64_t version) const {
  http::Call call{.method_ = request.method_,
                  .url_ = request.target_,
                  .headers_ = platform::HeadersToForward(request),
                  .body_ = request.body_,
                  .resendable_ = request.method_ == "GET"};
  call.headers_.push_back({std::string(kForwardedHeader), fmt::format("by={}", deployment_.node_)});
  call.headers_.push_back({std::string(kVersionHeader), fmt::format("{}", version)});
  return call;
}

Peers::Peers(loop::Loop& loop, const platform::Store& store, http::Client& client,
             const site::Deployment& deployment, core::Random random)
    : implementation_(std::make_shared<Implementation>(loop, store, client, deployment, random)) {}

Peers::~Peers() { implementation_->loop_.Cancel(implementation_->timer_); }

void Peers::Start() {
  if (implementation_->deployment_.peers_.has_value()) {
    implementation_->Announce();
    implementation_->follower_.Start();
  }
}

void Peers::Withdraw() {
  if (implementation_->deployment_.peers_.has_value() && !implementation_->withdrawn_) {
    implementation_->withdrawn_ = true;
    implementation_->Announce();
  }
}

void Peers::Forward(const http::Request& request, const ForwardLimits& limits,
                    const ForwardCallback& done) {
  implementation_->ForwardToPeer(implementation_->MakeCall(request, limits.version_), limits,
                                 kMaxPeersTried, false, done);
}

void Peers::ForwardTo(const std::string& node, const http::Request& request,
                      const ForwardLimits& limits, const ForwardCallback& done) {
  if (!implementation_->peers_.contains(node)) {
    implementation_->loop_.CallSoon([done] { done({}); });
    return;
  }
  implementation_->Send(node, implementation_->MakeCall(request, limits.version_), limits, done);
}

void Peers::NotifySlow() {
  const core::TimePoint now = implementation_->loop_.Now();
  for (const auto& [name, peer] : implementation_->peers_) {
    if (peer.excluded_until_ > now) {
      continue;
    }
    http::Call notice{
        .method_ = "POST",
        .url_ = fmt::format("http://{}{}", config::ToString(peer.address_), kSlowNoticePath),
        .deadline_ = now + kNoticeTimeout};
    notice.headers_.push_back(
        {std::string(kForwardedHeader), fmt::format("by={}", implementation_->deployment_.node_)});
    implementation_->client_.Send(std::move(notice), [](const http::Response& /*response*/) {});
  }
}

bool Peers::IsSlowNotice(const http::Request& request) noexcept {
  return request.path_ == kSlowNoticePath && IsForwarded(request);
}

std::optional<std::string> Peers::Collector() const {
  const core::TimePoint now = implementation_->loop_.Now();
  std::vector<std::string> others;
  for (const auto& [name, peer] : implementation_->peers_) {
    if (peer.excluded_until_ <= now) {
      others.push_back(name);
    }
  }
  const std::string& self = implementation_->deployment_.node_;
  std::string collector = ChooseCollector(self, others);
  return collector == self ? std::nullopt : std::optional(std::move(collector));
}

std::optional<config::Address> Peers::FindAddress(const std::string& node) const {
  const auto found = implementation_->peers_.find(node);
  return found == implementation_->peers_.end() ? std::nullopt
                                                : std::optional(found->second.address_);
}

bool Peers::IsForwarded(const http::Request& request) noexcept {
  return http::Find(request.headers_, kForwardedHeader).has_value();
}

std::uint64_t Peers::RequiredVersion(const http::Request& request) noexcept {
  return IsForwarded(request) ? VersionOf(request.headers_) : 0;
}

void Peers::SetVersionHeader(http::Reply& reply, std::uint64_t version) {
  reply.headers_.push_back({std::string(kVersionHeader), fmt::format("{}", version)});
}

}  // namespace laburnumledge::entry
