#include "laburnumledge/routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/routing/slots.hpp"

namespace laburnumledge::routing {

namespace {

constexpr core::Milliseconds kKeepFreeFor{5000};
constexpr core::Milliseconds kUnknownAdvice{1000};
constexpr std::size_t kBatchPart = 10;
constexpr double kMeanMemory = 0.02;

const config::Service* FindService(const config::Rules& rules, const std::string& name) {
  const auto found =
      std::find_if(rules.services_.begin(), rules.services_.end(),
                   [&](const config::Service& service) { return service.name_ == name; });
  return found == rules.services_.end() ? nullptr : &*found;
}

void TakeInstances(Router& router, const Division& division) {
  std::map<std::string, Target> targets;
  const auto& out = division.zones_out_;
  for (const config::Instance& instance : division.configuration_.inventory_.instances_) {
    auto old = router.targets_.extract(instance.name_);
    const bool same = !old.empty() && old.mapped().spec_.address_ == instance.address_;
    Target target = same ? std::move(old.mapped()) : Target{};
    target.spec_ = instance;
    target.zone_out_ = std::find(out.begin(), out.end(), instance.zone_) != out.end();
    TakeSlots(target, OwnedSlotNumbers(instance, division.self_, division.nodes_),
              division.new_slots_usable_at_);
    targets.emplace(instance.name_, std::move(target));
  }
  router.targets_ = std::move(targets);
}

void TakeServices(Router& router, const Division& division) {
  for (auto& [name, service] : router.services_) {
    service.targets_.clear();
  }
  for (auto& [name, target] : router.targets_) {
    router.services_[target.spec_.service_].targets_.push_back(&target);
  }
  for (auto& [name, service] : router.services_) {
    service.queue_.max_count_ = router.max_queued_;
    const config::Rules& rules = division.configuration_.rules_;
    ConfigureQueue(service.queue_, rules, FindService(rules, name));
  }
  std::erase_if(router.services_, [](const auto& entry) {
    return entry.second.targets_.empty() && entry.second.queue_.count_ == 0;
  });
}

std::size_t ServiceSlots(const ServiceState& service, core::TimePoint now) noexcept {
  std::size_t slots = 0;
  for (const Target* target : service.targets_) {
    slots += IsMember(*target) ? UsableSlots(*target, now) : 0;
  }
  return slots;
}

/**
 * While interactive work comes in, as many slots stay free as it varies by (two deviations of a
 * Poisson count); a tenth of all slots is batch work's own.
 */
bool BatchMayGo(const ServiceState& service, core::TimePoint now) noexcept {
  if (service.interactive_until_ <= now) {
    return true;
  }
  const std::size_t slots = ServiceSlots(service, now);
  const std::size_t own = std::max<std::size_t>(1, slots / kBatchPart);
  const double kept = std::max(1.0, 2 * std::sqrt(service.interactive_mean_));
  const std::size_t busy = service.batch_outstanding_ + service.interactive_outstanding_;
  const bool leaves_enough = static_cast<double>(busy) + 1 + kept <= static_cast<double>(slots);
  return service.batch_outstanding_ < own || leaves_enough;
}

void CountSent(ServiceState& service, bool interactive) noexcept {
  if (!interactive) {
    ++service.batch_outstanding_;
    return;
  }
  ++service.interactive_outstanding_;
  service.interactive_mean_ +=
      kMeanMemory * (service.interactive_outstanding_ - service.interactive_mean_);
}

void CountEnded(ServiceState& service, bool interactive) noexcept {
  std::uint32_t& count =
      interactive ? service.interactive_outstanding_ : service.batch_outstanding_;
  count -= count > 0 ? 1 : 0;
}

/** Prefers an instance at which no earlier attempt of the request has failed. */
Target* ChooseFor(Router& router, const Waiting& waiting, const std::vector<Target*>& free) {
  std::vector<Target*> untried = free;
  std::erase_if(untried, [&](const Target* target) {
    const auto& tried = waiting.failed_at_;
    return std::find(tried.begin(), tried.end(), target->spec_.name_) != tried.end();
  });
  return router.choose_(untried.empty() ? free : untried, router.random_);
}

Dispatch Send(Router& router, ServiceState& service, Waiting waiting, Target& target,
              core::TimePoint now) {
  LABURNUMLEDGE_ASSERT(core::MayRetry(waiting.verdict_, waiting.request_.repeatable_),
                       "a request that is not repeatable runs at most once");
  LABURNUMLEDGE_ASSERT(target.outstanding_ < UsableSlots(target, now),
                       "an instance never gets more requests than this node's slots");
  LABURNUMLEDGE_ASSERT(!target.zone_out_, "an instance in a zone that is out gets no request");
  const Flow* flow = FindFlow(service.queue_, waiting.request_);
  const core::TimePoint deadline = waiting.request_.deadline_;
  const bool fresh =
      !waiting.request_.repeatable_ || waiting.fresh_connection_ || target.fresh_until_ > now;
  const core::TimePoint progress =
      flow == nullptr ? deadline : ProgressDeadline(*flow, waiting, now);
  Dispatch dispatch{.ticket_ = waiting.ticket_,
                    .instance_ = target.spec_.name_,
                    .address_ = target.spec_.address_,
                    .fresh_connection_ = fresh,
                    .progress_by_ = progress};
  ++target.outstanding_;
  ++waiting.attempts_;
  waiting.sent_at_ = now;
  CountSent(service, waiting.interactive_);
  router.sent_.emplace(waiting.ticket_, std::move(waiting));
  return dispatch;
}

void Release(Router& router, ServiceState* service, const Dispatch& dispatch, Ending ending,
             const Waiting& waiting, core::TimePoint now) {
  const auto taken = std::chrono::duration_cast<core::Milliseconds>(now - waiting.sent_at_);
  Flow* flow = service == nullptr ? nullptr : FindFlow(service->queue_, waiting.request_);
  const auto target = router.targets_.find(dispatch.instance_);
  if (target != router.targets_.end() && target->second.spec_.address_ == dispatch.address_) {
    target->second.outstanding_ -= target->second.outstanding_ > 0 ? 1 : 0;
    const Lesson lesson{.ending_ = ending,
                        .used_idle_ = !dispatch.fresh_connection_,
                        .time_ratio_ = flow == nullptr ? 1 : TimeRatio(*flow, taken)};
    LearnFromEnding(target->second, lesson, now);
  }
  if (service != nullptr) {
    CountEnded(*service, waiting.interactive_);
  }
  if (flow != nullptr && ending == Ending::kAnswered) {
    LearnCost(*flow, taken);
  }
}

ServiceState* FindState(Router& router, const std::string& name) {
  const auto found = router.services_.find(name);
  return found == router.services_.end() ? nullptr : &found->second;
}

}  // namespace

void Configure(Router& router, const Division& division) {
  const bool same = division.version_ == router.version_ &&
                    division.zones_out_ == router.zones_out_ && division.nodes_ == router.nodes_;
  if (same) {
    return;
  }
  TakeInstances(router, division);
  TakeServices(router, division);
  router.version_ = division.version_;
  router.zones_out_ = division.zones_out_;
  router.nodes_ = division.nodes_;
}

void ObserveVmList(Router& router, const std::vector<std::string>& live,
                   const std::vector<std::string>& leaving, core::TimePoint now) {
  for (auto& [name, target] : router.targets_) {
    const bool is_live = std::find(live.begin(), live.end(), name) != live.end();
    const bool is_leaving = std::find(leaving.begin(), leaving.end(), name) != leaving.end();
    LearnFromList(target, is_live, is_leaving, now);
  }
}

bool MayAdmit(Router& router, const Request& request, core::TimePoint now, Refusal& refusal) {
  refusal.retry_at_ = now + kUnknownAdvice;
  ServiceState* service = FindState(router, request.service_);
  if (service == nullptr) {
    refusal.reason_ = "service is not known";
    refusal.unknown_name_ = router.version_ > 0;
    return false;
  }
  const Flow* flow = FindFlow(service->queue_, request);
  if (flow == nullptr) {
    refusal.reason_ = "no rule names this organisation and class for the service";
    refusal.unknown_name_ = true;
    return false;
  }
  return MayEnter(service->queue_, *flow, request, ServiceSlots(*service, now), now, refusal);
}

std::optional<Ticket> Admit(Router& router, Request request, core::TimePoint now,
                            Refusal& refusal) {
  if (!MayAdmit(router, request, now, refusal)) {
    return std::nullopt;
  }
  ServiceState& service = *FindState(router, request.service_);
  Flow& flow = *FindFlow(service.queue_, request);
  if (flow.interactive_) {
    service.interactive_until_ = now + kKeepFreeFor;
  }
  const Ticket ticket = router.next_ticket_++;
  EarnRetry(router.budget_);
  Push(service.queue_, flow, {.ticket_ = ticket, .request_ = std::move(request)});
  return ticket;
}

std::optional<Dispatch> NextDispatch(Router& router, core::TimePoint now) {
  for (auto& [name, service] : router.services_) {
    if (service.queue_.count_ == 0) {
      continue;
    }
    const std::vector<Target*> free = FreeTargets(service.targets_, now);
    if (free.empty()) {
      continue;
    }
    std::optional<Waiting> due = Pop(service.queue_, BatchMayGo(service, now));
    if (due.has_value()) {
      Target* target = ChooseFor(router, *due, free);
      return Send(router, service, std::move(*due), *target, now);
    }
  }
  return std::nullopt;
}

Next Finish(Router& router, const Dispatch& dispatch, Ending ending, core::Verdict verdict,
            core::TimePoint now) {
  const auto found = router.sent_.find(dispatch.ticket_);
  LABURNUMLEDGE_ASSERT(found != router.sent_.end(), "an attempt ends once");
  Waiting waiting = std::move(found->second);
  router.sent_.erase(found);
  ServiceState* service = FindState(router, waiting.request_.service_);
  Release(router, service, dispatch, ending, waiting, now);
  waiting.verdict_ = std::max(waiting.verdict_, verdict);
  waiting.failed_at_.push_back(dispatch.instance_);
  waiting.fresh_connection_ = waiting.fresh_connection_ || ending == Ending::kSilent;
  Flow* flow = service == nullptr ? nullptr : FindFlow(service->queue_, waiting.request_);
  if (flow == nullptr || !MayRetryRequest(router.budget_, waiting, ending, now)) {
    return Next::kDone;
  }
  Push(service->queue_, *flow, std::move(waiting));
  return Next::kRetry;
}

core::Verdict VerdictSoFar(const Router& router, Ticket ticket) noexcept {
  const auto found = router.sent_.find(ticket);
  return found == router.sent_.end() ? core::Verdict::kNotRun : found->second.verdict_;
}

std::vector<Waiting> Expire(Router& router, core::TimePoint now) {
  std::vector<Waiting> expired;
  for (auto& [name, service] : router.services_) {
    std::vector<Waiting> more = TakeExpired(service.queue_, now);
    std::move(more.begin(), more.end(), std::back_inserter(expired));
  }
  return expired;
}

std::vector<std::string> ServicesInNeed(Router& router, core::TimePoint now) {
  std::vector<std::string> names;
  for (const auto& [name, service] : router.services_) {
    if (service.queue_.count_ > 0 && FreeTargets(service.targets_, now).empty()) {
      names.push_back(name);
    }
  }
  return names;
}

std::optional<std::string> LendSlotOf(Router& router, const std::string& service_name,
                                      core::TimePoint until, core::TimePoint now) {
  const ServiceState* service = FindState(router, service_name);
  if (service == nullptr || service->queue_.count_ > 0) {
    return std::nullopt;
  }
  std::size_t busy = 0;
  Target* idlest = nullptr;
  for (Target* target : FreeTargets(service->targets_, now)) {
    const bool lends = !target->on_trial_ && target->borrowed_until_.empty();
    if (lends && (idlest == nullptr || target->outstanding_ < idlest->outstanding_)) {
      idlest = target;
    }
  }
  for (const Target* target : service->targets_) {
    busy += target->outstanding_;
  }
  const std::size_t slots = ServiceSlots(*service, now);
  const bool has_spare = 4 * busy < 3 * slots;
  if (idlest == nullptr || !has_spare || !LendSlot(*idlest, until, now)) {
    return std::nullopt;
  }
  return idlest->spec_.name_;
}

std::size_t QueuedRequests(const Router& router) noexcept {
  std::size_t count = 0;
  for (const auto& [name, service] : router.services_) {
    count += service.queue_.count_;
  }
  return count;
}

bool HasUsableSlots(const Router& router, core::TimePoint now) noexcept {
  const auto& targets = router.targets_;
  return targets.empty() || std::any_of(targets.begin(), targets.end(), [&](const auto& entry) {
           return UsableSlots(entry.second, now) > 0;
         });
}

}  // namespace laburnumledge::routing
