#include "laburnumledge/routing/queue.hpp"

#include <algorithm>

namespace laburnumledge::routing {

namespace {

constexpr double kMemory = 0.05;
constexpr double kMinCostMs = 1;
constexpr double kPatience = 10;
constexpr std::uint32_t kMostDoublings = 8;
constexpr core::Milliseconds kShortestProgress{1000};
constexpr core::Milliseconds kShortestBound{20};
constexpr core::Milliseconds kCrowdedFor{100};
constexpr core::Milliseconds kShortestAdvice{100};

double FlowWeight(const config::Service& service, const config::Organisation& organisation,
                  const config::RequestClass& cls) {
  double classes = 0;
  for (const config::RequestClass& other : service.classes_) {
    classes += other.weight_;
  }
  return organisation.weight_ * (cls.weight_ / std::max(1.0, classes));
}

double WaitingMs(const Queue& queue, bool interactive) noexcept {
  double ms = 0;
  for (const auto& [name, flow] : queue.flows_) {
    if (flow.interactive_ == interactive) {
      ms += flow.cost_ms_ * static_cast<double>(flow.waiting_.size());
    }
  }
  return ms;
}

double WeightOfBusyFlows(const Queue& queue, const Flow& newcomer) noexcept {
  double weight = newcomer.waiting_.empty() ? newcomer.weight_ : 0;
  for (const auto& [name, flow] : queue.flows_) {
    const bool counts = flow.interactive_ == newcomer.interactive_ && !flow.waiting_.empty();
    weight += counts ? flow.weight_ : 0;
  }
  return weight;
}

double WeightOfAllFlows(const Queue& queue) noexcept {
  double weight = 0;
  for (const auto& [name, flow] : queue.flows_) {
    weight += flow.weight_;
  }
  return weight;
}

/** A half of the room is divided by weight, the other half goes to whoever comes first. */
bool HasRoom(const Queue& queue, const Flow& flow, std::size_t bytes) noexcept {
  if (queue.count_ >= queue.max_count_ || queue.bytes_ + bytes > queue.max_bytes_) {
    return false;
  }
  const double half = static_cast<double>(queue.max_count_) / 2;
  const double own = half * flow.weight_ / std::max(flow.weight_, WeightOfAllFlows(queue));
  double shared = 0;
  for (const auto& [name, other] : queue.flows_) {
    const double reserved = half * other.weight_ / WeightOfAllFlows(queue);
    shared += std::max(0.0, static_cast<double>(other.waiting_.size()) - reserved);
  }
  return static_cast<double>(flow.waiting_.size()) < own || shared < half;
}

bool IsOvercrowded(Queue& queue, const Flow& flow, core::Milliseconds wait, core::TimePoint now) {
  if (!flow.interactive_) {
    return false;
  }
  const core::Milliseconds bound =
      std::max(kShortestBound, core::Milliseconds(static_cast<std::int64_t>(flow.cost_ms_)));
  if (wait < bound / 2) {
    queue.crowded_since_.reset();
  } else if (wait > bound && !queue.crowded_since_.has_value()) {
    queue.crowded_since_ = now;
  }
  return wait > bound && queue.crowded_since_.has_value() &&
         now - *queue.crowded_since_ > kCrowdedFor;
}

std::optional<std::size_t> PickBand(const Queue& queue, bool batch_may_go) noexcept {
  const bool batch = queue.bands_[0].count_ > 0 && batch_may_go;
  const bool interactive = queue.bands_[1].count_ > 0;
  if (!batch && !interactive) {
    return std::nullopt;
  }
  if (batch && interactive) {
    return queue.bands_[0].start_ < queue.bands_[1].start_ ? 0 : 1;
  }
  return interactive ? 1 : 0;
}

Waiting Remove(Queue& queue, Flow& flow, decltype(Flow::waiting_)::iterator position) {
  Waiting waiting = std::move(position->second);
  flow.waiting_.erase(position);
  --queue.count_;
  --queue.bands_[flow.interactive_ ? 1 : 0].count_;
  queue.bytes_ -= waiting.request_.body_bytes_;
  return waiting;
}

}  // namespace

void ConfigureQueue(Queue& queue, const config::Rules& rules, const config::Service* service) {
  std::map<FlowName, Flow> flows;
  if (service != nullptr) {
    for (const config::Organisation& organisation : rules.organisations_) {
      for (const config::RequestClass& cls : service->classes_) {
        const FlowName name{organisation.name_, cls.name_};
        const auto old = queue.flows_.find(name);
        const bool known = old != queue.flows_.end();
        const bool moves_band =
            known && old->second.interactive_ != cls.interactive_ && !old->second.waiting_.empty();
        Flow flow = known ? std::move(old->second) : Flow{};
        flow.interactive_ = moves_band ? flow.interactive_ : cls.interactive_;
        flow.weight_ = std::max(0.001, FlowWeight(*service, organisation, cls));
        flows.emplace(name, std::move(flow));
        if (known) {
          queue.flows_.erase(old);
        }
      }
    }
  }
  for (auto& [name, flow] : queue.flows_) {
    if (!flow.waiting_.empty()) {
      flows.emplace(name, std::move(flow));
    }
  }
  queue.flows_ = std::move(flows);
}

Flow* FindFlow(Queue& queue, const Request& request) {
  const auto found = queue.flows_.find({request.organisation_, request.class_});
  return found == queue.flows_.end() ? nullptr : &found->second;
}

core::Milliseconds ExpectedWait(const Queue& queue, const Flow& flow, std::size_t slots) noexcept {
  const Band& own = queue.bands_[flow.interactive_ ? 1 : 0];
  const Band& other = queue.bands_[flow.interactive_ ? 0 : 1];
  const double band_share = other.count_ > 0 ? own.weight_ / (own.weight_ + other.weight_) : 1;
  const double rate = band_share * static_cast<double>(std::max<std::size_t>(1, slots));
  const double behind_all = WaitingMs(queue, flow.interactive_) / rate;
  const double share = flow.weight_ / WeightOfBusyFlows(queue, flow);
  const double behind_own =
      flow.cost_ms_ * static_cast<double>(flow.waiting_.size()) / (rate * share);
  return core::Milliseconds(static_cast<std::int64_t>(std::min(behind_all, behind_own)));
}

bool MayEnter(Queue& queue, const Flow& flow, const Request& request, std::size_t slots,
              core::TimePoint now, Refusal& refusal) {
  const core::Milliseconds wait = ExpectedWait(queue, flow, slots);
  refusal.retry_at_ = now + std::max(kShortestAdvice, wait);
  if (!HasRoom(queue, flow, request.body_bytes_)) {
    refusal.reason_ = "the queue is full";
    return false;
  }
  const bool crowded = IsOvercrowded(queue, flow, wait, now);
  if (slots > 0 && crowded) {
    refusal.reason_ = "more interactive requests come in than the service can answer";
    return false;
  }
  const core::Milliseconds cost(static_cast<std::int64_t>(flow.cost_ms_));
  if (slots > 0 && wait.count() > 0 && now + wait + cost > request.deadline_) {
    refusal.reason_ = "the deadline can't be met";
    return false;
  }
  return true;
}

void Push(Queue& queue, Flow& flow, Waiting waiting) {
  Band& band = queue.bands_[flow.interactive_ ? 1 : 0];
  const Band& other = queue.bands_[flow.interactive_ ? 0 : 1];
  if (band.count_ == 0) {
    band.start_ = std::max(band.start_, other.start_);
  }
  if (flow.waiting_.empty()) {
    flow.start_ = std::max(flow.start_, band.floor_);
  }
  ++band.count_;
  ++queue.count_;
  queue.bytes_ += waiting.request_.body_bytes_;
  waiting.interactive_ = flow.interactive_;
  const std::pair key{waiting.request_.deadline_, waiting.ticket_};
  flow.waiting_.emplace(key, std::move(waiting));
}

std::optional<Waiting> Pop(Queue& queue, bool batch_may_go) {
  const std::optional<std::size_t> picked = PickBand(queue, batch_may_go);
  if (!picked.has_value()) {
    return std::nullopt;
  }
  Band& band = queue.bands_[*picked];
  Flow* due = nullptr;
  for (auto& [name, flow] : queue.flows_) {
    const bool waits = flow.interactive_ == (*picked == 1) && !flow.waiting_.empty();
    if (waits && (due == nullptr || flow.start_ < due->start_)) {
      due = &flow;
    }
  }
  band.floor_ = due->start_;
  band.start_ += due->cost_ms_ / band.weight_;
  due->start_ += due->cost_ms_ / due->weight_;
  return Remove(queue, *due, due->waiting_.begin());
}

void LearnCost(Flow& flow, core::Milliseconds taken) noexcept {
  const auto ms = static_cast<double>(taken.count());
  const double mean = flow.learned_ ? flow.cost_ms_ + kMemory * (ms - flow.cost_ms_) : ms;
  flow.cost_ms_ = std::max(kMinCostMs, mean);
  flow.learned_ = true;
}

double TimeRatio(const Flow& flow, core::Milliseconds taken) noexcept {
  const double ms = std::max(kMinCostMs, static_cast<double>(taken.count()));
  return flow.learned_ ? ms / flow.cost_ms_ : 1;
}

core::TimePoint ProgressDeadline(const Flow& flow, const Waiting& waiting,
                                 core::TimePoint now) noexcept {
  const core::TimePoint deadline = waiting.request_.deadline_;
  if (!waiting.request_.repeatable_ || !flow.learned_) {
    return deadline;
  }
  const std::uint32_t doublings = std::min(waiting.attempts_, kMostDoublings);
  const core::Milliseconds usual(static_cast<std::int64_t>(kPatience * flow.cost_ms_));
  return std::min(deadline, now + std::max(kShortestProgress, usual) * (1 << doublings));
}

std::vector<Waiting> TakeExpired(Queue& queue, core::TimePoint now) {
  std::vector<Waiting> expired;
  for (auto& [name, flow] : queue.flows_) {
    while (!flow.waiting_.empty() && flow.waiting_.begin()->first.first <= now) {
      expired.push_back(Remove(queue, flow, flow.waiting_.begin()));
    }
  }
  return expired;
}

}  // namespace laburnumledge::routing
