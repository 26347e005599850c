#include "laburnumledge/routing/router.hpp"

#include <algorithm>
#include <utility>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::routing {

namespace {

constexpr core::Milliseconds kRetryAdvice{500};
constexpr core::Milliseconds kAvoidFor{2000};
constexpr std::uint32_t kMaxAttempts = 3;

/** Slots of an instance that rendezvous hashing gives to a node. */
std::uint32_t SlotShare(const config::Instance& instance, std::string_view self,
                        const std::vector<std::string>& nodes) {
  std::uint32_t share = 0;
  for (std::uint32_t slot = 0; slot < instance.slots_; ++slot) {
    const std::string key = instance.name_ + "/" + std::to_string(slot);
    const std::size_t owner = core::RendezvousOwner(key, nodes);
    share += owner != core::kNoOwner && nodes[owner] == self ? 1 : 0;
  }
  return share;
}

bool Available(const Target& target, core::TimePoint now) {
  return target.listed_ && !target.leaving_ && !target.zone_out_ && target.avoid_until_ <= now &&
         target.outstanding_ < target.limit_;
}

Target* LeastLoaded(Router& router, const std::string& service, core::TimePoint now) {
  Target* best = nullptr;
  for (auto& [name, target] : router.targets_) {
    if (target.spec_.service_ != service || !Available(target, now)) {
      continue;
    }
    if (best == nullptr || target.outstanding_ < best->outstanding_) {
      best = &target;
    }
  }
  return best;
}

bool KnownService(const Router& router, const std::string& service) {
  return std::any_of(router.targets_.begin(), router.targets_.end(),
                     [&](const auto& entry) { return entry.second.spec_.service_ == service; });
}

void Blame(Target& target, Ending ending, core::TimePoint now) {
  if (ending == Ending::kLeaving) {
    target.leaving_ = true;
  } else if (ending != Ending::kAnswered) {
    target.avoid_until_ = now + kAvoidFor;
  }
}

}  // namespace

void Configure(Router& router, const config::Configuration& configuration,
               const std::vector<std::string>& zones_out, std::string_view self,
               const std::vector<std::string>& nodes) {
  std::map<std::string, Target> targets;
  for (const config::Instance& instance : configuration.inventory_.instances_) {
    const auto old = router.targets_.find(instance.name_);
    Target target = old == router.targets_.end() ? Target{} : std::move(old->second);
    target.spec_ = instance;
    target.limit_ = SlotShare(instance, self, nodes);
    target.zone_out_ =
        std::find(zones_out.begin(), zones_out.end(), instance.zone_) != zones_out.end();
    targets.emplace(instance.name_, std::move(target));
  }
  router.targets_ = std::move(targets);
}

void ObserveVmList(Router& router, const std::vector<std::string>& live,
                   const std::vector<std::string>& leaving, core::TimePoint /*now*/) {
  for (auto& [name, target] : router.targets_) {
    const bool is_live = std::find(live.begin(), live.end(), name) != live.end();
    const bool is_leaving = std::find(leaving.begin(), leaving.end(), name) != leaving.end();
    target.listed_ = is_live || is_leaving;
    target.leaving_ = is_leaving || (target.leaving_ && !is_live);
  }
}

std::optional<Ticket> Admit(Router& router, Request request, core::TimePoint now,
                            Refusal& refusal) {
  refusal.retry_at_ = now + kRetryAdvice;
  if (!KnownService(router, request.service_)) {
    refusal.reason_ = "service is not known";
    return std::nullopt;
  }
  if (router.queue_.size() >= router.max_queued_) {
    refusal.reason_ = "queue is full";
    return std::nullopt;
  }
  const Ticket ticket = router.next_ticket_++;
  router.queue_.push_back({.ticket_ = ticket, .request_ = std::move(request), .attempts_ = 0});
  return ticket;
}

std::optional<Dispatch> NextDispatch(Router& router, core::TimePoint now) {
  for (auto waiting = router.queue_.begin(); waiting != router.queue_.end(); ++waiting) {
    Target* target = LeastLoaded(router, waiting->request_.service_, now);
    if (target == nullptr || waiting->request_.deadline_ <= now) {
      continue;
    }
    LABURNUMLEDGE_ASSERT(core::MayRetry(waiting->verdict_, waiting->request_.repeatable_),
                         "a request that is not repeatable runs at most once");
    Dispatch dispatch{.ticket_ = waiting->ticket_,
                      .instance_ = target->spec_.name_,
                      .address_ = target->spec_.address_,
                      .fresh_connection_ = !waiting->request_.repeatable_};
    ++target->outstanding_;
    ++waiting->attempts_;
    router.sent_.emplace(waiting->ticket_, std::move(*waiting));
    router.queue_.erase(waiting);
    return dispatch;
  }
  return std::nullopt;
}

Next Finish(Router& router, const Dispatch& dispatch, Ending ending, core::Verdict verdict,
            core::TimePoint now) {
  const auto target = router.targets_.find(dispatch.instance_);
  if (target != router.targets_.end()) {
    target->second.outstanding_ -= target->second.outstanding_ > 0 ? 1 : 0;
    Blame(target->second, ending, now);
  }
  const auto found = router.sent_.find(dispatch.ticket_);
  LABURNUMLEDGE_ASSERT(found != router.sent_.end(), "an attempt ends once");
  Waiting waiting = std::move(found->second);
  router.sent_.erase(found);
  waiting.verdict_ = std::max(waiting.verdict_, verdict);
  const bool retry = ending != Ending::kAnswered && waiting.attempts_ < kMaxAttempts &&
                     core::MayRetry(waiting.verdict_, waiting.request_.repeatable_) &&
                     waiting.request_.deadline_ > now;
  if (!retry) {
    return Next::kDone;
  }
  router.queue_.push_front(std::move(waiting));
  return Next::kRetry;
}

std::vector<Waiting> Expire(Router& router, core::TimePoint now) {
  std::vector<Waiting> expired;
  for (auto waiting = router.queue_.begin(); waiting != router.queue_.end();) {
    if (waiting->request_.deadline_ > now) {
      ++waiting;
      continue;
    }
    expired.push_back(std::move(*waiting));
    waiting = router.queue_.erase(waiting);
  }
  return expired;
}

}  // namespace laburnumledge::routing
